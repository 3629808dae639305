"""Links between registrars: reopened when they are down or when the peer sends no hello."""

import asyncio
from pathlib import Path
from typing import Any
from unittest.mock import patch

from peers import play, soon

from plumline.counters import Counters
from plumline.wire import mesh as mesh_module
from plumline.wire.frame_link import FrameLink
from plumline.wire.frames import hello
from plumline.wire.mesh import Mesh


class RecordingPeerHandler:
    """Reports the first link that is up; ignores messages."""

    def __init__(self, up: "asyncio.Future[str]") -> None:
        self.up = up

    def on_link_up(self, address: str) -> None:
        if not self.up.done():
            self.up.set_result(address)

    def on_message(self, sender: str, message: list[Any]) -> None:
        pass


class IgnoringClientHandler:
    """Ignores everything."""

    def on_connected(self, link: FrameLink) -> None:
        pass

    def on_message(self, link: FrameLink, message: list[Any]) -> None:
        pass

    def on_disconnected(self, link: FrameLink) -> None:
        pass


def create_mesh(up: "asyncio.Future[str]") -> Mesh:
    """A mesh without peers; `up` receives the address of the first link that is up."""
    mesh = Mesh("127.0.0.1:1", hello("one", "registrar", "127.0.0.1:1", "zone"), Counters())
    mesh.attach(RecordingPeerHandler(up), IgnoringClientHandler())
    return mesh


@patch.object(mesh_module, "HELLO_TIMEOUT_S", 0.05)
@patch.object(mesh_module, "RECONNECT_BACKOFF_S", 0.01)
@play
async def test_a_link_without_a_hello_is_reopened(_: Path) -> None:
    """A partition that begins between connect and hello may delay the hello until long after it heals."""
    loop = asyncio.get_running_loop()
    silent: list[asyncio.Protocol] = []

    def accept() -> asyncio.Protocol:
        if len(silent) < 2:
            silent.append(asyncio.Protocol())
            return silent[-1]
        greeting = hello("two", "registrar", address, "zone")
        return FrameLink(greeting, lambda _: None, lambda *_: None, lambda _: None, Counters())

    server = await loop.create_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    up: asyncio.Future[str] = loop.create_future()
    mesh = create_mesh(up)
    mesh.set_peers({address})
    assert await soon(up) == address
    assert len(silent) == 2
    mesh.close()
    server.close()


@patch.object(mesh_module, "RECONNECT_BACKOFF_S", 60.0)
@play
async def test_a_peer_that_opens_a_link_is_connected_to_without_waiting_for_the_backoff(_: Path) -> None:
    """After a power loss the machines begin to listen one after the other."""
    loop = asyncio.get_running_loop()
    up: asyncio.Future[str] = loop.create_future()
    mesh = create_mesh(up)
    await mesh.listen(("127.0.0.1", 0))
    assert mesh._server is not None
    own_port = mesh._server.sockets[0].getsockname()[1]
    reserved = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    port = reserved.sockets[0].getsockname()[1]
    reserved.close()
    await reserved.wait_closed()
    address = f"127.0.0.1:{port}"
    greeting = hello("two", "registrar", address, "zone")

    def link() -> FrameLink:
        return FrameLink(greeting, lambda _: None, lambda *_: None, lambda _: None, Counters())

    mesh.set_peers({address})
    while not mesh.counters.get("links.not-up"):
        await asyncio.sleep(0)
    server = await loop.create_server(link, "127.0.0.1", port)
    await loop.create_connection(link, "127.0.0.1", own_port)
    assert await soon(up) == address
    mesh.close()
    server.close()
