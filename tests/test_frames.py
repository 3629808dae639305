"""Frames: compression, chunked large bodies with small messages in between, and malformed frames."""

import asyncio
import random
import tracemalloc
import zlib
from typing import Any
from unittest.mock import patch

import ormsgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plumline.counters import Counters
from plumline.errors import FrameError
from plumline.wire import frame_link, frames
from plumline.wire.frame_link import FrameLink, OutgoingFrame
from plumline.wire.frames import FrameDecoder, framed, hello, pack

STEP_S = 0.05  # time step of the simulated link
LINK_BYTES_PER_S = 625_000  # 5 Mbit/s
HEARTBEAT_INTERVAL_S = 0.4


def incompressible(length: int, seed: int = 1) -> bytes:
    """Random bytes that can't be compressed."""
    return random.Random(seed).randbytes(length)


class SlowTransport(asyncio.Transport):
    """Buffers what is written until the test transfers it at the rate of a slow link."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.protocol, self.buffer, self.high = protocol, bytearray(), 64 * 1024
        self.paused = self.aborted = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = high or self.high

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.buffer += data
        if len(self.buffer) > self.high and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def transfer(self, length: int) -> bytes:
        """Removes and returns the next bytes for the link."""
        data = bytes(self.buffer[:length])
        del self.buffer[:length]
        if self.paused and len(self.buffer) <= self.high // 4:
            self.paused = False
            self.protocol.resume_writing()
        return data


def create_sender() -> tuple[FrameLink, SlowTransport, Counters]:
    counters = Counters()

    def ignore(*_: object) -> None:
        pass

    link = FrameLink(hello("n", "registrar", "a:1", "z"), ignore, ignore, ignore, counters)
    transport = SlowTransport(link)
    link.connection_made(transport)
    return link, transport, counters


def test_a_hello_of_another_version_is_rejected_with_both_versions() -> None:
    async def play(greeting: list[Any]) -> tuple[bool, dict[str, int]]:
        link, transport, counters = create_sender()
        link.data_received(pack(greeting))
        return transport.is_closing(), counters.snapshot()

    fields = {"node": "m", "role": "router", "address": "a:2", "zone": "z"}
    with patch.object(frame_link, "log") as log:
        closed, counted = asyncio.run(play(["hello", "plumline", 3, fields]))
    assert closed
    assert counted["frames.protocol-version"] == 1
    (line,) = log.warning.call_args.args
    assert "plumline 3" in line and "plumline 2" in line
    closed, counted = asyncio.run(play(["hello", "plumline", 2, []]))
    assert closed
    assert counted["frames.frame-invalid"] == 1


def test_heartbeats_are_sent_between_the_chunks_of_a_state_on_a_slow_link() -> None:
    async def play() -> None:
        link, transport, _ = create_sender()
        received, found = FrameDecoder(), []
        state = ["state", 7, incompressible(4_000_000)]
        link.send(state)
        now, heartbeat_at = 0.0, 0.0
        while not any(message[0] == "state" for _, message in found):
            if now >= heartbeat_at:
                link.send(["beat", now])
                heartbeat_at = now + HEARTBEAT_INTERVAL_S
            data = transport.transfer(int(LINK_BYTES_PER_S * STEP_S))
            now += STEP_S
            found += [(now, message) for message in received.feed(data)]
        assert now > 6  # the transfer is slow, but every heartbeat arrives
        delays = [at - message[1] for at, message in found if message[0] == "beat"]
        assert len(delays) > now / HEARTBEAT_INTERVAL_S - 1
        most = (frame_link.WRITE_BUFFER_BYTES + 2 * frame_link.CHUNK_BYTES) / LINK_BYTES_PER_S
        assert max(delays) < most + 2 * STEP_S
        assert found[-1][1] == state
        assert received.chunk_count > 200

    asyncio.run(play())


def test_the_write_buffer_is_bounded_and_the_owner_is_notified_when_it_is_drained() -> None:
    async def play() -> None:
        link, transport, _ = create_sender()
        drained = []
        link.on_drained = drained.append
        link.send(["state", 7, incompressible(1_000_000)])
        link.send(["entry", 8, []], ordered=True)
        received, found, most = FrameDecoder(), [], 0
        while transport.buffer:
            assert link.busy or not link._send_queue
            assert not (drained and link.busy)
            most = max(most, len(transport.buffer))
            found += received.feed(transport.transfer(10_000))
        assert [message[0] for message in found] == ["hello", "state", "entry"]
        assert most <= frame_link.WRITE_BUFFER_BYTES + frame_link.CHUNK_BYTES + 64
        assert drained == [link] and not link.busy

    asyncio.run(play())


def test_an_unordered_message_overtakes_queued_ones() -> None:
    async def play() -> None:
        link, transport, _ = create_sender()
        link.send(["state", 7, incompressible(200_000)])
        link.send(["entry", 8, []], ordered=True)
        link.send(["beat"])
        found = FrameDecoder().feed(transport.transfer(10_000_000))
        assert [message[0] for message in found] == ["hello", "beat"]

    asyncio.run(play())


def test_a_peer_that_reads_nothing_is_disconnected() -> None:
    async def play() -> None:
        link, transport, counters = create_sender()
        for _ in range(4):
            link.send(["state", 7, incompressible(7_000_000)])
        assert transport.aborted
        assert counters.get("frames.peer-does-not-read") == 1

    asyncio.run(play())


def test_a_complete_configuration_is_compressed_to_a_tenth() -> None:
    routes = [
        {"Name": f"r{at}", "Host": "h.example", "PathPrefix": f"/p{at}/", "Service": "s", "TimeoutMs": 3000}
        for at in range(4000)
    ]
    message = ["state", 7, {"configuration": {"Version": 1, "Routes": routes}}]
    data = pack(message)
    assert len(data) < len(ormsgpack.packb(message)) / 10
    assert FrameDecoder().feed(data) == [message]


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.text(max_size=300)
    | st.binary(max_size=9000),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)
MESSAGES = st.lists(
    st.lists(VALUES, max_size=4).map(lambda fields: ["entry", *fields]) | st.just(["beat"]), max_size=8
)


@settings(deadline=None)  # wall-clock time is meaningless on a busy machine
@given(MESSAGES, st.integers(1, 5000), st.randoms(use_true_random=False))
def test_whatever_the_cuts_the_messages_come_whole_and_in_order(
    messages: list[list[Any]], most: int, chance: random.Random
) -> None:
    data = bytearray()
    for message in messages:
        frame = OutgoingFrame(pack(message) if chance.random() < 0.5 else framed(ormsgpack.packb(message)))
        while frame.unsent_bytes():
            data += frame.next_frame()
    received, found = FrameDecoder(), []
    while data:
        cut = chance.randint(1, most)
        found += received.feed(bytes(data[:cut]))
        del data[:cut]
    assert found == messages


def compression_bomb(size: int, declared_size: int) -> bytes:
    return framed(ormsgpack.packb(["packed", declared_size, zlib.compress(bytes(size), 9)]))


def with_wrong_size(difference: int) -> bytes:
    """A valid compressed message that declares a wrong size."""
    body = ormsgpack.packb(["entry", "x" * 1000])
    return framed(ormsgpack.packb(["packed", len(body) + difference, zlib.compress(body)]))


@pytest.mark.parametrize(
    "data",
    [
        compression_bomb(100_000_000, frames.MAX_BODY_BYTES),
        with_wrong_size(1),
        with_wrong_size(1000),
        with_wrong_size(-1),
        framed(ormsgpack.packb(["packed", 100, b"no zlib"])),
        framed(ormsgpack.packb(["packed", "100", b""])),
        framed(ormsgpack.packb(["packed", 100])),
        framed(ormsgpack.packb(["piece", 1, b"x"])),
        framed(ormsgpack.packb(["piece", False, "x"])),
        framed(ormsgpack.packb(["piece", False, ormsgpack.packb(["piece", False, b"x"])])),
        framed(ormsgpack.packb(["piece", False, ormsgpack.packb(7)])),
        (frames.MAX_BODY_BYTES + 1).to_bytes(4, "big"),
        framed(ormsgpack.packb({"no": "array"})),
        framed(ormsgpack.packb([])),
        framed(b"\xc1"),
    ],
)
def test_malformed_frames_are_rejected(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(data)


def test_a_body_larger_than_its_declared_size_allocates_no_memory() -> None:
    data = compression_bomb(200_000_000, 1000)
    tracemalloc.start()
    try:
        with pytest.raises(FrameError):
            FrameDecoder().feed(data)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 5_000_000


def test_chunks_of_more_than_the_largest_body_are_rejected() -> None:
    received = FrameDecoder()
    piece = framed(ormsgpack.packb(["piece", True, bytes(1024 * 1024)]))
    with pytest.raises(FrameError):
        for _ in range(frames.MAX_BODY_BYTES // (1024 * 1024) + 1):
            received.feed(piece)
    assert len(received._chunks) <= frames.MAX_BODY_BYTES
