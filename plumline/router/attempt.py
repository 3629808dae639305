"""One attempt at one endpoint: its headers, the relay of its answer, and what its outcome proves."""

from dataclasses import replace
from enum import Enum

import h11

from plumline.prefix_cache.index import Placement
from plumline.router.choice_report import count_rereading, report_if_late
from plumline.router.progress import RESPONSE_MARGIN_S, RETRY_AFTER_RANGE_S, Proof
from plumline.router.relay import (
    MAX_DELIMITER_BYTES,
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
from plumline.routing.endpoint_load import EndpointLoad
from plumline.routing.endpoint_scoring import Candidate, expected_ms
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.outcomes import Call
from plumline.routing.rollout_evidence import TimedAnswer

VERSION_MISMATCH_BACKOFF_S = 1.0  # without attempts at an endpoint that has other weights than recorded
#: Statuses that tell a client that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


async def run_attempt(selection: Selection, picked: EndpointChoice) -> Proof:
    """Runs one attempt and records its load, its cost and the endpoint's health."""
    router, request, endpoint = selection.router, selection.request, picked.endpoint
    prompt, progress = request.prompt, selection.progress
    load = router.load(endpoint.id)
    call = router.outcomes.begin(endpoint.id, router.clock())
    load.running += 1
    if not prompt.long:
        load.unread_tokens += picked.candidate.uncached_tokens
    read_ms = expected_ms(without_load(picked.candidate))
    router.quotas.record_send(
        request.service, request.owner, prompt.tokens / picked.candidate.read_rate, read_ms
    )
    if homes := router.prefix_homes.get(request.service):
        homes.work.add(router.clock(), read_ms + prompt.output_ms, prompt.long)
    attempt = Attempt(selection, picked, load, call)
    try:
        return await attempt.run()
    finally:
        load.running -= 1
        attempt.count_for_rollout()
        attempt.on_end()
        router.outcomes.inconclusive(call)  # no effect if the outcome was recorded before
        if progress.connection:
            router.pool.drop(endpoint.id, progress.connection)
            progress.connection = None


def without_load(candidate: Candidate) -> Candidate:
    """The candidate as if its endpoint were idle: only the request's own reading costs time."""
    return replace(candidate, unread_tokens=0.0, running=0, excess_ms=0.0)


class Outcome(Enum):
    """What the end of an attempt says about the version that its endpoint runs."""

    NOT_EXECUTED = "nothing"  # not run, or refused
    SUCCEEDED = "well"  # possibly late
    FAILED = "failed"
    CUT_SHORT = "cut-short"  # by its client or by its deadline


class Attempt:
    """One attempt at one endpoint."""

    def __init__(self, selection: Selection, picked: EndpointChoice, load: EndpointLoad, call: Call) -> None:
        self.selection, self.router = selection, selection.router
        self.request, self.progress = selection.request, selection.progress
        self.endpoint, self.salt, self.candidate = picked.endpoint, picked.salt, picked.candidate
        self.load, self.call = load, call
        self.unread_tokens = 0.0 if self.request.prompt.long else picked.candidate.uncached_tokens
        self.placement_number = 0  # of the placement that the other routers know; 0: none was announced
        self.store_address = ""  # of the store that may hold a long prompt's parts
        self.save_address = ""  # the same, if the parts are to be saved there
        self.reading_reported = False
        self.sent_at = 0.0
        self.body_started = False  # a chunk of this answer's body has arrived
        self.outcome = Outcome.NOT_EXECUTED

    def release_unread_load(self) -> None:
        """Releases the unread load: the prompt has been read, or never will be."""
        self.load.unread_tokens = max(self.load.unread_tokens - self.unread_tokens, 0.0)
        self.unread_tokens = 0.0
        if self.placement_number and self.body_started and not self.reading_reported:
            self.reading_reported = True
            self.router.index.mark_read((self.router.node, self.placement_number), self.router.clock())
            self.router.publish_prompt_event(["read", self.placement_number])

    def on_end(self) -> None:
        """Releases the load and withdraws the placement, as nothing of the request runs any more."""
        self.release_unread_load()
        if self.placement_number:
            self.router.index.remove_stream((self.router.node, self.placement_number))
            self.router.publish_prompt_event(["done", self.placement_number])
            self.placement_number = 0

    def count_for_rollout(self) -> None:
        """Counts the outcome for or against the version that the endpoint runs."""
        if self.outcome is Outcome.NOT_EXECUTED:
            return
        router, request = self.router, self.request
        usual = replace(
            self.candidate, excess_ms=0.0, read_rate=router.read_rates_of(request.service).typical()
        )
        answer = TimedAnswer(
            service=request.service,
            endpoint=self.endpoint.id,
            route=request.route.name,
            took_ms=(router.clock() - self.sent_at) * 1000,
            expected_ms=expected_ms(usual),
            failed=self.outcome is Outcome.FAILED,
            cut_short=self.outcome is Outcome.CUT_SHORT,
            latency_target_ms=request.route.latency_target_ms,
        )
        router.rollout_evidence.observe(answer, router.version_gate.traffic(request.service))

    def announce_placement(self) -> None:
        """Announces a long prompt to the other routers before it is sent. On a slow link a later announcement
        would queue behind the request body, and another router could choose the same endpoint meanwhile."""
        router, prompt = self.router, self.request.prompt
        if not prompt.long or self.salt is None:
            return
        store = router.store_for(prompt.parts) if prompt.parts else None
        if store and store.cache_store_address:
            self.store_address = address_text(store.cache_store_address)
            if MECHANISMS.store_saves and self.should_save():
                self.save_address = self.store_address
        self.placement_number = next(router.placement_numbers)
        uncached_tokens = float(self.candidate.uncached_tokens - self.candidate.fetchable_tokens)
        count_rereading(router, self.salt.text, prompt.parts[:-1], self.candidate)
        now = router.clock()
        placement = Placement(
            self.endpoint.id, self.salt.text, prompt.parts, uncached_tokens, self.save_address, now
        )
        router.index.add_placement((router.node, self.placement_number), placement)
        parts = [list(each) for each in prompt.parts]
        router.publish_prompt_event(
            [
                "placed",
                self.placement_number,
                self.endpoint.id,
                self.salt.text,
                parts,
                uncached_tokens,
                self.save_address,
            ]
        )

    def count(self, name: str) -> None:
        """Counts an attempt under `send-{name}`."""
        self.router.counters.add(f"send-{name}")

    def is_choice_valid(self) -> bool:
        """Whether the endpoint still accepts requests, with the same salt, after a wait for a connection."""
        listed = self.router.fleet.endpoints.get(self.endpoint.id)
        if (
            listed is None
            or listed.draining
            or listed.updating
            or not self.router.version_gate.may_use(listed)
        ):
            return False
        return self.salt is None or self.selection.is_salt_valid(self.salt, listed)

    async def run(self) -> Proof:
        """Sends the request and relays its answer."""
        self.announce_placement()
        connection = self.send_on_idle_connection() or await self.send_on_new_connection()
        if connection is None:
            return Proof.NOT_RUN
        try:
            return await self.receive(connection)
        except (UpstreamError, EventUnplacedError):
            return self.on_broken_connection()

    def send_on_idle_connection(self) -> UpstreamConnection | None:
        """Sends the request on an idle connection and returns that; None if there is none. A connection that
        had ended has accepted no byte of it."""
        if self.request.id is None:
            return None  # its answer could not be told from a late answer to another request
        router, progress = self.router, self.progress
        while connection := router.pool.take_idle(self.endpoint.id, router.clock()):
            if self.send_on(connection):
                return connection
            progress.connection = None
            router.pool.drop(self.endpoint.id, connection)
            if progress.expired:
                break
        return None

    async def send_on_new_connection(self) -> UpstreamConnection | None:
        """Opens a connection, sends the request on it and returns it; None if the request was not sent."""
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
        if (
            not (progress.client_left or progress.expired)
            and self.is_choice_valid()
            and self.send_on(connection)
        ):
            return connection
        progress.failed_connects += 1
        return None

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Writes the request; False: no byte of it has been sent."""
        request, progress, router = self.request, self.progress, self.router
        progress.connection = connection
        self.sent_at = router.clock()
        remaining_ms = int((request.deadline - self.sent_at - RESPONSE_MARGIN_S) * 1000)
        if remaining_ms <= 0:
            progress.expired = True
            return False
        try:
            connection.send(request.method, request.target, self.headers(remaining_ms), request.exchange.body)
        except UpstreamUnsentError:
            self.count("unsent")
            return False
        progress.attempts += 1
        progress.retry_granted = False
        progress.attempted.add(self.endpoint.id)
        if self.salt:
            router.affinity.record_send(self.salt.text, request.prompt.parts, self.endpoint.id, self.sent_at)
        return True

    def headers(self, remaining_ms: int) -> Headers:
        """The headers of this attempt. The salt and `Expect-Version` belong to the same version."""
        request, progress = self.request, self.progress
        exchange, prompt, key = request.exchange, request.prompt, self.endpoint.id
        headers = list(request.forwarded_headers)
        if progress.joiner and progress.response_started and progress.joiner.last_id is not None:
            headers = [each for each in headers if each[0] != b"last-event-id"]
            headers.append((b"last-event-id", progress.joiner.last_id))
        headers.append((b"expected-instance", key.encode()))
        headers.append((b"remaining-milliseconds", b"%d" % remaining_ms))
        if exchange.body or value_of(exchange.headers, b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(exchange.body)))
        if prompt.model:
            if MECHANISMS.priorities:
                headers.append((b"priority", b"%d" % request.priority))
            if self.salt is None:  # a random salt prevents any sharing
                is_recent = self.router.has_recent_configuration()
                self.count("unshared-version" if is_recent else "unshared-outdated")
                headers.append((b"cache-salt", b"x%032x" % self.router.rng.getrandbits(128)))
            else:
                headers.append((b"cache-salt", self.salt.text.encode()))
                headers.append((b"expect-version", b"%d" % self.salt.version))
                # `store_address` is set for long prompts only: reading a short one is faster than the store.
                source = address_text(self.candidate.source) if self.candidate.source else self.store_address
                if source and MECHANISMS.prefix_fetch:
                    headers.append((b"kv-fetch", source.encode()))
                if self.save_address:
                    headers.append((b"kv-save", self.save_address.encode()))
        return headers

    def should_save(self) -> bool:
        """Whether the store may lack a shared part. Saving a long prompt again would only occupy its link."""
        shared = self.request.prompt.parts[:-1]
        if self.salt is None or not shared:
            return False
        return self.router.index.store(self.store_address).is_missing_any(
            self.router.clock(), self.salt.text, shared
        )

    def on_broken_connection(self) -> Proof:
        """The connection has ended before the answer was complete."""
        progress, now = self.progress, self.router.clock()
        self.outcome = Outcome.CUT_SHORT
        if progress.client_left:
            self.count("client-gone")
            return Proof.MAY_HAVE_RUN
        if progress.expired:
            self.count("silent" if not self.body_started else "unfinished")
            if not self.body_started:
                self.router.outcomes.failed(self.call, now)
            return Proof.MAY_HAVE_RUN
        self.outcome = Outcome.FAILED
        self.count("broken")
        self.router.outcomes.failed(self.call, now)
        return Proof.MAY_HAVE_RUN

    def discard_answer(self, name: str) -> Proof:
        """Discards an answer that cannot be relayed; it does not prove that the request has not run."""
        self.outcome = Outcome.FAILED
        self.count(name)
        self.router.outcomes.failed(self.call, self.router.clock(), error=True)
        return Proof.MAY_HAVE_RUN

    async def receive(self, connection: UpstreamConnection) -> Proof:
        """Checks the head of the answer and relays the body of a valid one. Raises UpstreamError."""
        request, progress, router = self.request, self.progress, self.router
        response = await connection.event()
        assert isinstance(response, h11.Response)
        status, headers = response.status_code, list(response.headers)
        if not self.is_answered_by(connection, status, headers):
            return self.discard_answer("surplus")
        if status == 421 or value_of(headers, b"not-executed") is not None:
            if (proof := self.on_refusal(status, headers)) is not None:
                if not progress.client_left and connection.discard_rest():
                    self.return_to_pool(connection, headers)
                return proof
        elif status in NOT_RUN_STATUSES:
            return self.discard_answer("unproven")  # the status alone does not prove that it has not run
        router.record_version(self.endpoint, request.prompt.model, headers)
        if 200 <= status < 300 and (
            value_of(headers, b"server-seal") is None or value_of(headers, b"content-encoding") is not None
        ):
            return self.discard_answer("unsealed")
        if status >= 500 and request.route.idempotent and self.can_retry():
            return self.discard_answer("error")
        if progress.response_started and not (status == 200 and is_event_stream(headers)):
            return self.discard_answer("not-resumed")
        return await self.relay(connection, status, headers)

    def is_answered_by(self, connection: UpstreamConnection, status: int, headers: Headers) -> bool:
        """Whether the answer belongs to this request.

        On a reused connection, an answer without an id may be a late answer to an earlier request. On a new
        connection it is accepted for a request without an id, or if it is a 421.
        """
        ids = {value for name, value in headers if name == b"attempt-id"}
        if not ids:
            return not connection.used and (self.request.id is None or status == 421)
        return ids == {self.request.id}

    def on_refusal(self, status: int, headers: Headers) -> Proof | None:
        """Handles an answer which proves that the request has not run. None: the client's own error; the
        endpoint's answer is relayed to it."""
        request, progress, router = self.request, self.progress, self.router
        key, model, now = self.endpoint.id, request.prompt.model, router.clock()
        if status == 421:
            router.counters.add("stale-endpoint")
            instance = value_of(headers, b"instance-id")
            if instance is not None and instance != key.encode():
                router.replaced.add(key)
                return Proof.NOT_RUN
            router.reported_versions.pop(key, None)  # the recorded version may be wrong or outdated
            router.record_version(self.endpoint, model, headers)
            if self.salt is None or router.version_at(self.endpoint, model) == self.salt.version:
                router.backoff_until[key] = now + VERSION_MISMATCH_BACKOFF_S
            return Proof.NOT_RUN
        if status < 500 and status not in NOT_RUN_STATUSES:
            return None if not progress.response_started else Proof.NOT_RUN
        self.count("turned-away")
        router.quotas.record_outcome(request.service, True)
        wait_s = parse_retry_after(value_of(headers, b"retry-after"))
        router.outcomes.refused(self.call, now, wait_s)
        progress.retry_after_s = (
            max(wait_s, router.outcomes.ready_in_s(key, now)) if wait_s else RETRY_AFTER_RANGE_S[0]
        )
        return Proof.NOT_RUN

    def can_retry(self) -> bool:
        """Whether the request could be sent to another endpoint now."""
        if self.progress.attempts >= self.request.route.attempt_limit:
            return False
        return self.selection.select_endpoint(self.router.clock())[0] is not None

    async def relay(self, connection: UpstreamConnection, status: int, headers: Headers) -> Proof:
        """Relays the body as it arrives. The head waits for the first chunk: if the connection breaks before
        that, the request can still be retried."""
        progress, exchange = self.progress, self.request.exchange
        if not progress.response_started:
            resumable = is_event_stream(headers) and status == 200 and self.request.route.resumable
            progress.joiner = EventJoiner() if resumable else None
        if progress.joiner:
            progress.joiner.begin()
        # An event stream without a length is incomplete if it ends within an event.
        needs_end = is_event_stream(headers) and not is_framed(self.request.method, status, headers)
        tail, ended = b"", False
        while not ended:
            event = await connection.event()
            if isinstance(event, h11.Response):
                raise UpstreamError("a head within an answer")
            ended = isinstance(event, h11.EndOfMessage)
            if isinstance(event, h11.Data):
                tail = (tail + bytes(event.data))[-MAX_DELIMITER_BYTES:]
            elif needs_end and not ends_event(tail):
                raise UpstreamError("the stream ends within an event")
            data = self.client_data(event)
            if not (data or ended):
                continue
            if progress.client_left or exchange.done:
                return self.on_client_cut_off()
            self.forward(status, headers, data)
            if not ended:
                await exchange.drain()
            if progress.client_left or exchange.done:
                return self.on_client_cut_off()
        return self.on_complete_answer(connection, status, headers)

    def client_data(self, event: h11.Data | h11.EndOfMessage) -> bytes:
        """The bytes that the client gets for an event of the answer."""
        joiner = self.progress.joiner
        if isinstance(event, h11.EndOfMessage):
            return joiner.flush() if joiner else b""
        if not self.body_started:
            self.on_first_chunk()
        data = bytes(event.data)
        return joiner.feed(data) if joiner else data

    def forward(self, status: int, headers: Headers, data: bytes) -> None:
        """Writes data to the client, after the head of the first answer."""
        progress, exchange = self.progress, self.request.exchange
        if not progress.response_started:
            progress.response_started = True
            exchange.start(status, answer_headers(headers, with_length=progress.joiner is None))
        if data:
            exchange.write(data)

    def on_complete_answer(self, connection: UpstreamConnection, status: int, headers: Headers) -> Proof:
        """Completes the client's answer and records the outcome."""
        self.request.exchange.finish()
        self.count(f"answered-{status // 100}xx")
        self.outcome = Outcome.SUCCEEDED
        if status >= 500:
            self.outcome = Outcome.FAILED
            self.router.outcomes.failed(self.call, self.router.clock(), error=True)
        else:
            self.router.outcomes.served(self.call, self.router.clock())
        self.return_to_pool(connection, headers)
        return Proof.ANSWERED

    def on_client_cut_off(self) -> Proof:
        """The client has disconnected, or its deadline passed while it was not reading."""
        self.outcome = Outcome.CUT_SHORT
        self.count("client-gone" if self.progress.client_left else "unfinished")
        return Proof.ANSWERED

    def on_first_chunk(self) -> None:
        """The first bytes of the body have arrived, so the prompt has been read."""
        self.body_started = True
        self.release_unread_load()
        now = self.router.clock()
        took_ms = (now - self.sent_at) * 1000
        excess_ms = took_ms - expected_ms(self.candidate)
        self.load.record_first_piece(now, excess_ms)
        self.router.quotas.record_outcome(
            self.request.service, excess_ms > self.request.route.latency_target_ms / 2
        )
        if self.request.prompt.long:
            report_if_late(self.router, self.request, self.candidate, now, took_ms)

    def return_to_pool(self, connection: UpstreamConnection, headers: Headers) -> None:
        """Returns the connection to the pool for as long as the answer allows."""
        self.progress.connection = None
        idle_s = idle_time(headers) if self.endpoint.id in self.router.fleet.endpoints else 0.0
        self.router.pool.release(self.endpoint.id, connection, idle_s, self.router.clock())


def parse_retry_after(text: bytes | None) -> float:
    """Parses a `Retry-After` of seconds with fractions; 0 if it is missing or invalid."""
    if text is None or len(text) > 16 or not text.replace(b".", b"", 1).isdigit():
        return 0.0
    return float(text)
