"""The prefix-cache index, prefix homes and the choice of a fetch source, against simple models."""

import math
from collections import OrderedDict

from hypothesis import given, settings
from hypothesis import strategies as st

from plumline.prefix_cache.blocks import common_tokens
from plumline.prefix_cache.index import (
    CACHE_MEMORY_SHARE,
    READING_TIMEOUT_S,
    SAVE_TIMEOUT_S,
    STREAM_TIMEOUT_S,
    EndpointCache,
    Placement,
    PrefixCacheIndex,
)
from plumline.routing.prefix_fetch import SETUP_MS, PrefixHolder, best_fetch
from plumline.routing.prefix_homes import MIN_RATE_SPAN_S, WORK_TIME_CONSTANT_S, PrefixHomes, is_long

A, B = ("10.0.0.1", 1), ("10.0.0.2", 1)
STORE = "10.9.9.9:1"
PARTS = [("system", 800), ("subject", 4000), ("own", 300)]


def placed(endpoint: str = "e1", parts: list[tuple[str, int]] | None = None, at: float = 0.0) -> Placement:
    parts = PARTS if parts is None else parts
    return Placement(endpoint, "s", parts, float(sum(n for _, n in parts)), STORE, at)


def test_a_prompt_is_backlog_until_it_is_read_and_cached_from_then_on() -> None:
    index = PrefixCacheIndex(lambda _: 100_000)
    index.add_placement(("r1", 1), placed())
    assert index.backlog("e1") == 5100
    assert index.cached_tokens("e1", "s", PARTS) == 0
    assert index.cached_or_reading_tokens("e1", "s", [*PARTS[:2], ("another", 9)]) == 4800
    index.mark_read(("r1", 1), 1.0)
    assert index.backlog("e1") == 0
    assert index.cached_tokens("e1", "s", [*PARTS[:2], ("another", 9)]) == 4800
    assert index.cached_tokens("e1", "another salt", PARTS) == 0
    assert index.cached_tokens("e2", "s", PARTS) == 0
    assert index.read_or_reading_tokens("s", PARTS) == 5100
    assert index.read_or_reading_tokens("s", [("system", 800), ("unread", 9)]) == 800
    # The prompt uses memory until its stream has ended.
    assert index.occupied_tokens("e1") == 5100
    index.remove_stream(("r1", 1))
    assert index.occupied_tokens("e1") == 0


def test_the_contents_of_a_store_follow_its_events() -> None:
    store = PrefixCacheIndex(lambda _: 0.0).store(STORE)
    shared = PARTS[:2]
    assert store.is_missing_any(0.0, "s", shared)
    store.sent(0.0, "s", shared)
    assert not store.is_missing_any(1.0, "s", shared)
    assert store.held_tokens("s", shared) == 0
    # Parts that the store does not confirm are sent again after a while.
    assert store.is_missing_any(SAVE_TIMEOUT_S, "s", shared)
    store.apply_events(7, [["+", "s", "system", 800], ["+", "s", "subject", 3984]])
    assert not store.is_missing_any(9.0, "s", shared)
    assert store.held_tokens("s", [*PARTS]) == 4800 + 300  # small parts count as held
    assert store.held_tokens("other", shared) == 0
    store.apply_events(7, [["-", "s", "subject", 128]])
    assert store.held_tokens("s", shared) == 800
    assert store.is_missing_any(9.0, "s", shared)
    store.apply_events(8, [["+", "s", "subject", 4000]])  # another epoch: the store has restarted
    assert store.held_tokens("s", shared) == 0
    store.clear()
    assert store.held_tokens("s", shared[1:]) == 0


def test_a_prompt_that_ended_unread_is_neither_backlog_nor_cached() -> None:
    index = PrefixCacheIndex(lambda _: 0.0)
    index.add_placement(("r1", 1), placed())
    index.remove_stream(("r1", 1))
    index.mark_read(("r1", 1), 1.0)
    assert (index.backlog("e1"), index.cached_tokens("e1", "s", PARTS)) == (0, 0)
    # A prompt without an end event expires; a repeated placed event changes nothing.
    index.add_placement(("r2", 7), placed(at=5.0))
    index.add_placement(("r2", 7), placed(at=5.0))
    index.expire(5.0 + READING_TIMEOUT_S / 2)
    assert index.backlog("e1") == 5100
    index.expire(5.0 + READING_TIMEOUT_S)
    assert (index.backlog("e1"), index.occupied_tokens("e1")) == (0, 5100)
    index.expire(5.0 + STREAM_TIMEOUT_S)
    assert index.occupied_tokens("e1") == 0


def test_the_cache_of_an_endpoint_that_left_or_has_other_weights_is_dropped() -> None:
    index = PrefixCacheIndex(lambda _: 0.0)
    for number, endpoint in enumerate(("e1", "e2", "e3")):
        index.add_placement(("r", number), placed(endpoint))
        index.mark_read(("r", number), 1.0)
    index.add_placement(("r", 9), placed("e1"))
    index.clear_endpoint("e2")
    index.set_endpoints(["e2", "e3"])
    assert [index.cached_tokens(each, "s", PARTS) for each in ("e1", "e2", "e3")] == [0, 0, 5100]
    assert index.backlog("e1") == 0


@settings(max_examples=200, deadline=None)
@given(st.lists(st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(1, 50)), max_size=4), max_size=30))
def test_an_endpoint_cache_evicts_the_least_recently_used_parts(prompts: list[list[tuple[str, int]]]) -> None:
    cache, model = EndpointCache(120.0), OrderedDict[str, int]()
    for parts in prompts:
        cache.add("s", parts)
        for name, tokens in parts:
            model.pop(name, None)
            model[name] = tokens
        while sum(model.values()) > 120:
            model.popitem(last=False)
        assert cache.size == sum(model.values()) == sum(cache.parts.values()) <= 120
        assert [name for _, name in cache.parts] == list(model)
        for parts_asked in prompts:
            held = 0
            for name, tokens in parts_asked:
                if name not in model:
                    break
                held += tokens
            assert cache.cached_tokens("s", parts_asked) == held


def test_cached_parts_leave_a_share_of_the_memory_to_running_requests() -> None:
    index = PrefixCacheIndex(lambda _: 1000.0)
    for number in range(20):
        index.add_placement(("r", number), placed("e", [(f"p{number}", 100)]))
        index.mark_read(("r", number), 1.0)
    assert (
        sum(index.cached_tokens("e", "s", [(f"p{number}", 100)]) for number in range(20))
        == 1000 * CACHE_MEMORY_SHARE
    )


def test_common_tokens_counts_the_leading_parts_of_both_prompts() -> None:
    assert common_tokens(PARTS, PARTS) == 5100
    assert common_tokens(PARTS, [("system", 800), ("other", 4000), ("own", 300)]) == 800
    assert common_tokens(PARTS, []) == 0


def test_the_fetch_source_that_saves_most_is_chosen_and_none_where_reading_is_faster() -> None:
    def fetch(*holders: PrefixHolder, kept: int = 0, zone: str = "z1"):  # noqa: ANN202
        regions = {"z1": "r1", "z2": "r1", "z3": "r2"}
        return best_fetch(holders, A, zone, kept, 163_840, 1_100_000, 61.2, regions)

    peer, store = (
        PrefixHolder(B, "z1", 13_300, 1_100_000),
        PrefixHolder(("10.9.9.9", 1), "z1", 13_300, 300_000),
    )
    best = fetch(store, peer)
    assert best is not None and best.source == B and best.tokens == 13_300
    assert math.isclose(best.ms, SETUP_MS + 13_300 * 163_840 * 8 / 1.1e9)
    # Farther away it takes longer, and from another region longer than reading.
    assert fetch(PrefixHolder(B, "z2", 13_300, 1_100_000)).ms > best.ms
    assert fetch(PrefixHolder(B, "z3", 13_300, 300_000)) is None
    # No fetch of cached tokens, from the endpoint itself, over a link of unknown speed, or of a few tokens.
    assert fetch(peer, kept=13_300) is None
    assert fetch(PrefixHolder(A, "z1", 13_300, 1_100_000)) is None
    assert best_fetch([PrefixHolder(B, "z1", 9000, 0)], A, "z1", 0, 163_840, 0, 61.2, {}) is None
    assert fetch(PrefixHolder(B, "z1", 60, 1_100_000)) is None


def homes_of(count: int) -> PrefixHomes:
    found = PrefixHomes()
    found.set_endpoints(f"e{n}" for n in range(count))
    return found


@settings(max_examples=100, deadline=None)
@given(st.integers(2, 12), st.text(min_size=1, max_size=8))
def test_a_home_is_the_same_for_all_routers_and_changes_only_if_its_endpoint_leaves(
    count: int, part: str
) -> None:
    found, other = homes_of(count), homes_of(count)
    other.set_endpoints(reversed(found.endpoints))
    parts = [("system", 8), (part, 90), ("own", 9)]
    home = found.home(parts)
    assert home in found.endpoints and other.home(parts) == home
    removed = next(each for each in found.endpoints if each != home)
    found.set_endpoints([each for each in found.endpoints if each != removed])
    assert found.home(parts) == home
    assert found.home(parts[:1]) is None
    found.set_endpoints([])
    assert found.home(parts) is None


def test_work_decays_and_a_long_prompt_is_one_beyond_a_share_of_the_shortest_target() -> None:
    work = PrefixHomes().work
    assert work.rates(0.0) == (0.0, 0.0)
    work.add(0.0, 100.0, long=True)
    work.add(0.0, 50.0, long=False)
    # A rate is taken over at least MIN_RATE_SPAN_S.
    assert math.isclose(
        work.rates(0.0)[1],
        100 / (WORK_TIME_CONSTANT_S * (1 - math.exp(-MIN_RATE_SPAN_S / WORK_TIME_CONSTANT_S))),
    )
    short, long = work.rates(WORK_TIME_CONSTANT_S)
    span = WORK_TIME_CONSTANT_S * (1 - 1 / math.e)
    assert math.isclose(short, 50 / math.e / span) and math.isclose(long, 100 / math.e / span)
    steady = PrefixHomes().work
    for step in range(100):
        steady.add(step / 10, 20.0, long=False)
        if step > 10:
            assert math.isclose(steady.rates(step / 10)[0], 200.0, rel_tol=0.12)
    assert is_long(40.0, 300.0)
    assert not is_long(6.0, 300.0)


def test_a_part_that_is_being_read_counts_as_read_until_its_prompt_ends() -> None:
    """Guards against reading the part at a second endpoint without the cost of reading it again."""
    index = PrefixCacheIndex(lambda _: 100_000)
    shared = PARTS[:2]
    index.add_placement(("r1", 1), placed())
    index.add_placement(("r2", 1), placed("e2"))
    assert (
        index.read_or_reading_tokens("s", shared) == 4800
        and index.read_or_reading_tokens("another salt", shared) == 0
    )
    index.remove_stream(("r1", 1))
    assert index.read_or_reading_tokens("s", shared) == 4800
    index.remove_stream(("r2", 1))
    assert index.read_or_reading_tokens("s", shared) == 0 and not index.parts_being_read


def test_only_prompts_that_were_not_queued_are_observed_as_readings() -> None:
    readings: list[tuple[str, float, float]] = []
    index = PrefixCacheIndex(lambda _: 100_000, lambda *reading: readings.append(reading))
    index.add_placement(("r1", 1), placed(at=1.0))
    index.add_placement(("r2", 1), placed(at=1.1))
    index.add_placement(("r2", 2), placed("e2", at=1.1))
    for prompt_id, now in ((("r2", 1), 1.2), (("r1", 1), 1.3), (("r2", 2), 1.35)):
        index.mark_read(prompt_id, now)
    assert [(endpoint, tokens, round(ms)) for endpoint, tokens, ms in readings] == [
        ("e1", 5100.0, 300),
        ("e2", 5100.0, 250),
    ]
