"""Links between registrars, and the listener for all of plumline's own connections.

Each registrar sends over the links that it opened itself and hears on those that others opened, so either
side may find a dead one and open it anew without asking the other.
"""

import asyncio
import random
from typing import Any, Protocol

from plumline.counters import Counters
from plumline.wire.frames import FrameLink, pack

CONNECT_S = 0.5  # s for a connection to come up
HELLO_S = 1.5  # s for the other side's hello: what a cut holds up may come many seconds after it heals
AGAIN_S = 0.25  # s, at about, until the next try
ORDERED = frozenset({"chain-entry", "chain-lesson"})  # kinds that are of use only after those sent before


class PeerHandler(Protocol):
    """What the mesh does with other registrars' links."""

    def on_link_up(self, address: str) -> None:
        """A link to the registrar at this address has come up."""

    def on_message(self, sender: str, message: list[Any]) -> None:
        """The registrar at the address `sender`, which may be this one, has sent a message."""


class ClientHandler(Protocol):
    """What the mesh does with the connections of those that are no registrars."""

    def on_connected(self, link: FrameLink) -> None:
        """The other side has said who it is."""

    def on_message(self, link: FrameLink, message: list[Any]) -> None:
        """A message has come. Raises FrameError for one that ends the connection."""

    def on_disconnected(self, link: FrameLink) -> None:
        """The connection has ended."""


class Mesh:
    """Links to and from other registrars, whose messages go to one handler; those of others to another."""

    def __init__(self, me: str, greeting: list[Any], counters: Counters) -> None:
        """`me`: address of this registrar; `greeting`: its hello."""
        self.me, self.greeting, self.counters = me, greeting, counters
        self.peers: PeerHandler
        self.clients: ClientHandler
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, FrameLink] = {}  # opened here, up
        self.connecting: dict[str, asyncio.Task[None]] = {}
        self.wanted: set[str] = set()
        self.incoming: set[FrameLink] = set()
        self.server: asyncio.Server | None = None

    def attach(self, peers: PeerHandler, clients: ClientHandler) -> None:
        """Sets the handlers; before the first message and before `listen`."""
        self.peers, self.clients = peers, clients

    async def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError."""
        self.server = await self.loop.create_server(self.accept, *address, reuse_address=True)

    def accept(self) -> FrameLink:
        return FrameLink(self.greeting, self.came, self.heard, self.went, self.counters)

    def came(self, link: FrameLink) -> None:
        assert link.peer is not None
        self.incoming.add(link)
        if link.peer["role"] != "registrar":
            self.clients.on_connected(link)

    def heard(self, link: FrameLink, message: list[Any]) -> None:
        assert link.peer is not None
        if link.peer["role"] == "registrar":
            self.peers.on_message(link.peer["address"], message)
        else:
            self.clients.on_message(link, message)

    def went(self, link: FrameLink) -> None:
        self.incoming.discard(link)
        if link.peer is not None and link.peer["role"] != "registrar":
            self.clients.on_disconnected(link)

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
                    self.peers.on_link_up(address)

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
            self.loop.call_soon(self.peers.on_message, self.me, message)
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
