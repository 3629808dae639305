"""Asks the feed's sources for confirmations, and keeps the age of the configuration from their replies.

The age can't be told from what arrives, as bytes may have waited in a socket; see
`plumline.routing.configuration_age`. All times are seconds of the event loop's clock.
"""

from collections.abc import Iterable

from plumline import logs
from plumline.registrar.subscriber_messages import CONFIRMATIONS_FEATURE, ConfirmationRequest
from plumline.router.feed_source import FeedSource
from plumline.routing.configuration_age import AgeLimits
from plumline.routing.fleet import Fleet

INTERVAL_S = 0.4  # between requests to the primary
MISSED_CONFIRMATIONS = 2  # after which all sources are asked
CONFIRMATIONS_PER_LIMIT = 4  # at the least, within the greatest age at which the configuration is used
MICROSECONDS = 1_000_000  # in a second

log = logs.logger("following")


class ConfirmationRequester:
    """Requests confirmations from the primary, and from all sources once the newest one is overdue."""

    def __init__(self, fleet: Fleet, limits: AgeLimits) -> None:
        """`fleet`: whose configuration's age is kept."""
        self.fleet, self.limits = fleet, limits
        self.interval_s = min(INTERVAL_S, min(limits) / CONFIRMATIONS_PER_LIMIT)
        self._next_request_at = 0.0
        self._is_outdated = True  # as last logged; a router starts without a configuration

    def tick(self, now: float, sources: Iterable[FeedSource], primary: FeedSource | None) -> None:
        """Sends the requests that are due; call it every few tenths of a second."""
        self._log_age(now)
        if now < self._next_request_at:
            return
        self._next_request_at = now + self.interval_s
        age_s = self.fleet.configuration_age.seconds(now)
        is_overdue = age_s > MISSED_CONFIRMATIONS * self.interval_s
        for source in sources:
            if source is primary or is_overdue:
                self._request(source, now)

    def _request(self, source: FeedSource, now: float) -> None:
        if source.confirms and source.link is not None:
            source.link.send(ConfirmationRequest(int(now * MICROSECONDS)).to_wire())

    def on_features(self, source: FeedSource, names: list[str], now: float) -> None:
        """A source has named the features of its release."""
        source.confirms = CONFIRMATIONS_FEATURE in names
        self._request(source, now)

    def on_confirmed(self, sent_at_us: int, index: int, now: float) -> None:
        """A source has replied to a request."""
        self._confirm(min(sent_at_us / MICROSECONDS, now), index)

    def on_heartbeat(self, source: FeedSource, now: float) -> None:
        """A source has reported its newest entry. Only the heartbeats of an earlier release, which answers no
        requests, count as a confirmation: from their arrival, as nothing better is known."""
        if not source.confirms:
            self._confirm(now, source.committed_index)

    def _confirm(self, requested_at: float, index: int) -> None:
        age = self.fleet.configuration_age
        was_confirmed = age.is_confirmed
        age.on_confirmed(requested_at, index, self.fleet.applied_index)
        if age.is_confirmed and not was_confirmed:
            self.fleet.notify("confirmed")

    def _log_age(self, now: float) -> None:
        """Logs when the configuration becomes too old for some decisions, and when it no longer is."""
        age_s = self.fleet.configuration_age.seconds(now)
        is_outdated = age_s > min(self.limits)
        if is_outdated != self._is_outdated:
            self._is_outdated = is_outdated
            log.info(logs.event("configuration-outdated", on=is_outdated, seconds=round(age_s, 2)))
