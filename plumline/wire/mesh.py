"""Links between registrars, and the listener for all of plumline's own connections.

Each registrar sends over the links that it opened itself and hears on those that others opened, so either
side may find a dead one and open it anew without asking the other.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from plumline.counters import Counters
from plumline.wire.frames import FrameLink, pack

CONNECT_S = 0.5  # s for a connection to come up
HELLO_S = 1.5  # s for the other side's hello: what a cut holds up may come many seconds after it heals
AGAIN_S = 0.25  # s, at about, until the next try
ORDERED = frozenset({"chain-entry", "chain-lesson"})  # kinds that are of use only after those sent before

Receive = Callable[[str, list[Any]], None]  # address of the sender, message


class Mesh:
    """`receive` gets registrars' messages; connections of others go to `followers`."""

    def __init__(
        self,
        me: str,
        greeting: list[Any],
        receive: Receive,
        on_link: Callable[[str], None],
        on_follower: Callable[[FrameLink], None],
        on_follower_message: Callable[[FrameLink, list[Any]], None],
        on_follower_down: Callable[[FrameLink], None],
        counters: Counters,
    ) -> None:
        """`on_link(address)`: a link to that registrar has come up."""
        self.me, self.greeting, self.receive, self.counters = me, greeting, receive, counters
        self.on_link = on_link
        self.on_follower, self.on_follower_message = on_follower, on_follower_message
        self.on_follower_down = on_follower_down
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, FrameLink] = {}  # opened here, up
        self.connecting: dict[str, asyncio.Task[None]] = {}
        self.wanted: set[str] = set()
        self.incoming: set[FrameLink] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError."""
        self.server = await self.loop.create_server(self.accept, *address, reuse_address=True)

    def accept(self) -> FrameLink:
        return FrameLink(self.greeting, self.came, self.heard, self.went, self.counters)

    def came(self, link: FrameLink) -> None:
        assert link.peer is not None
        self.incoming.add(link)
        if link.peer["role"] != "registrar":
            self.on_follower(link)

    def heard(self, link: FrameLink, message: list[Any]) -> None:
        assert link.peer is not None
        if link.peer["role"] == "registrar":
            self.receive(link.peer["address"], message)
        else:
            self.on_follower_message(link, message)

    def went(self, link: FrameLink) -> None:
        self.incoming.discard(link)
        if link.peer is not None and link.peer["role"] != "registrar":
            self.on_follower_down(link)

    def want(self, addresses: set[str]) -> None:
        """The registrars to have links to."""
        self.wanted = {each for each in addresses if each != self.me}
        for address in self.wanted:
            if address not in self.connecting:
                self.connecting[address] = self.loop.create_task(self.keep(address))
        for address in [each for each in self.links if each not in self.wanted]:
            self.links[address].abort()

    async def keep(self, address: str) -> None:
        """Opens the link again whenever it is down, for as long as it is wanted."""
        host, _, port = address.rpartition(":")
        try:
            while address in self.wanted:
                greeted, down = self.loop.create_future(), self.loop.create_future()

                def ended(link: FrameLink, down: "asyncio.Future[None]" = down) -> None:
                    if self.links.get(address) is link:
                        del self.links[address]
                    if not down.done():
                        down.set_result(None)

                def up(link: FrameLink, greeted: "asyncio.Future[None]" = greeted) -> None:
                    greeted.set_result(None)
                    self.links[address] = link
                    self.on_link(address)

                link = FrameLink(self.greeting, up, lambda *_: None, ended, self.counters)
                try:
                    async with asyncio.timeout(CONNECT_S):
                        await self.loop.create_connection(lambda link=link: link, host, int(port))
                    await asyncio.wait((greeted, down), timeout=HELLO_S, return_when=asyncio.FIRST_COMPLETED)
                    if not greeted.done():
                        link.abort()
                    await down
                except (OSError, TimeoutError):
                    self.counters.add("links.not-up")
                await asyncio.sleep(AGAIN_S * random.uniform(0.6, 1.4))
        finally:
            self.connecting.pop(address, None)

    def send(self, to: str, message: list[Any]) -> None:
        if to == self.me:
            self.loop.call_soon(self.receive, self.me, message)
        elif link := self.links.get(to):
            link.send(message, ordered=message[0] in ORDERED)

    def send_all(self, message: list[Any]) -> None:
        if self.links:
            data = pack(message)
            for link in list(self.links.values()):
                link.send_packed(message[0], data)

    def renew(self, address: str) -> None:
        """Ends a link that nothing comes back for; it is opened anew."""
        if link := self.links.get(address):
            self.counters.add("links.renewed")
            link.abort()

    def close(self) -> None:
        self.wanted = set()
        for task in list(self.connecting.values()):
            task.cancel()
        for link in [*self.links.values(), *self.incoming]:
            link.abort()
        if self.server is not None:
            self.server.close()
