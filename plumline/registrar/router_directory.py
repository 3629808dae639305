"""The routers that are alive in the fleet: the subscribers of this registrar and of its peers."""

from typing import NamedTuple

from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.service_load import ServiceLoads

REPORT_MARGIN_S = 1.0  # a peer's report is valid for this longer than the subscribers' time-out


class ReceivedReport(NamedTuple):
    """The last report of a peer."""

    received_at: float  # s, steady
    routers: dict[str, ServiceLoads]  # by node name


class RouterDirectory:
    """Combines the peers' last reports with the publisher's own subscribers."""

    def __init__(self, publisher: FeedPublisher) -> None:
        self.publisher = publisher
        self.reports: dict[str, ReceivedReport] = {}  # by the peer's address

    def on_report(self, now: float, sender: str, routers: dict[str, ServiceLoads]) -> None:
        """Stores a peer's report of its live subscribers. `now`: s, steady."""
        self.reports[sender] = ReceivedReport(now, routers)

    def live_routers(self, now: float) -> dict[str, ServiceLoads]:
        """The loads of all live routers, by node name; this registrar's own subscribers take precedence."""
        timeout_s = self.publisher.subscriber_timeout_s + REPORT_MARGIN_S
        reported: dict[str, ServiceLoads] = {}
        for report in self.reports.values():
            if now - report.received_at < timeout_s:
                reported.update(report.routers)
        return reported | self.publisher.live_subscribers(now)
