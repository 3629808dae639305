"""Socket operations on connections that asyncio doesn't provide."""

import asyncio
import select
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER value: close sends a reset and drops unsent bytes


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether the socket has received bytes or an end of stream that the event loop has not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def reset_on_close(transport: asyncio.Transport) -> None:
    """Makes the close of the connection send a reset and drop unsent bytes."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
