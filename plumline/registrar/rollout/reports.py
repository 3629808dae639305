"""What an endpoint's `GET /report` says about the roll-out of versions."""

from dataclasses import dataclass
from typing import Any

from plumline.registrar.discovery import MALFORMED_BODY_ERRORS, parse_model_versions
from plumline.wire import calls


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What `GET /report` says here: versions by model, whether an order is under way, and how many orders the
    endpoint has taken since its start (None if it doesn't say)."""

    models: dict[str, int]
    busy: bool
    call_sequence: int | None = None


def parse_report(body: Any) -> EndpointReport | None:  # noqa: ANN401
    """None if the body is no report."""
    try:
        taken = body.get(calls.CALL_SEQUENCE)
        known = isinstance(taken, int) and not isinstance(taken, bool)
        return EndpointReport(
            parse_model_versions(body[calls.MODELS]), bool(body[calls.BUSY]), taken if known else None
        )
    except MALFORMED_BODY_ERRORS:
        return None
