"""Finds lost requests: completely read by a process, but without a complete response. No I/O."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from plumline.lab.judge import Breach
from plumline.lab.soak.faults import FaultPeriod

LATE_REQUEST_S = 3.0  # after SIGTERM; a request sent later must never be cut
FINAL_GRACE_FRACTION = 1 / 6  # of the grace period, in which requests sent before LATE_REQUEST_S may be cut
CLOCK_SLACK_S = 0.05  # by how much a client may see its own deadline early


@dataclass(slots=True)
class RequestRecord:
    """One request to the process `target`. Times: s of the monotonic clock; 0.0: did not happen."""

    id: str
    target: str
    timeout_s: float  # limit of the client or the route
    first_sent: float
    last_sent: float = 0.0  # time of its last byte
    completed_at: float = 0.0  # response complete, or connection ended
    status: int = 0
    complete: bool = False
    gave_up: bool = False  # the client timed out
    on_reused: bool = False  # not the first request on its connection


@dataclass(slots=True)
class Shutdown:
    """From SIGTERM to the exit of the process. Times: s of the monotonic clock."""

    terminated_at: float
    exited_at: float = float("inf")
    disturbed: bool = False  # by a fault: its exit status is not checked


@dataclass(slots=True)
class Evidence:
    """What the judge knows besides the requests."""

    grace_s: float
    loss_slack_s: float
    lag_s: float  # largest scheduling delay of the soak itself
    arrived: set[str]  # ids of requests that endpoints received
    shutdowns: Mapping[str, list[Shutdown]] = field(default_factory=dict)
    faults: Mapping[str, list[FaultPeriod]] = field(default_factory=dict)
    contact_s: float = 0.0  # after a fault, until its process counts as healthy


def judge_lost(records: Iterable[RequestRecord], evidence: Evidence) -> list[Breach]:
    """Returns a LOST breach for each lost request."""
    return [Breach("LOST", each.id, _describe(each, evidence)) for each in records if is_lost(each, evidence)]


def is_lost(record: RequestRecord, evidence: Evidence) -> bool:
    """Whether a process read the complete request and then cut it without an allowed reason."""
    if record.complete or record.gave_up or not record.last_sent or not record.completed_at:
        return False
    if record.completed_at >= record.first_sent + record.timeout_s - CLOCK_SLACK_S:
        return False
    if overlaps_fault(record, evidence):
        return False
    if record.id not in evidence.arrived:
        # The request crossed the close of its connection, unless the close came well after it.
        return record.completed_at - record.last_sent > evidence.loss_slack_s + evidence.lag_s
    shutdown = shutdown_of(record, evidence)
    if shutdown is None:
        return True
    final_grace_began_at = shutdown.terminated_at + evidence.grace_s * (1 - FINAL_GRACE_FRACTION)
    sent_in_time = record.first_sent <= shutdown.terminated_at + LATE_REQUEST_S
    return not (sent_in_time and record.completed_at >= final_grace_began_at)


def overlaps_fault(record: RequestRecord, evidence: Evidence) -> bool:
    """Whether its process had a fault between `contact_s` before the request and the end of the request."""
    return any(
        record.completed_at >= fault.began_at - CLOCK_SLACK_S
        and record.first_sent <= fault.ended_at + evidence.contact_s
        for fault in evidence.faults.get(record.target, [])
    )


def shutdown_of(record: RequestRecord, evidence: Evidence) -> Shutdown | None:
    """Returns the shutdown of its process during which the connection ended, or None."""
    for each in evidence.shutdowns.get(record.target, []):
        if each.terminated_at <= record.completed_at <= each.exited_at + evidence.lag_s + CLOCK_SLACK_S:
            return each
    return None


def _describe(record: RequestRecord, evidence: Evidence) -> str:
    shutdown = shutdown_of(record, evidence)
    origin_at = shutdown.terminated_at if shutdown else record.first_sent
    origin = "SIGTERM" if shutdown else "it was sent"
    return (
        f"{record.target}: sent {record.first_sent - origin_at:.3f} s, "
        f"whole {record.last_sent - origin_at:.3f} s, "
        f"cut {record.completed_at - origin_at:.3f} s after {origin}, status {record.status}, "
        f"{'reused' if record.on_reused else 'new'} connection, "
        f"{'reached' if record.id in evidence.arrived else 'never reached'} an endpoint"
    )
