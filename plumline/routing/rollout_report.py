"""Reports of routers about a roll-out in progress, and their wire form.

    ["rollout-report", node, incarnation, {service: [target, stage, others_running, tallies]}]

with [endpoint, route, answers, bad] for each of the tallies.

The counts are totals since the start of the router's process, for one roll-out. Each report has those that
have changed; some have all of them.
"""

from typing import Any, NamedTuple

from plumline.configuration.service_rollouts import RolloutStage

ROLLOUT_REPORT_KIND = "rollout-report"


class AnswerTally(NamedTuple):
    """Counts of the ended answers of one endpoint on trial, or of all others together."""

    endpoint: str  # NOT_ON_TRIAL for all others
    route: str
    answers: int
    bad: int


class ServiceReport(NamedTuple):
    """The report of one router about one roll-out."""

    target: str
    stage: RolloutStage | None  # of the router's grant; None: it has no valid one
    others_running: int  # its requests at endpoints of other versions
    tallies: tuple[AnswerTally, ...]

    def to_wire(self) -> list[Any]:
        """The report as plain values."""
        stage = self.stage.value if self.stage else None
        return [self.target, stage, self.others_running, [list(each) for each in self.tallies]]

    @classmethod
    def from_wire(cls, value: list[Any]) -> "ServiceReport":
        """The report that `to_wire` gave. Raises ValueError, TypeError."""
        target, stage, others_running, tallies = value
        read = tuple(
            AnswerTally(str(endpoint), str(route), int(answers), int(bad))
            for endpoint, route, answers, bad in tallies
        )
        return cls(str(target), RolloutStage(stage) if stage else None, int(others_running), read)


class RolloutReport(NamedTuple):
    """One report message of a router."""

    node: str
    incarnation: int  # a new one after each start of the router's process
    services: dict[str, ServiceReport]

    def to_wire(self) -> list[Any]:
        """The message as plain values."""
        services = {service: report.to_wire() for service, report in self.services.items()}
        return [ROLLOUT_REPORT_KIND, self.node, self.incarnation, services]

    @classmethod
    def from_wire(cls, message: list[Any]) -> "RolloutReport":
        """The report of a message. Raises ValueError, TypeError for one that is malformed."""
        match message:
            case ["rollout-report", str(node), int(incarnation), dict(services)]:
                return cls(
                    node,
                    incarnation,
                    {name: ServiceReport.from_wire(each) for name, each in services.items()},
                )
        raise ValueError("malformed roll-out report")
