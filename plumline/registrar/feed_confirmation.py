"""Confirms to routers, on request, up to which entry the configuration feed was complete.

A router can't tell the age of what it has received: the registrar, the link or the router itself may have
been held up. So it asks, and counts the age of its configuration from the moment at which it asked. The reply
names an index; every change that was acknowledged before the request arrived is among the entries up to it.

Requests that arrive while the core is being asked wait for the next round, which starts after their arrival.
So do those of a round that ended in uncertainty, as when this registrar is starting: a later answer holds for
an earlier request too.
"""

from collections.abc import Callable

from plumline.registrar.subscriber_messages import ConfirmationRequest, FeedConfirmed, FeedFeatures
from plumline.wire.frame_link import FrameLink

#: Calls back with the index of an entry up to which all changes acknowledged before the call are found, or
#: with None if that is not certain; see `ChainReplica.confirm_index`.
ConfirmIndex = Callable[[Callable[[int | None], None]], None]


class FeedConfirmer:
    """Answers the confirmation requests of all connected routers, in rounds of one inquiry each."""

    def __init__(self, confirm_index: ConfirmIndex) -> None:
        self._confirm_index = confirm_index
        self._waiting: dict[FrameLink, ConfirmationRequest] = {}  # the newest of each router
        self._round: dict[FrameLink, ConfirmationRequest] | None = None  # being answered

    def on_subscriber_connected(self, link: FrameLink) -> None:
        """Tells a router that this registrar answers confirmation requests."""
        link.send(FeedFeatures(confirmations=True).to_wire())

    def on_subscriber_disconnected(self, link: FrameLink) -> None:
        """Discards the router's requests."""
        self._waiting.pop(link, None)
        if self._round is not None:
            self._round.pop(link, None)

    def on_request(self, link: FrameLink, request: ConfirmationRequest) -> None:
        """Adds a router's request to the next round."""
        self._waiting[link] = request

    def tick(self) -> None:
        """Starts a round if requests are waiting; call it every few tens of milliseconds."""
        if not self._waiting or self._round is not None:
            return
        self._round, self._waiting = self._waiting, {}
        self._confirm_index(self._end_round)

    def _end_round(self, index: int | None) -> None:
        """Answers the requests of the round, or returns them to those that wait."""
        requests, self._round = self._round or {}, None
        if index is None:
            self._waiting = requests | self._waiting
            return
        for link, request in requests.items():
            link.send(FeedConfirmed(request.sent_at_us, index).to_wire())
