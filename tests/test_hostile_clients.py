"""Malicious and malformed input from clients: none of it may reach the handler as a different request."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from plumline.wire.exchange import Exchange
from plumline.wire.server import FixedLimits, Server

LIMITS = FixedLimits(header_bytes=2048, body_bytes=4096, header_ms=200, idle_ms=400)
TEST_TIMEOUT_S = 10.0  # after which a hanging test fails
VALID_REQUEST = b"POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nContent-Length: 3\r\n\r\nabc"
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: x.example\r\n\r\n"


def post(*lines: bytes, body: bytes = b"") -> bytes:
    return b"\r\n".join((b"POST /a/ HTTP/1.1", b"Host: x.example", *lines, b"", b"")) + body


def chunked(body: bytes) -> bytes:
    return post(b"Transfer-Encoding: chunked", body=body)


def head(*lines: bytes) -> bytes:
    return b"\r\n".join((*lines, b"", b""))


def run_scenario(
    scenario: Callable[[Server, list[Exchange]], Awaitable[None]], limits: FixedLimits = LIMITS
) -> None:
    async def run() -> None:
        requests: list[Exchange] = []

        def handle(exchange: Exchange) -> None:
            requests.append(exchange)
            exchange.respond(200, [(b"X-Path", exchange.path.encode())], exchange.body)

        server = Server(handle, lambda: limits)
        await server.listen(("127.0.0.1", 0))
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(server, requests)
        finally:
            server.end()

    asyncio.run(run())


async def exchange_bytes(server: Server, data: bytes) -> bytes:
    """Sends `data` and returns everything received until the server closes the connection."""
    reader, writer = await asyncio.open_connection(*server.address())
    writer.write(data)
    try:
        return await reader.read()
    finally:
        writer.close()


async def assert_still_serving(server: Server, requests: list[Exchange]) -> None:
    count = len(requests)
    closing = VALID_REQUEST.replace(b"Host", b"Connection: close\r\nHost")
    answer = await exchange_bytes(server, closing)
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nabc")
    assert len(requests) == count + 1


LENGTH = b"Content-Length: "
CHUNKED = b"Transfer-Encoding: chunked"
HOST_HEADER = b"Host: x.example"
REJECTED: dict[str, tuple[bytes, int]] = {
    "length and chunks": (post(LENGTH + b"5", CHUNKED, body=b"0\r\n\r\n" + SMUGGLED), 400),
    "chunks and length": (post(CHUNKED, LENGTH + b"5", body=b"0\r\n\r\n" + SMUGGLED), 400),
    "lengths differ": (post(LENGTH + b"3", LENGTH + b"5", body=b"abcde"), 400),
    "lengths equal": (post(LENGTH + b"3", LENGTH + b"3", body=b"abc"), 400),
    "lengths listed": (post(LENGTH + b"3, 3", body=b"abc"), 400),
    "lengths listed, differ": (post(LENGTH + b"3, 5", body=b"abc"), 400),
    "length signed": (post(LENGTH + b"+3", body=b"abc"), 400),
    "length negative": (post(LENGTH + b"-3", body=b"abc"), 400),
    "length hexadecimal": (post(LENGTH + b"0x3", body=b"abc"), 400),
    "length underscored": (post(LENGTH + b"1_0", body=b"abcdefghij"), 400),
    "length empty": (post(b"Content-Length:", body=b"abc"), 400),
    "length huge": (post(LENGTH + b"9" * 30, body=b"abc"), 400),
    "space before colon": (post(b"Content-Length : 3", body=b"abc"), 400),
    "tab before colon": (post(b"Transfer-Encoding\t: chunked", body=b"0\r\n\r\n"), 400),
    "space before name": (head(b"GET / HTTP/1.1", b" Host: x.example"), 400),
    "fold": (post(b"X-Long: a", b" b"), 400),
    "fold with tab": (post(b"X-Long: a", b"\tContent-Length: 3", body=b"abc"), 400),
    "fold of coding": (post(b"Transfer-Encoding:", b" chunked", body=b"0\r\n\r\n"), 400),
    "bare LF throughout": (b"GET / HTTP/1.1\nHost: x.example\n\n", 400),
    "bare LF at one line": (b"GET / HTTP/1.1\r\nHost: x.example\nX: y\r\n\r\n", 400),
    "bare LF at the end": (b"GET / HTTP/1.1\r\nHost: x.example\r\n\n", 400),
    "bare CR in a value": (b"GET / HTTP/1.1\r\nHost: x.example\r\nX: a\rContent-Length: 3\r\n\r\n", 400),
    "CR CR LF": (b"GET / HTTP/1.1\r\nHost: x.example\r\r\nX: y\r\n\r\n", 400),
    "NUL in a value": (post(b"X: a\x00b"), 400),
    "vertical tab in the coding": (post(b"Transfer-Encoding: \x0bchunked", body=b"0\r\n\r\n"), 400),
    "control character in a value": (post(b"X: a\x01b"), 400),
    "delete in a value": (post(b"X: a\x7fb"), 400),
    "no colon": (post(b"just words"), 400),
    "empty name": (post(b": value"), 400),
    "coding twice": (post(b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"), 501),
    "coding listed": (post(b"Transfer-Encoding: chunked, identity", body=b"0\r\n\r\n"), 501),
    "coding unknown": (post(b"Transfer-Encoding: xchunked", body=b"0\r\n\r\n"), 501),
    "coding in 1.0": (
        head(b"POST / HTTP/1.0", b"Host: x.example", b"Transfer-Encoding: chunked") + b"0\r\n\r\n",
        400,
    ),
    "chunk size no number": (chunked(b"x\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size signed": (chunked(b"+3\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size negative": (chunked(b"-3\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size prefixed": (chunked(b"0x3\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size empty": (chunked(b"\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size followed by space": (chunked(b"3 \r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size after space": (chunked(b" 3\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size with bare LF": (chunked(b"3\nabc\r\n0\r\n\r\n"), 400),
    "chunk size beyond any integer": (chunked(b"f" * 17 + b"\r\nabc"), 400),
    "chunk size wraps around": (chunked(b"ffffffffffffffff\r\nabc\r\n0\r\n\r\n"), 413),
    "chunk longer than told": (chunked(b"3\r\nabcd\r\n0\r\n\r\n"), 400),
    "chunk ends with bare LF": (chunked(b"3\r\nabc\n0\r\n\r\n"), 400),
    "chunk extension with LF": (chunked(b"3;a\nb\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk extension with CR": (chunked(b"3;a\rb\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk extension endless": (chunked(b"3;" + b"a" * 5000), 400),
    "chunk extensions beyond bounds": (chunked((b"1;" + b"a" * 200 + b"\r\nx\r\n") * 60), 431),
    "last chunk with bare LF": (chunked(b"0\r\n\n" + SMUGGLED), 400),
    "trailer with bare LF": (chunked(b"0\r\nA: b\n\r\n"), 400),
    "trailer without colon": (chunked(b"0\r\nGET /smuggled HTTP/1.1\r\n\r\n"), 400),
    "trailer folded": (chunked(b"0\r\nA: b\r\n c\r\n\r\n"), 400),
    "trailers endless": (chunked(b"0\r\n" + b"A: b\r\n" * 3000), 431),
    "no Host": (head(b"GET / HTTP/1.1"), 400),
    "two Hosts": (head(b"GET / HTTP/1.1", b"Host: x.example", b"Host: x.example"), 400),
    "empty Host": (head(b"GET / HTTP/1.1", b"Host:"), 400),
    "Host with a space": (head(b"GET / HTTP/1.1", b"Host: x.example y.example"), 400),
    "Host listed": (head(b"GET / HTTP/1.1", b"Host: x.example,y.example"), 400),
    "Host with a path": (head(b"GET / HTTP/1.1", b"Host: x.example/a"), 400),
    "Host with a user": (head(b"GET / HTTP/1.1", b"Host: a@x.example"), 400),
    "absolute target of another host": (head(b"GET http://y.example/ HTTP/1.1", b"Host: x.example"), 400),
    "absolute target with a user": (head(b"GET http://x@y.example/ HTTP/1.1", b"Host: y.example"), 400),
    "absolute target of another scheme": (head(b"GET ftp://x.example/ HTTP/1.1", b"Host: x.example"), 400),
    "target without a path": (head(b"GET a/b HTTP/1.1", b"Host: x.example"), 400),
    "target star": (head(b"OPTIONS * HTTP/1.1", b"Host: x.example"), 400),
    "target with a fragment": (head(b"GET /a#b HTTP/1.1", b"Host: x.example"), 400),
    "target with a space": (head(b"GET /a b HTTP/1.1", b"Host: x.example"), 400),
    "target not ASCII": (head(b"GET /\xff HTTP/1.1", b"Host: x.example"), 400),
    "two spaces": (head(b"GET  / HTTP/1.1", b"Host: x.example"), 400),
    "method no token": (head(b"GE(T / HTTP/1.1", b"Host: x.example"), 400),
    "no version": (head(b"GET /"), 400),
    "version 2.0": (head(b"GET / HTTP/2.0", b"Host: x.example"), 505),
    "version 1.2": (head(b"GET / HTTP/1.2", b"Host: x.example"), 505),
    "version lower-case": (head(b"GET / http/1.1", b"Host: x.example"), 400),
    "version long": (head(b"GET / HTTP/1.10", b"Host: x.example"), 400),
    "preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
    "TLS": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    "tunnel": (head(b"CONNECT x.example:443 HTTP/1.1", b"Host: x.example"), 501),
    "upgrade": (post(b"Connection: Upgrade, HTTP2-Settings", b"Upgrade: h2c"), 501),
    "websocket": (post(b"Connection: Upgrade", b"Upgrade: websocket"), 501),
    "expectation unknown": (post(b"Expect: 200-ok", LENGTH + b"3"), 417),
    "head too long at once": (post(b"X: " + b"a" * 3000), 431),
    "head too long, never ends": (b"GET / HTTP/1.1\r\nX: " + b"a" * 3000, 431),
    "target too long": (b"GET /" + b"a" * 3000, 431),
    "length over the limit": (post(LENGTH + b"4097", body=b"a" * 4097), 413),
    "length over the limit, expects": (post(LENGTH + b"4097", b"Expect: 100-continue"), 413),
    "chunks over the limit": (chunked(b"800\r\n" + b"a" * 2048 + b"\r\n801\r\n"), 413),
    "head never ends": (b"GET / HTTP/1.1\r\nHost: x.example\r\n", 408),
    "body never ends": (post(LENGTH + b"10", body=b"abc"), 408),
    "chunks never end": (chunked(b"3\r\nabc\r\n"), 408),
}


@pytest.mark.parametrize("name", REJECTED)
def test_malformed_request_is_rejected_and_the_connection_closes(name: str) -> None:
    data, status = REJECTED[name]

    async def scenario(server: Server, requests: list[Exchange]) -> None:
        # Bytes that follow on the connection must not be parsed as a request, wherever the bad one ended.
        more = b"" if status == 408 else SMUGGLED
        answer = await exchange_bytes(server, data + more)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        response_head, _, text = answer.partition(b"\r\n\r\n")
        assert b"\r\nConnection: close" in response_head
        assert b"\r\nContent-Length: %d\r\n" % len(text) in response_head  # nothing follows it
        assert requests == []
        assert sum(server.counters.values()) == 1
        assert server.buffered_body_bytes == 0
        await assert_still_serving(server, requests)

    run_scenario(scenario)


@pytest.mark.parametrize("name", [name for name, (_, status) in REJECTED.items() if status != 408])
def test_malformed_request_is_rejected_when_read_byte_by_byte(name: str) -> None:
    """The same input, received one byte at a time."""
    data, status = REJECTED[name]

    async def scenario(server: Server, requests: list[Exchange]) -> None:
        reader, writer = await asyncio.open_connection(*server.address())
        while not server.connections:
            await asyncio.sleep(0)
        (connection,) = server.connections
        for code in data + SMUGGLED:
            server.buffer[0] = code
            connection.buffer_updated(1)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert requests == []
        writer.close()
        await assert_still_serving(server, requests)

    run_scenario(scenario, LIMITS._replace(header_ms=60000, idle_ms=60000))


REQUESTS_IN_BODIES = {
    "in a body of told length": post(b"Content-Length: %d" % len(SMUGGLED), body=SMUGGLED),
    "in a chunk": chunked(b"%x\r\n%b\r\n0\r\n\r\n" % (len(SMUGGLED), SMUGGLED)),
    "in two chunks": chunked(
        b"5\r\n%b\r\n%x\r\n%b\r\n0\r\nA: b\r\n\r\n" % (SMUGGLED[:5], len(SMUGGLED) - 5, SMUGGLED[5:])
    ),
    "behind an extension": chunked(b"%x;a=b\r\n%b\r\n000\r\n\r\n" % (len(SMUGGLED), SMUGGLED)),
}


@pytest.mark.parametrize("name", REQUESTS_IN_BODIES)
def test_a_request_inside_a_body_is_data(name: str) -> None:
    async def scenario(server: Server, requests: list[Exchange]) -> None:
        behind = head(b"GET /next HTTP/1.1", HOST_HEADER, b"Connection: close")
        answer = await exchange_bytes(server, REQUESTS_IN_BODIES[name] + behind)
        assert [each.path for each in requests] == ["/a/", "/next"]
        assert requests[0].body == SMUGGLED
        assert answer.count(b"HTTP/1.1 200 ") == 2

    run_scenario(scenario)


def test_the_body_of_a_get_is_not_parsed_as_a_request() -> None:
    async def scenario(server: Server, requests: list[Exchange]) -> None:
        data = head(b"GET /a HTTP/1.0", b"Content-Length: %d" % len(SMUGGLED)) + SMUGGLED
        await exchange_bytes(server, data)
        assert [(each.path, each.body) for each in requests] == [("/a", SMUGGLED)]

    run_scenario(scenario)


def test_silent_and_disconnecting_clients_cause_no_request() -> None:
    async def scenario(server: Server, requests: list[Exchange]) -> None:
        assert await exchange_bytes(server, b"") == b""  # ended by the idle limit
        for data in (b"GET /", post(b"Content-Length: 9", body=b"abc"), chunked(b"9\r\nabc")):
            reader, writer = await asyncio.open_connection(*server.address())
            writer.write(data)
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()
        assert requests == [] and server.buffered_body_bytes == 0
        await assert_still_serving(server, requests)

    run_scenario(scenario)


def test_the_total_of_buffered_bodies_is_bounded() -> None:
    async def scenario(server: Server, requests: list[Exchange]) -> None:
        server.max_buffered_body_bytes = 1000
        answer = await exchange_bytes(server, post(b"Content-Length: 2000", b"Expect: 100-continue"))
        assert answer.startswith(b"HTTP/1.1 503 ") and b"\r\nRetry-After: 1\r\n" in answer
        answer = await exchange_bytes(server, chunked(b"7d0\r\n" + b"a" * 1500))
        assert answer.startswith(b"HTTP/1.1 503 ") and b"\r\nRetry-After: 1\r\n" in answer
        assert requests == [] and server.buffered_body_bytes == 0
        await assert_still_serving(server, requests)

    run_scenario(scenario)


def test_a_long_rejected_upload_still_gets_its_response() -> None:
    async def scenario(server: Server, requests: list[Exchange]) -> None:
        size = 3 * 1024 * 1024
        answer = await exchange_bytes(server, post(b"Content-Length: %d" % size, body=b"a" * size))
        assert answer.startswith(b"HTTP/1.1 413 ")

    run_scenario(scenario)
