"""What the system below knows of a connection, and does with it, beside the event loop."""

import asyncio
import select
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: closing is a reset, and unsent bytes are dropped


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the other side's end, have come that the loop has not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def reset_on_close(transport: asyncio.Transport) -> None:
    """The connection's end will be a reset, at which bytes that have not left yet are dropped."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
