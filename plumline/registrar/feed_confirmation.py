"""Confirms to routers, on request, up to which entry the configuration feed was complete.

A router can't tell the age of what it has received: the registrar, the link or the router itself may have
been held up. So it asks, and counts the age of its configuration from the moment at which it asked. The reply
names an index; every change that was acknowledged before the request arrived is among the entries up to it.

Requests that arrive while the core is being asked wait for the next round, which starts after their arrival.
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
        self._is_confirming = False

    def on_subscriber_connected(self, link: FrameLink) -> None:
        """Tells a router that this registrar answers confirmation requests."""
        link.send(FeedFeatures(confirmations=True).to_wire())

    def on_subscriber_disconnected(self, link: FrameLink) -> None:
        """Discards the router's request."""
        self._waiting.pop(link, None)

    def on_request(self, link: FrameLink, request: ConfirmationRequest) -> None:
        """Adds a router's request to the next round."""
        self._waiting[link] = request

    def tick(self) -> None:
        """Starts a round if requests are waiting; call it every few tens of milliseconds."""
        if not self._waiting or self._is_confirming:
            return
        requests, self._waiting = self._waiting, {}
        self._is_confirming = True
        self._confirm_index(lambda index: self._end_round(requests, index))

    def _end_round(self, requests: dict[FrameLink, ConfirmationRequest], index: int | None) -> None:
        """Answers the requests of a round; routers whose request can't be answered ask again."""
        self._is_confirming = False
        if index is None:
            return
        for link, request in requests.items():
            link.send(FeedConfirmed(request.sent_at_us, index).to_wire())
