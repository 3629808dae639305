"""What an endpoint's `GET /report` says about the versions that it has."""

from dataclasses import dataclass
from typing import Any

from plumline.registrar.discovery import MALFORMED_BODY_ERRORS, parse_model_versions
from plumline.wire import calls


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """The part of a report that the roll-out needs."""

    models: dict[str, int]  # version by model
    busy: bool  # an order is in progress
    call_sequence: int | None = None  # orders taken since the endpoint's start, None if it doesn't say


def parse_report(body: Any) -> EndpointReport | None:  # noqa: ANN401 (any JSON)
    """The report that the body is, None if it is none."""
    try:
        taken = body.get(calls.CALL_SEQUENCE)
        is_count = isinstance(taken, int) and not isinstance(taken, bool)
        return EndpointReport(
            models=parse_model_versions(body[calls.MODELS]),
            busy=bool(body[calls.BUSY]),
            call_sequence=taken if is_count else None,
        )
    except MALFORMED_BODY_ERRORS:
        return None
