"""Parses the versions that an endpoint reports on `GET /report`."""

from dataclasses import dataclass
from typing import Any

from plumline.registrar.discovery import MALFORMED_BODY_ERRORS, parse_model_versions
from plumline.wire import calls


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """The fields of a report that the roll-out needs."""

    models: dict[str, int]  # version by model
    busy: bool  # an order is in progress
    call_sequence: int | None = None  # orders accepted since the endpoint's start; None if not reported


def parse_report(body: Any) -> EndpointReport | None:  # noqa: ANN401 (any JSON)
    """Parses the body of a report; None if it is not valid."""
    try:
        call_sequence = body.get(calls.CALL_SEQUENCE)
        is_count = isinstance(call_sequence, int) and not isinstance(call_sequence, bool)
        return EndpointReport(
            models=parse_model_versions(body[calls.MODELS]),
            busy=bool(body[calls.BUSY]),
            call_sequence=call_sequence if is_count else None,
        )
    except MALFORMED_BODY_ERRORS:
        return None
