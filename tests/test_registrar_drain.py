"""What a registrar does with operators' requests that are unanswered, or come, while it shuts down."""

import asyncio
from pathlib import Path

from peers import play, soon
from test_registrar_process import formed, settings_for

from plumline.registrar.process import RegistrarProcess
from plumline.wire.server import Server

CHANGE = (
    b"POST /Configuration.Replace HTTP/1.1\r\nHost: x\r\nBased-On-Version: 0\r\nContent-Length: 13\r\n\r\n"
)
READ = b"GET /Configuration.Read HTTP/1.1\r\nHost: x\r\n\r\n"


async def serving(registrar: RegistrarProcess) -> tuple[str, int]:
    """Lets it listen for operators; the address."""
    await soon(formed(registrar))
    registrar.operator_server = Server(registrar.operator_api.handle)
    await registrar.operator_server.listen(("127.0.0.1", 0))
    return registrar.operator_server.address()


@play
async def test_a_change_that_is_unanswered_when_the_registrar_ends_gets_an_answer(tmp_path: Path) -> None:
    """It may have been taken, so it is a 503 that tells the operator to ask another registrar."""
    registrar = RegistrarProcess(settings_for(tmp_path))
    address = await serving(registrar)
    registrar.core.chain.submit = lambda change, on_committed: None  # the chain never comes to it
    reader, writer = await asyncio.open_connection(*address)
    writer.write(CHANGE + b'{"Version":3}')
    while not registrar.operator_api.forwarder.pending:
        await asyncio.sleep(0)
    await soon(registrar._shut_down())
    head = await soon(reader.readuntil(b"\r\n\r\n"))
    assert head.startswith(b"HTTP/1.1 503 ") and b"\r\nRetry-After: " in head
    assert b"\r\nConnection: close\r\n" in head
    writer.close()


@play
async def test_requests_on_kept_connections_are_answered_until_the_registrar_ends(tmp_path: Path) -> None:
    registrar = RegistrarProcess(settings_for(tmp_path))
    address = await serving(registrar)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(READ)
    assert b"Keep-Alive" in await soon(reader.readuntil(b"\r\n\r\n"))
    handing_over = asyncio.Event()

    async def hand_over() -> None:
        handing_over.set()
        await asyncio.sleep(0.05)

    registrar.hand_over = hand_over  # type: ignore[method-assign]
    ending = asyncio.ensure_future(registrar._shut_down())
    await handing_over.wait()
    writer.write(READ)
    rest = await soon(reader.read())
    assert b"HTTP/1.1 503 " in rest and b"\r\nConnection: close\r\n" in rest
    writer.close()
    await soon(ending)
