"""The routing decision: costs, salts, affinity, joining of event streams, headers and breakers."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from plumline.prefix_cache.blocks import parse_parts, prompt_tokens
from plumline.router.relay import EventJoiner, answer_headers, is_framed, request_headers
from plumline.router.upstream import idle_time
from plumline.routing.cache_salt import AcknowledgedVersions, salt_for
from plumline.routing.endpoint_load import Affinity, EndpointLoad
from plumline.routing.endpoint_scoring import Candidate, choose, cost, expected_ms
from plumline.routing.outcomes import Outcomes


def test_a_cached_prompt_outweighs_some_load_but_not_any_load() -> None:
    cached = Candidate("keeps", uncached_tokens=3_720, unread_tokens=3_000, running=2, slots=24)
    empty = Candidate("empty", uncached_tokens=17_020, slots=24)
    assert choose([empty, cached], random.Random(1)) is cached
    cached.unread_tokens = 40_000
    assert choose([empty, cached], random.Random(1)) is empty


def test_tokens_in_a_store_cost_the_lesser_of_moving_and_reading_them() -> None:
    moved = Candidate("a", uncached_tokens=6_120, fetchable_tokens=6_120, fetch_ms=45)
    assert expected_ms(moved) == 45
    moved.fetch_ms, moved.read_rate = 1e9, 61.2
    assert math.isclose(expected_ms(moved), 100)


def test_zone_and_connection_decide_only_between_similar_endpoints() -> None:
    far = Candidate("far", same_zone=False, connected=False)
    near = Candidate("near")
    assert {choose([far, near], random.Random(seed)).id for seed in range(9)} == {"near"}
    near.running = 3
    assert cost(near) > cost(far)
    near.running, near.off_home_ms = 0, 60.0
    assert choose([far, near], random.Random(1)) is far


def test_similar_endpoints_are_chosen_at_random() -> None:
    similar = [Candidate(str(n)) for n in range(6)]
    assert len({choose(similar, random.Random(seed)).id for seed in range(60)}) == 6
    assert choose([], random.Random(1)) is None


def test_a_salt_belongs_to_one_version_and_one_cache_scope() -> None:
    texts = [salt_for(v, g, t).text for v in (1, 2, 11) for g in (0, 1) for t in (None, "a", "b")]
    assert len(set(texts)) == 3 * (2 + 2)  # an isolated tenant's salt doesn't depend on the shared generation
    assert salt_for(7, 0, None).version == 7


def test_older_weights_are_usable_for_a_grace_time_after_the_first_newer_version_is_named() -> None:
    current: dict[str, int] | None = None
    named = AcknowledgedVersions(lambda: current, version_apply_s=10.0)
    named.update(0.0)
    current = {"m": 2}
    named.update(1.0)
    assert not named.is_usable("m", 1, 1.0)  # when version 2 was named is not known
    assert named.is_usable("m", 2, 1.0)
    current = {"m": 3}
    named.update(5.0)
    assert named.is_usable("m", 2, 10.9) and not named.is_usable("m", 2, 11.0)
    current = {"m": 5}
    named.update(9.0)
    assert (
        not named.is_usable("m", 2, 11.0)
        and named.is_usable("m", 3, 14.9)
        and not named.is_usable("m", 3, 15.0)
    )
    assert not named.is_usable("m", 1, 9.0) and named.is_usable("other", 1, 99.0)


def test_a_part_counts_as_cached_only_if_all_before_it_are() -> None:
    affinity = Affinity(max_parts=3)
    affinity.record_send("s", [("a", 800), ("b", 400)], "e1", 0.0)
    parts = [("a", 800), ("b", 400), ("c", 9)]
    assert affinity.cached_tokens("s", parts, "e1", 1.0) == 1200 == affinity.sent_tokens("s", parts)
    assert affinity.cached_tokens("s", [("c", 9), *parts], "e1", 1.0) == 0
    assert affinity.cached_tokens("t", parts, "e1", 1.0) == affinity.cached_tokens("s", parts, "e2", 1.0) == 0
    affinity.record_send("s", [("x", 1), ("y", 1)], "e1", 2.0)
    assert affinity.cached_tokens("s", parts, "e1", 2.0) == 0 and len(affinity.parts) == 3


def test_part_lists_are_parsed_up_to_the_first_malformed_item() -> None:
    assert parse_parts("5c1e07a2:800, 91bd:410,bad,ff:1") == [("5c1e07a2", 800), ("91bd", 410)]
    assert (prompt_tokens("1460,80"), prompt_tokens(""), prompt_tokens("x,1")) == (1460, 0, 0)


def test_the_observed_excess_decays() -> None:
    load = EndpointLoad()
    load.record_first_piece(10.0, 100.0)
    assert load.excess_at(10.0) == 20.0 > load.excess_at(13.0) > load.excess_at(20.0)


def test_internal_and_hop_by_hop_headers_are_not_forwarded() -> None:
    sent = [
        (b"host", b"h"),
        (b"attempt-id", b"1"),
        (b"connection", b"X-Private, Host, Attempt-Id, close"),
        (b"x-private", b"1"),
        (b"x-api-key", b"k"),
        (b"tenant-name", b"smuggled"),
        *[(name, b"1") for name in (b"kv-fetch", b"kv-save", b"cache-salt", b"priority", b"expect-version")],
        *[(name, b"1") for name in (b"expected-instance", b"transfer-encoding", b"te", b"content-length")],
        (b"accept", b"*/*"),
    ]
    assert request_headers(sent) == [(b"host", b"h"), (b"attempt-id", b"1"), (b"accept", b"*/*")]
    answer = [(b"server-seal", b"s"), (b"connection", b"server-seal"), (b"content-length", b"3")]
    assert answer_headers(answer) == [(b"server-seal", b"s"), (b"content-length", b"3")]
    assert answer_headers(answer, with_length=False) == [(b"server-seal", b"s")]
    assert not is_framed(b"GET", 200, [(b"server-seal", b"s")]) and is_framed(b"HEAD", 200, [])


def test_idle_time_of_a_connection() -> None:
    assert idle_time([(b"keep-alive", b"timeout=5, max=9")]) == 4.0
    assert idle_time([(b"keep-alive", b"timeout=1")]) == 0.0
    assert idle_time([]) == 4.0


EVENTS = [f"id: {n}\r\ndata: {'x' * n}\r\n\r\n".encode() for n in range(1, 12)]


@given(st.lists(st.integers(0, 300), max_size=12), st.integers(0, 300), st.integers(0, 11))
def test_joined_streams_give_each_event_once(cuts: list[int], broken: int, back: int) -> None:
    joiner, text, joined = EventJoiner(), b"".join(EVENTS), b""
    joiner.begin()
    first = text[:broken]
    for start, end in zip([0, *sorted(cuts)], [*sorted(cuts), len(first)], strict=True):
        joined += joiner.feed(first[start:end])
    assert joiner.may_join()
    again = max(int(joiner.last_id or 0) - back, 0)  # an endpoint may repeat some events
    joiner.begin()
    rest = b"".join(EVENTS[again:])
    for at in range(0, len(rest), 7):
        joined += joiner.feed(rest[at : at + 7])
    assert joined + joiner.flush() == text


def test_a_stream_without_numeric_ids_is_not_joined() -> None:
    joiner = EventJoiner()
    joiner.begin()
    assert joiner.feed(b"id: a\ndata: 1\n\nda") == b"id: a\ndata: 1\n\n"
    assert not joiner.may_join()
    for text in (b"data: 1\n\n", b"id: 1\ndata: 1\n\nevent: x\ndata: 2\n\n"):
        joiner = EventJoiner()
        joiner.begin()
        assert joiner.may_join()
        assert joiner.feed(text) == text
        assert not joiner.may_join()  # the newest event has no id to resume from
    joiner = EventJoiner()
    joiner.begin()
    joiner.feed(b"id: 1\ndata: 1\n\n: still here\n\n")
    assert joiner.may_join()


def outcomes(routers: int = 1) -> Outcomes:
    return Outcomes(lambda: routers, random.Random(1))


def test_consecutive_failures_open_a_breaker_and_one_trial_closes_it() -> None:
    health = outcomes()
    for at in range(3):
        health.failed(health.begin("e", float(at)), float(at))
    assert health.is_open("e") and math.isclose(health.ready_in_s("e", 2.5), 1.5, abs_tol=0.01)
    trial = health.begin("e", 4.1)
    assert health.ready_in_s("e", 4.2) == math.inf
    health.inconclusive(trial)  # the client disconnected: the trial is still to be made
    assert health.ready_in_s("e", 4.2) == 0
    health.served(health.begin("e", 4.3), 4.4)
    assert not health.is_open("e")


def test_refusals_pace_calls_without_opening_and_a_call_counts_once() -> None:
    health = outcomes()
    call = health.begin("e", 1.0)
    health.refused(call, 1.02, 0.0)
    health.failed(call, 1.02)
    assert not health.is_open("e") and health.breakers["e"].failures == 0
    assert 0.07 < health.ready_in_s("e", 1.02) < 0.09  # the first step of the gap, counted from the send
    health.refused(health.begin("e", 1.11), 1.12, 0.5)
    assert health.ready_in_s("e", 1.12) >= 0.499
    assert health.breakers["e"].out == 0


def test_breakers_of_unlisted_destinations_expire() -> None:
    health = outcomes()
    call = health.begin("gone", 0.0)
    health.begin("listed", 0.0)
    health.expire(["listed"], 100.0)
    assert set(health.breakers) == {"gone", "listed"}
    health.inconclusive(call)
    health.expire(["listed"], 100.0)
    assert set(health.breakers) == {"listed"}
