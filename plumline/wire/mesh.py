"""Links between registrars, and the listener for all internal connections of the system.

Each registrar sends on the links that it opened and receives on those that others opened, so that either side
can replace a dead link without coordinating with the other.
"""

import asyncio
import contextlib
import random
from typing import Any, Protocol

from plumline.counters import Counters
from plumline.wire.frame_link import FrameLink
from plumline.wire.frames import pack

CONNECT_TIMEOUT_S = 0.5
HELLO_TIMEOUT_S = 1.5  # a hello delayed by a partition may arrive long after the partition heals
RECONNECT_BACKOFF_S = 0.25  # mean delay before the next attempt
BACKOFF_JITTER = (0.6, 1.4)  # range of the random factor of the backoff
REGISTRAR_ROLE = "registrar"  # in a hello
#: Message kinds that are useful only after the messages sent before them.
ORDERED_KINDS = frozenset({"chain-entry", "chain-lesson"})


class PeerHandler(Protocol):
    """Callbacks for the links with other registrars."""

    def on_link_up(self, address: str) -> None:
        """A link to the registrar at this address is up."""

    def on_message(self, sender: str, message: list[Any]) -> None:
        """A message from the registrar at the address `sender`, which may be this one, has arrived."""


class ClientHandler(Protocol):
    """Callbacks for the connections of processes other than registrars."""

    def on_connected(self, link: FrameLink) -> None:
        """The hello of the client has arrived."""

    def on_message(self, link: FrameLink, message: list[Any]) -> None:
        """A message has arrived. Raises FrameError for one that must close the connection."""

    def on_disconnected(self, link: FrameLink) -> None:
        """The connection has ended."""


class Mesh:
    """Links with other registrars and connections of other processes, with one handler for each group."""

    def __init__(self, local_address: str, greeting: list[Any], counters: Counters) -> None:
        """`local_address` is the address of this registrar, `greeting` its hello message."""
        self.local_address, self.counters = local_address, counters
        self.links: dict[str, FrameLink] = {}  # opened by this registrar and up, by address
        self.loop = asyncio.get_running_loop()
        self._greeting = greeting
        self._peer_handler: PeerHandler
        self._client_handler: ClientHandler
        self._peers: set[str] = set()  # addresses that links are maintained to
        self._link_tasks: dict[str, asyncio.Task[None]] = {}  # by address
        self._peer_connected: dict[str, asyncio.Event] = {}  # set when the peer opens a link to here
        self._incoming: set[FrameLink] = set()
        self._server: asyncio.Server | None = None

    def attach(self, peer_handler: PeerHandler, client_handler: ClientHandler) -> None:
        """Sets the handlers. Must be called before `listen` and before the first message."""
        self._peer_handler, self._client_handler = peer_handler, client_handler

    # Incoming connections.

    async def listen(self, address: tuple[str, int]) -> None:
        """Accepts connections at the address. Raises OSError."""
        self._server = await self.loop.create_server(self._accept, *address, reuse_address=True)

    def _accept(self) -> FrameLink:
        return FrameLink(
            self._greeting, self._on_incoming_up, self._on_message, self._on_incoming_down, self.counters
        )

    def _on_incoming_up(self, link: FrameLink) -> None:
        assert link.peer is not None
        self._incoming.add(link)
        if link.peer["role"] != REGISTRAR_ROLE:
            self._client_handler.on_connected(link)
        elif event := self._peer_connected.get(link.peer["address"]):
            event.set()  # the peer is listening by now, so skip the rest of the backoff

    def _on_message(self, link: FrameLink, message: list[Any]) -> None:
        assert link.peer is not None
        if link.peer["role"] == REGISTRAR_ROLE:
            self._peer_handler.on_message(link.peer["address"], message)
        else:
            self._client_handler.on_message(link, message)

    def _on_incoming_down(self, link: FrameLink) -> None:
        self._incoming.discard(link)
        if link.peer is not None and link.peer["role"] != REGISTRAR_ROLE:
            self._client_handler.on_disconnected(link)

    # Outgoing links.

    def set_peers(self, addresses: set[str]) -> None:
        """Maintains links to the registrars at these addresses and closes all others."""
        self._peers = addresses - {self.local_address}
        for address in self._peers:
            if address not in self._link_tasks:
                self._link_tasks[address] = self.loop.create_task(self._keep_linked(address))
        for address in [address for address in self.links if address not in self._peers]:
            self.links[address].abort()

    async def _keep_linked(self, address: str) -> None:
        """Reopens the link whenever it is down, for as long as the address belongs to a peer."""
        peer_connected = self._peer_connected.setdefault(address, asyncio.Event())
        try:
            while address in self._peers:
                peer_connected.clear()
                try:
                    await self._run_link(address)
                except (OSError, TimeoutError):
                    self.counters.add("links.not-up")
                backoff_s = RECONNECT_BACKOFF_S * random.uniform(*BACKOFF_JITTER)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(peer_connected.wait(), backoff_s)
        finally:
            self._link_tasks.pop(address, None)
            self._peer_connected.pop(address, None)

    async def _run_link(self, address: str) -> None:
        """Opens a link and returns when it is down. Raises OSError or TimeoutError if it can't be opened."""
        host, _, port = address.rpartition(":")
        greeted, down = self.loop.create_future(), self.loop.create_future()

        def on_up(link: FrameLink) -> None:
            greeted.set_result(None)
            self.links[address] = link
            self._peer_handler.on_link_up(address)

        def on_down(link: FrameLink) -> None:
            if self.links.get(address) is link:
                del self.links[address]
            if not down.done():
                down.set_result(None)

        link = FrameLink(self._greeting, on_up, lambda *_: None, on_down, self.counters)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await self.loop.create_connection(lambda: link, host, int(port))
        await asyncio.wait((greeted, down), timeout=HELLO_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        if not greeted.done():
            link.abort()
        await down

    def renew(self, address: str) -> None:
        """Closes a link that seems dead, so that it is reopened."""
        if link := self.links.get(address):
            self.counters.add("links.renewed")
            link.abort()

    # Sending.

    def send(self, to: str, message: list[Any]) -> None:
        """Sends to the registrar at the address, possibly this one. Without a link the message is lost."""
        if to == self.local_address:
            self.loop.call_soon(self._peer_handler.on_message, self.local_address, message)
        elif link := self.links.get(to):
            link.send(message, ordered=message[0] in ORDERED_KINDS)

    def send_all(self, message: list[Any]) -> None:
        """Sends to all other registrars with a link."""
        if self.links:
            data = pack(message)
            for link in list(self.links.values()):
                link.send_packed(message[0], data)

    def close(self) -> None:
        """Closes all links and the listener."""
        self._peers = set()
        for task in list(self._link_tasks.values()):
            task.cancel()
        for link in [*self.links.values(), *self._incoming]:
            link.abort()
        if self._server is not None:
            self._server.close()
