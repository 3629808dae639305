"""Operators' requests that are pending, or arrive, while a registrar shuts down."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from peers import play, soon
from test_registrar_process import become_head, settings_for

from plumline.lab.local import Ports
from plumline.registrar.process import RegistrarProcess
from plumline.router.process import Router
from plumline.settings import Settings
from plumline.wire.server import Server

CHANGE = (
    b"POST /Configuration.Replace HTTP/1.1\r\nHost: x\r\nBased-On-Version: 0\r\nContent-Length: 13\r\n\r\n"
)
READ = b"GET /Configuration.Read HTTP/1.1\r\nHost: x\r\n\r\n"


async def start_serving(registrar: RegistrarProcess) -> tuple[str, int]:
    """Makes the registrar listen for operators; returns the address."""
    await soon(become_head(registrar))
    registrar.operator_server = Server(registrar.operator_api.handle)
    await registrar.operator_server.listen(("127.0.0.1", 0))
    return registrar.operator_server.address()


@play
async def test_a_change_that_is_unanswered_when_the_registrar_ends_gets_an_answer(tmp_path: Path) -> None:
    """The change may have been committed, so the 503 tells the operator to ask another registrar."""
    registrar = RegistrarProcess(settings_for(tmp_path))
    address = await start_serving(registrar)
    registrar.core.chain.submit = lambda change, on_committed: None  # the chain never commits it
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
    address = await start_serving(registrar)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(READ)
    assert b"Keep-Alive" in await soon(reader.readuntil(b"\r\n\r\n"))
    handing_over = asyncio.Event()

    async def hand_over() -> None:
        handing_over.set()
        await asyncio.sleep(0.05)

    registrar.hand_over = hand_over  # type: ignore[method-assign]
    shutdown = asyncio.ensure_future(registrar._shut_down())
    await handing_over.wait()
    writer.write(READ)
    rest = await soon(reader.read())
    assert b"HTTP/1.1 503 " in rest and b"\r\nConnection: close\r\n" in rest
    writer.close()
    await soon(shutdown)


class StartupRecorder:
    """Records the steps of a process's start, in order."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.steps: list[str] = []
        listen = Server.listen

        async def recorded_listen(server: Server, address: Any) -> None:  # noqa: ANN401
            self.steps.append("listen")
            await listen(server, ("127.0.0.1", 0))

        monkeypatch.setattr(Server, "listen", recorded_listen)
        loop = asyncio.get_running_loop()
        add_signal_handler = loop.add_signal_handler

        def recorded_add_signal_handler(number: int, callback: Callable[..., Any], *args: Any) -> None:  # noqa: ANN401
            self.steps.append(signal.Signals(number).name)
            add_signal_handler(number, callback, *args)

        monkeypatch.setattr(loop, "add_signal_handler", recorded_add_signal_handler)


@pytest.mark.parametrize("role", ["router", "registrar"])
def test_a_process_can_be_told_to_end_before_it_takes_the_first_request(
    role: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a handler, SIGTERM would end it at once, with the requests accepted since it listens."""

    async def startup_steps() -> list[str]:
        any_port = ("127.0.0.1", 0)
        port = Ports.free(["127.0.0.1"]).internal
        recorder = StartupRecorder(monkeypatch)
        folder = tmp_path if role == "registrar" else None
        settings = Settings(
            node_name="n",
            ip_address="127.0.0.1",
            internal_ports=(port, port),
            seed_addresses=(("127.0.0.1", 1),),
            first_start=True,
            data_directory=folder,
            front_http=any_port if role == "router" else None,
            readiness=any_port if role == "router" else None,
            control_plane=any_port if role == "registrar" else None,
        )
        process = Router(settings) if role == "router" else RegistrarProcess(settings)
        task = asyncio.ensure_future(process.run())
        while "listen" not in recorder.steps or "SIGTERM" not in recorder.steps:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return recorder.steps

    steps = asyncio.run(asyncio.wait_for(startup_steps(), 10))
    assert steps[:2] == ["SIGTERM", "SIGHUP"]


@play
async def test_a_registrar_that_is_told_to_end_while_its_disk_stalls_ends_at_once(tmp_path: Path) -> None:
    registrar = RegistrarProcess(settings_for(tmp_path))
    stalled = asyncio.Event()
    registrar.durable_state.wait_for_incarnation = stalled.wait  # type: ignore[method-assign,assignment]
    running = asyncio.ensure_future(registrar.run())
    await asyncio.sleep(0)
    registrar.stop_requested.set()
    await soon(running)
    assert registrar.operator_server is None
