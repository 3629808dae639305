"""One try at one endpoint: what goes with it, its answer relayed, and what its end proved."""

from dataclasses import replace
from enum import Enum

import h11

from plumline.prefix_cache.index import Placement
from plumline.router.choice_report import count_rereading, report_if_late
from plumline.router.progress import RESPONSE_MARGIN_S, RETRY_AFTER_RANGE_S, Proof
from plumline.router.relay import (
    LONGEST_END,
    EventJoiner,
    EventUnplacedError,
    Headers,
    answer_headers,
    ends_event,
    is_event_stream,
    is_framed,
    value_of,
)
from plumline.router.router_state import address_text
from plumline.router.selection import EndpointChoice, Selection
from plumline.router.upstream import (
    UpstreamConnectError,
    UpstreamConnection,
    UpstreamError,
    UpstreamUnsentError,
    idle_time,
)
from plumline.routing.endpoint_load import Load
from plumline.routing.endpoint_scoring import Candidate, expected_ms
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.outcomes import Call
from plumline.routing.rollout_evidence import TimedAnswer

SHUNNED = 1.0  # s without sends to an endpoint whose weights turned out to be others than known
PROMISES = frozenset((408, 421, 429, 503))  # a client takes these for 'has not run and never will'


async def attempt(selection: Selection, picked: EndpointChoice) -> Proof:
    """One send, its answer, and what its end says of the endpoint's health."""
    router, request, endpoint = selection.router, selection.request, picked.endpoint
    prompt, progress = request.prompt, selection.progress
    load = router.load(endpoint.id)
    call = router.outcomes.begin(endpoint.id, router.clock())
    load.running += 1
    if not prompt.long:
        load.unread += picked.candidate.missing
    read_ms = expected_ms(reading_of(picked.candidate))
    router.shares.sent(request.service, request.owner, prompt.tokens / picked.candidate.read_rate, read_ms)
    if homes := router.prefix_homes.get(request.service):
        homes.work.add(router.clock(), read_ms + prompt.work_ms, prompt.long)
    send = Send(selection, picked, load, call)
    try:
        return await send.run()
    finally:
        load.running -= 1
        send.count_for_rollout()
        send.finished()
        router.outcomes.nothing(call)  # if its end hasn't said more
        if progress.connection:
            router.pool.drop(endpoint.id, progress.connection)
            progress.connection = None


def reading_of(candidate: Candidate) -> Candidate:
    """The same request at an idle endpoint: what its own reading takes."""
    return replace(candidate, unread=0.0, running=0, excess_ms=0.0)


class Ending(Enum):
    """What the end of a send says of the version that its endpoint runs."""

    NOTHING = "nothing"  # it was not run, or was turned away
    WELL = "well"  # unless it was slow
    FAILED = "failed"
    CUT_SHORT = "cut-short"  # by its client, or by the end of its time after a first piece


class Send:
    """One try at one endpoint."""

    def __init__(self, selection: Selection, picked: EndpointChoice, load: Load, call: Call) -> None:
        self.selection, self.router = selection, selection.router
        self.request, self.progress = selection.request, selection.progress
        self.endpoint, self.salt, self.candidate = picked.endpoint, picked.salt, picked.candidate
        self.load, self.call = load, call
        self.unread = 0.0 if self.request.prompt.long else picked.candidate.missing
        self.number = 0  # under which the others were told of it
        self.store = ""  # address of the store that may hold a long prompt's parts
        self.saves = ""  # the same, if they are saved to it
        self.told = False
        self.began = 0.0
        self.wrote = False  # a piece of this answer's body has come
        self.ending = Ending.NOTHING

    def release(self) -> None:
        """The prompt has been read, or never will be."""
        self.load.unread = max(self.load.unread - self.unread, 0.0)
        self.unread = 0.0
        if self.number and self.wrote and not self.told:
            self.told = True
            self.router.index.read((self.router.node, self.number), self.router.clock())
            self.router.tell(["read", self.number])

    def finished(self) -> None:
        """Nothing of it runs any more."""
        self.release()
        if self.number:
            self.router.index.done((self.router.node, self.number))
            self.router.tell(["done", self.number])
            self.number = 0

    def count_for_rollout(self) -> None:
        """Counts the end of the send for or against the version that its endpoint runs."""
        if self.ending is Ending.NOTHING:
            return
        router, request = self.router, self.request
        usual = replace(
            self.candidate, excess_ms=0.0, read_rate=router.read_rates_of(request.service).typical()
        )
        answer = TimedAnswer(
            service=request.service,
            endpoint=self.endpoint.id,
            route=request.route.name,
            took_ms=(router.clock() - self.began) * 1000,
            expected_ms=expected_ms(usual),
            failed=self.ending is Ending.FAILED,
            cut_short=self.ending is Ending.CUT_SHORT,
            latency_target_ms=request.route.latency_target_ms,
        )
        router.rollout_evidence.observe(answer, router.version_gate.traffic(request.service))

    def place(self) -> None:
        """Tells the others of a long prompt, before it is sent: on a slow link the news would come behind the
        request's body, and another router would choose the same endpoint meanwhile."""
        router, prompt = self.router, self.request.prompt
        if not prompt.long or self.salt is None:
            return
        store = router.store_for(prompt.parts) if prompt.parts else None
        if store and store.cache_store_address:
            self.store = address_text(store.cache_store_address)
            if MECHANISMS.store_saves and self.worth_saving():
                self.saves = self.store
        self.number = next(router.serials)
        missing = float(self.candidate.missing - self.candidate.movable)
        count_rereading(router, self.salt.text, prompt.parts[:-1], self.candidate)
        now = router.clock()
        placement = Placement(self.endpoint.id, self.salt.text, prompt.parts, missing, self.saves, now)
        router.index.placed((router.node, self.number), placement)
        parts = [list(each) for each in prompt.parts]
        router.tell(["placed", self.number, self.endpoint.id, self.salt.text, parts, missing, self.saves])

    def count(self, name: str) -> None:
        """One more send that ended so."""
        self.router.counters.add(f"send-{name}")

    def may_go_out(self) -> bool:
        """Whether the choice still holds after a wait: the endpoint takes requests, with the same salt."""
        listed = self.router.fleet.endpoints.get(self.endpoint.id)
        if listed is None or listed.draining or listed.moving or not self.router.version_gate.may_use(listed):
            return False
        return self.salt is None or self.selection.is_in_force(self.salt, listed)

    async def run(self) -> Proof:
        """Sends the request and relays its answer."""
        self.place()
        connection = self.sent_on_kept() or await self.sent_on_new()
        if connection is None:
            return Proof.NOT_RUN
        try:
            return await self.receive(connection)
        except (UpstreamError, EventUnplacedError):
            return self.broken()

    def sent_on_kept(self) -> UpstreamConnection | None:
        """The kept connection on which the request went out. One that had ended took nothing of it."""
        if self.request.id is None:
            return None  # nothing would tell its answer from one that came late for another request
        router, progress = self.router, self.progress
        while connection := router.pool.take_idle(self.endpoint.id, router.clock()):
            if self.sent_on(connection):
                return connection
            progress.connection = None
            router.pool.drop(self.endpoint.id, connection)
            if progress.expired:
                break
        return None

    async def sent_on_new(self) -> UpstreamConnection | None:
        """The connection that was opened, with the request out on it; None if it did not go out."""
        router, progress, key = self.router, self.progress, self.endpoint.id
        if progress.expired:
            return None
        try:
            connection = await router.pool.connect(key, self.endpoint.address)
        except UpstreamConnectError:
            progress.failed_connects += 1
            progress.attempted.add(key)
            router.outcomes.failed(self.call, router.clock())
            self.count("connect-failed")
            return None
        self.count("connected")
        progress.connection = connection
        if not (progress.client_left or progress.expired) and self.may_go_out() and self.sent_on(connection):
            return connection
        progress.failed_connects += 1
        return None

    def sent_on(self, connection: UpstreamConnection) -> bool:
        """Writes the request; False: surely no byte of it has left."""
        request, progress, router = self.request, self.progress, self.router
        progress.connection = connection
        self.began = router.clock()
        left = int((request.until - self.began - RESPONSE_MARGIN_S) * 1000)
        if left <= 0:
            progress.expired = True
            return False
        try:
            connection.send(request.method, request.target, self.headers(left), request.exchange.body)
        except UpstreamUnsentError:
            self.count("unsent")
            return False
        progress.attempts += 1
        progress.retry_granted = False
        progress.attempted.add(self.endpoint.id)
        if self.salt:
            router.affinity.sent(self.salt.text, request.prompt.parts, self.endpoint.id, self.began)
        return True

    def headers(self, left: int) -> Headers:
        """Those that go with this send; salt and `Expect-Version` are one and the same version's."""
        request, progress = self.request, self.progress
        exchange, prompt, key = request.exchange, request.prompt, self.endpoint.id
        headers = list(request.base)
        if progress.joiner and progress.response_started and progress.joiner.last is not None:
            headers = [each for each in headers if each[0] != b"last-event-id"]
            headers.append((b"last-event-id", progress.joiner.last))
        headers.append((b"expected-instance", key.encode()))
        headers.append((b"remaining-milliseconds", b"%d" % left))
        if exchange.body or value_of(exchange.headers, b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(exchange.body)))
        if prompt.model:
            if MECHANISMS.priorities:
                headers.append((b"priority", b"%d" % request.priority))
            if self.salt is None:  # of unknown weights: shared with nobody
                headers.append((b"cache-salt", b"x%032x" % self.router.chance.getrandbits(128)))
            else:
                headers.append((b"cache-salt", self.salt.text.encode()))
                headers.append((b"expect-version", b"%d" % self.salt.version))
                # A short request's parts are read faster than they wait for the store's link.
                source = address_text(self.candidate.source) if self.candidate.source else self.store
                if source and MECHANISMS.prefix_fetch:
                    headers.append((b"kv-fetch", source.encode()))
                if self.saves:
                    headers.append((b"kv-save", self.saves.encode()))
        return headers

    def worth_saving(self) -> bool:
        """Whether the store may lack a shared part; saving a long prompt again would keep its link busy."""
        shared = self.request.prompt.parts[:-1]
        if self.salt is None or not shared:
            return False
        return self.router.index.store(self.store).lacks(self.router.clock(), self.salt.text, shared)

    def broken(self) -> Proof:
        """The connection has ended without a whole answer."""
        progress, now = self.progress, self.router.clock()
        self.ending = Ending.CUT_SHORT
        if progress.client_left:
            self.count("client-gone")
            return Proof.MAY_HAVE_RUN
        if progress.expired:
            self.count("silent" if not self.wrote else "unfinished")
            if not self.wrote:
                self.router.outcomes.failed(self.call, now)
            return Proof.MAY_HAVE_RUN
        self.ending = Ending.FAILED
        self.count("broken")
        self.router.outcomes.failed(self.call, now)
        return Proof.MAY_HAVE_RUN

    def spoilt(self, name: str) -> Proof:
        """What came is no answer to go on with, and it proves nothing."""
        self.ending = Ending.FAILED
        self.count(name)
        self.router.outcomes.failed(self.call, self.router.clock(), error=True)
        return Proof.MAY_HAVE_RUN

    async def receive(self, connection: UpstreamConnection) -> Proof:
        """Judges the head of the answer; the body of a good one is relayed. Raises UpstreamError."""
        request, progress, router = self.request, self.progress, self.router
        response = await connection.event()
        assert isinstance(response, h11.Response)
        status, headers = response.status_code, list(response.headers)
        if not self.is_answered_by(connection, status, headers):
            return self.spoilt("surplus")
        if status == 421 or value_of(headers, b"not-executed") is not None:
            if (proof := self.turned_away(status, headers)) is not None:
                if not progress.client_left and connection.finish_now():
                    self.keep(connection, headers)
                return proof
        elif status in PROMISES:
            return self.spoilt("unproven")  # what it would promise isn't known
        router.learn_version(self.endpoint, request.prompt.model, headers)
        if 200 <= status < 300 and (
            value_of(headers, b"server-seal") is None or value_of(headers, b"content-encoding") is not None
        ):
            return self.spoilt("unsealed")
        if status >= 500 and request.route.idempotent and self.could_repeat():
            return self.spoilt("error")
        if progress.response_started and not (status == 200 and is_event_stream(headers)):
            return self.spoilt("not-resumed")
        return await self.relay(connection, status, headers)

    def is_answered_by(self, connection: UpstreamConnection, status: int, headers: Headers) -> bool:
        """Whether the answer belongs to this request. One without an id may be a late answer to another
        request wherever one came before; on a new connection it is what answers who sent no id, or a 421."""
        told = {value for name, value in headers if name == b"attempt-id"}
        if not told:
            return not connection.used and (self.request.id is None or status == 421)
        return told == {self.request.id}

    def turned_away(self, status: int, headers: Headers) -> Proof | None:
        """Surely not run. None: the client's own fault, which the endpoint's answer tells it."""
        request, progress, router = self.request, self.progress, self.router
        key, model, now = self.endpoint.id, request.prompt.model, router.clock()
        if status == 421:
            router.counters.add("stale-endpoint")
            instance = value_of(headers, b"instance-id")
            if instance is not None and instance != key.encode():
                router.gone.add(key)
                return Proof.NOT_RUN
            router.learned.pop(key, None)  # what its answers told may have been wrong, or is over
            router.learn_version(self.endpoint, model, headers)
            if self.salt is None or router.version_at(self.endpoint, model) == self.salt.version:
                router.shunned[key] = now + SHUNNED
            return Proof.NOT_RUN
        if status < 500 and status not in PROMISES:
            return None if not progress.response_started else Proof.NOT_RUN
        self.count("turned-away")
        router.shares.ended(request.service, True)
        wait = seconds(value_of(headers, b"retry-after"))
        router.outcomes.refused(self.call, now, wait)
        progress.retry_after_s = (
            max(wait, router.outcomes.ready_in(key, now)) if wait else RETRY_AFTER_RANGE_S[0]
        )
        return Proof.NOT_RUN

    def could_repeat(self) -> bool:
        """Whether another endpoint could be sent the request now."""
        if self.progress.attempts >= self.request.route.attempt_limit:
            return False
        return self.selection.pick(self.router.clock())[0] is not None

    async def relay(self, connection: UpstreamConnection, status: int, headers: Headers) -> Proof:
        """The body as it comes. The head waits for the first piece: a break before that can be mended."""
        progress, exchange = self.progress, self.request.exchange
        if not progress.response_started:
            resumable = is_event_stream(headers) and status == 200 and self.request.route.resumable
            progress.joiner = EventJoiner() if resumable else None
        if progress.joiner:
            progress.joiner.begin()
        # An event stream without a length that stops within an event has broken off.
        needs_end = is_event_stream(headers) and not is_framed(self.request.method, status, headers)
        tail, ended = b"", False
        while not ended:
            event = await connection.event()
            if isinstance(event, h11.Response):
                raise UpstreamError("a head within an answer")
            ended = isinstance(event, h11.EndOfMessage)
            if isinstance(event, h11.Data):
                tail = (tail + bytes(event.data))[-LONGEST_END:]
            elif needs_end and not ends_event(tail):
                raise UpstreamError("the stream ends within an event")
            data = self.part_of(event)
            if not (data or ended):
                continue
            if progress.client_left or exchange.done:
                return self.cut_off()
            self.pass_on(status, headers, data)
            if not ended:
                await exchange.drain()
            if progress.client_left or exchange.done:
                return self.cut_off()
        return self.answered(connection, status, headers)

    def part_of(self, event: h11.Data | h11.EndOfMessage) -> bytes:
        """What an event of the answer adds to what the client gets."""
        joiner = self.progress.joiner
        if isinstance(event, h11.EndOfMessage):
            return joiner.rest() if joiner else b""
        if not self.wrote:
            self.first_piece()
        data = bytes(event.data)
        return joiner.feed(data) if joiner else data

    def pass_on(self, status: int, headers: Headers, data: bytes) -> None:
        """Writes a part of the answer to the client, behind the head of its first run."""
        progress, exchange = self.progress, self.request.exchange
        if not progress.response_started:
            progress.response_started = True
            exchange.start(status, answer_headers(headers, with_length=progress.joiner is None))
        if data:
            exchange.write(data)

    def answered(self, connection: UpstreamConnection, status: int, headers: Headers) -> Proof:
        """The answer has come to its end, and so does the client's."""
        self.request.exchange.finish()
        self.count(f"answered-{status // 100}xx")
        self.ending = Ending.WELL
        if status >= 500:
            self.ending = Ending.FAILED
            self.router.outcomes.failed(self.call, self.router.clock(), error=True)
        else:
            self.router.outcomes.served(self.call, self.router.clock())
        self.keep(connection, headers)
        return Proof.ANSWERED

    def cut_off(self) -> Proof:
        """The client is gone, or its time was up while it didn't read."""
        self.ending = Ending.CUT_SHORT
        self.count("client-gone" if self.progress.client_left else "unfinished")
        return Proof.ANSWERED

    def first_piece(self) -> None:
        """The first bytes of the body have come: the prompt is read."""
        self.wrote = True
        self.release()
        now = self.router.clock()
        took_ms = (now - self.began) * 1000
        excess_ms = took_ms - expected_ms(self.candidate)
        self.load.first_piece(now, excess_ms)
        self.router.shares.ended(self.request.service, excess_ms > self.request.route.latency_target_ms / 2)
        if self.request.prompt.long:
            report_if_late(self.router, self.request, self.candidate, now, took_ms)

    def keep(self, connection: UpstreamConnection, headers: Headers) -> None:
        """Gives the connection back for as long as the answer allows."""
        self.progress.connection = None
        idle = idle_time(headers) if self.endpoint.id in self.router.fleet.endpoints else 0.0
        self.router.pool.give_back(self.endpoint.id, connection, idle, self.router.clock())


def seconds(text: bytes | None) -> float:
    """A `Retry-After` in seconds with fractions; 0 if there is none that can be read."""
    if text is None or len(text) > 16 or not text.replace(b".", b"", 1).isdigit():
        return 0.0
    return float(text)
