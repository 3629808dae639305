"""Property tests of the calls to endpoints, stores and the platform, against a peer with random responses:
each call gets its own response or fails, and no call is sent twice. Raw bytes are exchanged over loopback.
"""

import asyncio
import json
import random
import socket
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plumline.wire.calls import ATTEMPT_ID, Answer, Caller, CallFailedError
from plumline.wire.http import Address, Connection

CALLS_EACH = 12
NAMES = ("report", "report", "order", "kv_events", "instances")
ADDRESSES: tuple[Address, ...] = (("10.0.0.1", 80), ("10.0.0.2", 80))


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """The two ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_socket = socket.create_connection(listener.getsockname())
        server_socket, _ = listener.accept()
    return client_socket, server_socket


@dataclass
class RandomPeer:
    """Serves every connection with random responses, and records the requests."""

    chance: random.Random
    served: list[tuple[int, int, bytes]] = field(default_factory=list)  # connection, call, first line
    connections: int = 0
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def open(self, address: Address) -> Connection:
        """Replaces `Connection.open`."""
        client_socket, server_socket = connected_pair()
        client_socket.setblocking(False)
        server_socket.setblocking(False)
        self.connections += 1
        self.tasks.append(asyncio.create_task(self.serve(server_socket, self.connections)))
        return Connection.from_socket(client_socket, address)

    async def serve(self, sock: socket.socket, number: int) -> None:
        loop, buffer = asyncio.get_running_loop(), b""
        with sock:
            while data := await loop.sock_recv(sock, 65536):
                buffer += data
                head, found, rest = buffer.partition(b"\r\n\r\n")
                if not found:
                    continue
                lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                length = int(lines.get(b"content-length", b"0"))
                if len(rest) < length:
                    continue
                buffer = rest[length:]
                id_ = lines[b"attempt-id"]
                self.served.append((number, int(id_), head.split(b"\r\n")[0]))
                answer, ends = self.draw(id_)
                await loop.sock_sendall(sock, answer)
                if ends:
                    return

    def draw(self, id_: bytes) -> tuple[bytes, bool]:
        """The bytes of a response, and whether the connection closes after them."""
        chance = self.chance
        body = json.dumps({"call": int(id_)}).encode()
        id_header = b"Attempt-Id: %b\r\n" % id_ if chance.random() < 0.5 else b""
        with_length = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (id_header, len(body), body)
        chunked = b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
            id_header,
            len(body),
            body,
        )
        other = b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"call": 999}'
        return chance.choice(
            [
                (with_length, False),
                (with_length, False),
                (chunked, False),
                (with_length, True),  # closes without Connection: close
                (with_length.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"), True),
                (with_length.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=0\r\n"), False),
                (b"HTTP/1.1 103 Early\r\n\r\n" * chance.randrange(1, 20) + with_length, False),
                (with_length + other, False),
                (with_length + b"more", False),
                (chunked + other[: chance.randrange(1, len(other))], False),
                (with_length[: chance.randrange(len(with_length))], True),
                (chunked[: chance.randrange(len(chunked))], True),
                (with_length.replace(b"Content-Length", b"X-Length"), True),
                (with_length.replace(b"OK\r\n", b"OK\r\nContent-Length: 3\r\n"), False),
                (with_length.replace(b"OK\r\n", b"OK\r\nAttempt-Id: 999\r\n"), False),
                (b"not an answer\r\n\r\n", False),
                (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20000, False),
            ]
        )


async def play(seed: int, monkeypatch: pytest.MonkeyPatch) -> tuple[RandomPeer, list[Answer | None]]:
    chance = random.Random(seed)
    peer, caller = RandomPeer(chance), Caller()
    monkeypatch.setattr(Connection, "open", peer.open)
    found: list[Answer | None] = []
    try:
        async with asyncio.timeout(10):
            for number in range(CALLS_EACH):
                name, address = chance.choice(NAMES), chance.choice(ADDRESSES)
                try:
                    headers = {ATTEMPT_ID: str(number)}
                    found.append(await caller.call(name, address, headers=headers, timeout_s=5))
                except CallFailedError as error:
                    assert error.sent
                    found.append(None)
    finally:
        caller.close()
        await asyncio.gather(*peer.tasks, return_exceptions=True)
    return peer, found


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**48))
def test_each_call_has_its_own_answer_or_fails_and_goes_out_once(seed: int) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        peer, found = asyncio.run(play(seed, monkeypatch))
    for number, answer in enumerate(found):
        assert answer is None or (answer.status, answer.json) == (200, {"call": number})
    assert sorted(call for _, call, _ in peer.served) == list(range(CALLS_EACH))
    first: dict[int, bytes] = {}
    for connection, _, line in peer.served:
        assert not line.startswith(b"POST /order") or connection not in first
        first.setdefault(connection, line)


def count_failing_seeds(seeds: int) -> int:
    """The number of seeds for which a call hangs or gets the response to another call."""
    count = 0
    for seed in range(seeds):
        with pytest.MonkeyPatch.context() as monkeypatch:
            try:
                _, found = asyncio.run(play(seed, monkeypatch))
            except AssertionError:
                count += 1
                continue
        count += any(each is not None and each.json != {"call": n} for n, each in enumerate(found))
    return count


@pytest.mark.parametrize("guards", [("is_unusable", "next_cycle")])
def test_without_its_guards_a_reused_connection_mixes_up_responses(
    guards: tuple[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each guard detects what the other misses: bytes directly after a response, or bytes that come later."""

    def next_cycle(connection: Connection) -> bool:
        if connection.codec.their_state is not connection.codec.our_state:
            return False
        connection.codec.start_next_cycle()
        return True

    assert count_failing_seeds(20) == 0
    monkeypatch.setattr(Connection, "is_unusable", lambda _: False)
    monkeypatch.setattr(Connection, "next_cycle", next_cycle)
    assert count_failing_seeds(20) > 0
