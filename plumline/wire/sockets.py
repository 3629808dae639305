"""What the system knows of a connection before the event loop has read it."""

import asyncio
import select


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the other side's end, have come that the loop has not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
