"""Which requests of a soak were lost: read whole by a process, and left without a complete answer. No I/O."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from plumline.lab.judge import Breach
from plumline.lab.soak.faults import FaultPeriod

LATE_REQUEST_S = 3.0  # after SIGTERM: no request sent later may be cut, however late the cut
LAST_SHARE = 1 / 6  # of the grace period, in which requests sent before that may be cut
CLOCK_SLACK_S = 0.05  # by which a client notices its own deadline early


@dataclass(slots=True)
class RequestRecord:
    """One request on a connection to the process `target`. Times are steady s; 0.0: it never came to that."""

    id: str
    target: str
    patience_s: float  # until client or route give up
    first_sent: float
    last_sent: float = 0.0  # its last byte
    completed_at: float = 0.0  # its answer was complete, or its connection over
    status: int = 0
    complete: bool = False
    gave_up: bool = False  # the client left
    on_reused: bool = False  # not the first request of its connection


@dataclass(slots=True)
class Shutdown:
    """From SIGTERM to the process's end. Times are steady s."""

    terminated_at: float
    exited_at: float = float("inf")
    disturbed: bool = False  # by a fault: how it ended says nothing


@dataclass(slots=True)
class Evidence:
    """What the judge knows beside the requests."""

    grace_s: float
    loss_slack_s: float
    lag_s: float  # by which the soak's own clock may have been late
    arrived: set[str]  # requests that endpoints have read
    shutdowns: Mapping[str, list[Shutdown]] = field(default_factory=dict)
    faults: Mapping[str, list[FaultPeriod]] = field(default_factory=dict)
    contact_s: float = 0.0  # after the end of a fault, before its process counts as sound


def judge_lost(records: Iterable[RequestRecord], evidence: Evidence) -> list[Breach]:
    """LOST, a request each."""
    return [Breach("LOST", each.id, _describe(each, evidence)) for each in records if is_lost(each, evidence)]


def is_lost(record: RequestRecord, evidence: Evidence) -> bool:
    """Whether a process read the request whole and its connection ended early, with no excuse for it."""
    if record.complete or record.gave_up or not record.last_sent or not record.completed_at:
        return False
    if record.completed_at >= record.first_sent + record.patience_s - CLOCK_SLACK_S:
        return False
    if met_fault(record, evidence):
        return False
    if record.id not in evidence.arrived:
        # It crossed the close of its connection, unless that came well after it.
        return record.completed_at - record.last_sent > evidence.loss_slack_s + evidence.lag_s
    shutdown = shutdown_of(record, evidence)
    if shutdown is None:
        return True
    last_share_begins = shutdown.terminated_at + evidence.grace_s * (1 - LAST_SHARE)
    sent_in_time = record.first_sent <= shutdown.terminated_at + LATE_REQUEST_S
    return not (sent_in_time and record.completed_at >= last_share_begins)


def met_fault(record: RequestRecord, evidence: Evidence) -> bool:
    """Whether its process had a fault from `contact_s` before the request to its end."""
    return any(
        record.completed_at >= fault.began_at - CLOCK_SLACK_S
        and record.first_sent <= fault.ended_at + evidence.contact_s
        for fault in evidence.faults.get(record.target, [])
    )


def shutdown_of(record: RequestRecord, evidence: Evidence) -> Shutdown | None:
    """The shutdown of its process in which the connection ended."""
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
