"""Reserved shares on the ordinary path: configuration, feed, router, and a flood of a real fleet."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from plumline.configuration.amendment import amend_document
from plumline.configuration.route_table import RouteTable
from plumline.configuration.validation import validate
from plumline.errors import ConfigurationInvalidError, FrameError
from plumline.lab import Pace, flood
from plumline.lab.clients import Tally
from plumline.lab.engine import Engine, Shape
from plumline.registrar.publisher import FeedPublisher, Subscriber
from plumline.routing.read_rates import START_TOKENS_PER_MS
from plumline.routing.reserved_quota import CALM, Standing
from tests.dispatch_world import FULL, MODEL, Peer, Router, answer, document, made, within

TENANTS = [
    {"Name": "library", "ApiKeys": ["key-l"], "Priority": 2, "ReservedShare": 0.3},
    {"Name": "other", "ApiKeys": ["key-o"], "Priority": 0},
]
FLOOD_TOKENS = int(245 * START_TOKENS_PER_MS)  # 245 ms of work, every 20 ms
PLAIN = [{name: each for name, each in tenant.items() if name != "ReservedShare"} for tenant in TENANTS]


def with_tenants(*tenants: dict[str, Any], **route: object) -> dict[str, Any]:
    return document(TargetLatencyMs=2000, **route) | {"Tenants": list(tenants)}


# --- configuration


@pytest.mark.parametrize("share", [-0.1, 1.01, "0.3", True, float("nan")])
def test_a_share_is_a_number_from_0_to_1(share: object) -> None:
    with pytest.raises(ConfigurationInvalidError, match=r"Tenants\[a\].ReservedShare: .* from 0 to 1"):
        validate(with_tenants({"Name": "a", "ReservedShare": share}))


@pytest.mark.parametrize("share", [0, 1, 0.25, None])
def test_a_share_may_be_left_out_or_be_null(share: object) -> None:
    validate(with_tenants({"Name": "a", "ReservedShare": share}, {"Name": "b"}))


def test_shares_add_up_to_the_whole_at_the_most() -> None:
    tenths = [{"Name": str(n), "ReservedShare": 0.1} for n in range(10)]
    validate(with_tenants(*tenths))
    with pytest.raises(ConfigurationInvalidError, match=r"Tenants.ReservedShare: 1.05 is not allowed"):
        validate(with_tenants(*tenths, {"Name": "a", "ReservedShare": 0.05}))


def test_an_amendment_may_not_reserve_more_than_there_is() -> None:
    before = with_tenants({"Name": "a", "ReservedShare": 0.6}, {"Name": "b"})
    change = {"Version": 2, "Upserts": {"Tenants": [{"Name": "b", "ReservedShare": 0.5}]}}
    with pytest.raises(ConfigurationInvalidError, match="add up to 1"):
        amend_document(before, 1, change)


def test_the_table_holds_the_shares_by_tenant() -> None:
    table = RouteTable(with_tenants(*TENANTS, {"Name": "c", "ReservedShare": 0}))
    assert table.reserved_shares == {"library": 0.3}
    tenant = table.tenant_of("key-l")
    assert tenant is not None and tenant.reserved_share == 0.3


# --- the feed


class Link:
    def __init__(self, node: str) -> None:
        self.peer = {"node": node}


class RecordingPublisher(FeedPublisher):
    """A publisher whose heartbeats a test reads."""

    def __init__(self) -> None:
        super().__init__(SimpleNamespace(committed_index=7), SimpleNamespace(), 1.2)  # type: ignore[arg-type]
        self.messages: list[list[Any]] = []

    def broadcast(self, message: list[Any]) -> None:
        self.messages.append(message)

    def say(self, node: str, *heartbeat: Any) -> None:  # noqa: ANN401
        link: Any = Link(node)
        self.subscribers[link] = Subscriber(link, node)
        self.on_subscriber_message(link, ["heartbeat", 3, *heartbeat], 10.0)

    def published_heartbeat(self) -> Any:  # noqa: ANN401
        self.publish_heartbeat(True, [], self.live_subscribers(10.0))
        return self.messages.pop()


def test_beats_carry_the_sum_of_what_all_routers_are_asked_for() -> None:
    publisher = RecordingPublisher()
    publisher.say("a", {"s": [1.0, 2.0, [{"x": 10.0, "y": 1.0}, 0.0, 0]]})
    publisher.say("b", {"s": [0.5, 0.5, [{"x": 5.0}, 2.0, 4]], "t": [1.0, 0.0]})
    publisher.say("c", {"s": [0.5, 0.0]})  # knows of no reserve yet
    assert publisher.published_heartbeat() == [
        *("beat", True, 7, [], 3),
        {"s": [2.0, 2.5, [{"x": 15.0, "y": 1.0}, 2.0, 4]], "t": [1.0, 0.0]},
    ]


def test_beats_are_as_ever_where_nothing_is_reserved() -> None:
    publisher = RecordingPublisher()
    publisher.say("a", {"s": [1.0, 2.0]})
    assert publisher.published_heartbeat() == ["beat", True, 7, [], 1, {"s": [1.0, 2.0]}]


@pytest.mark.parametrize("rates", [[1.0], "ab", [1.0, None], [1.0, float("nan")], [1.0, -2.0], [1, 2, [], 4]])
def test_a_heartbeat_with_malformed_rates_is_no_frame_of_ours(rates: object) -> None:
    with pytest.raises(FrameError):
        RecordingPublisher().say("a", {"s": rates})


def test_a_malformed_demand_of_one_router_leaves_the_others_sum() -> None:
    publisher = RecordingPublisher()
    publisher.say("a", {"s": [1.0, 2.0, [{"x": "much"}, 0.0, 0]]})
    publisher.say("b", {"s": [1.0, 2.0, [{"x": 5.0}, 0.0, 0]]})
    assert publisher.published_heartbeat()[-1] == {"s": [2.0, 4.0, [{"x": 5.0}, 0.0, 0]]}


# --- the router


class Steps:
    """A clock that only a test moves on; it begins at the time that the router began with."""

    def __init__(self) -> None:
        self.began, self.ahead = time.monotonic(), 0.0

    def __call__(self) -> float:
        return self.began + self.ahead


async def asked(router: Router, clock: Steps, key: str, tokens: int) -> tuple[int, dict[str, str]]:
    """One request 20 ms after the last."""
    clock.ahead += 0.02
    given = MODEL | {"Token-Counts": f"{tokens},10", "Prompt-Prefix": f"aa:{tokens}", "X-Api-Key": key}
    status, headers, _ = await router.ask(**{name.replace("-", "_"): each for name, each in given.items()})
    return status, headers


async def prepared(tenants: list[dict[str, Any]], peers: int = 2) -> tuple[Router, Steps, list[Peer]]:
    each = [Peer(f"e{n}", answer()) for n in range(peers)]
    router = await made(with_tenants(*tenants, TimeoutMs=60000), *each)
    router.dispatcher.clock = clock = Steps()
    return router, clock, each


def heads(peers: list[Peer], tenant: str) -> list[dict[str, str]]:
    return [head for each in peers for head in each.heads if head["tenant-name"] == tenant]


def test_in_a_flood_the_surging_tenant_is_refused_at_once_and_the_reserve_is_served() -> None:
    async def work() -> None:
        router, clock, peers = await prepared(TENANTS)
        refused = 0
        for n in range(60):
            status, headers = await asked(router, clock, "key-o", FLOOD_TOKENS)
            if status == 429:
                refused += 1
                assert 0.2 <= float(headers["retry-after"]) <= 1.0
                assert headers["attempt-id"] == "id-1" and "server-seal" not in headers
            if n % 5 == 0:
                assert (await asked(router, clock, "key-l", 1000))[0] == 200
        assert refused > 30
        assert len(heads(peers, "other")) == 60 - refused  # what was refused was never sent
        assert router.counters.get("request-over-share") == refused
        mine = [int(head["priority"]) for head in heads(peers, "library")[3:]]
        theirs = [int(head["priority"]) for head in heads(peers, "other")[-3:]]
        assert max(mine) < min(theirs)

    within(work())


def test_without_a_reserve_a_flood_is_treated_as_ever() -> None:
    async def work() -> None:
        router, clock, _ = await prepared(PLAIN)
        assert {(await asked(router, clock, "key-o", 15000))[0] for _ in range(60)} == {200}
        assert router.dispatcher.work_rates()["s"][2:] == []

    within(work())


def test_below_the_capacity_a_reserve_changes_no_decision() -> None:
    async def sent(tenants: list[dict[str, Any]]) -> list[tuple[str, ...]]:
        router, clock, peers = await prepared(tenants, 3)
        names = ("priority", "cache-salt", "expect-version", "expected-instance", "tenant-name", "kv-fetch")
        found = []
        for n in range(40):
            clock.ahead += 0.1
            assert (await asked(router, clock, f"key-{'ol'[n % 2]}", 2000))[0] == 200
            (head,) = [head for each in peers for head in each.heads]
            found.append(tuple(head.get(name, "") for name in names))
            for each in peers:
                each.heads.clear()
        return found

    async def work() -> None:
        assert await sent(TENANTS) == await sent(PLAIN)

    within(work())


@pytest.mark.parametrize(("waits_ms", "status"), [(0.0, 200), (2500.0, 429)])
def test_over_share_in_a_slight_surge_goes_last_or_not_at_all_if_late(waits_ms: float, status: int) -> None:
    async def work() -> None:
        router, clock, peers = await prepared(TENANTS, 1)
        router.dispatcher.load("e0").unread = waits_ms * START_TOKENS_PER_MS
        shares = router.dispatcher.shares
        shares.ask = lambda *given: Standing(1.1, True, True, 0.4)  # type: ignore[method-assign]
        got, headers = await asked(router, clock, "key-o", 1000)
        assert got == status
        if status == 200:
            assert peers[0].heads[0]["priority"] == "8"
        else:
            assert not peers[0].heads and headers["retry-after"] == "0.40"
            assert router.counters.get("request-over-share") == 1

    within(work())


def test_what_the_fleet_is_told_reaches_the_router_and_its_own_goes_out() -> None:
    async def work() -> None:
        router, clock, _ = await prepared(TENANTS)
        assert (await asked(router, clock, "key-o", 2000))[0] == 200
        (short, long, demand) = router.dispatcher.work_rates()["s"]
        assert short + long > 0 and set(demand[0]) == {"other"} and demand[1:] == [0.0, 0]
        router.fleet.routers = 4
        router.dispatcher.told_work({"s": [9000.0, 0.0, [{"other": 9000.0}, 0.0, 0]], "gone": [1.0, 1.0, []]})
        clock.ahead += 0.2
        found = [(await asked(router, clock, "key-o", 2000))[0] for _ in range(40)]
        assert found.count(429) > 20
        # A new configuration without a reserve ends it.
        router.fleet.table = RouteTable(with_tenants(*PLAIN) | {"Version": 2})
        router.fleet.tell("configuration")
        assert (await asked(router, clock, "key-o", 2000))[0] == 200
        assert router.dispatcher.shares.ask(clock(), "s", "other", (9e9, 0.0), 1) is CALM

    within(work())


def test_full_endpoints_lower_what_the_service_is_taken_to_do() -> None:
    async def work() -> None:
        router, clock, _ = await prepared(TENANTS)
        full = await Peer("full", FULL).start()
        router.fleet.take_roster([full.entry()])
        for _ in range(10):
            assert (await asked(router, clock, "key-l", 1000))[0] == 503
        assert router.dispatcher.shares.services["s"].strain > 0

    within(work())


# --- the lab


def outcome(victims: dict[str, int], exits: int = 0, twice: int = 0) -> flood.Outcome:
    tallies = {name: Tally(Counter(victims)) for name in flood.victim_names()}
    return flood.Outcome(tallies | {"flood": Tally(Counter({"refused": 9}))}, [], twice, {"edge-1": exits})


@pytest.mark.parametrize(
    ("with_share", "good"),
    [
        (outcome({"in-time": 9, "late": 1}), True),
        (outcome({"in-time": 8, "late": 2}), False),
        (outcome({"in-time": 9}, exits=1), False),
        (outcome({"in-time": 9}, twice=1), False),
        (outcome({}), False),
    ],
)
def test_a_flood_is_borne_if_each_kind_is_in_time_and_no_rule_is_broken(
    with_share: flood.Outcome, good: bool
) -> None:
    found = flood.Comparison(outcome({"in-time": 1, "late": 3}), with_share, 0.9)
    assert found.good is good and found.parts()["good"] is good
    assert found.parts()["without"]["victims_in_time"] == 0.25
    assert ("NOT KEPT" in found.text()) is not good


def test_an_answer_that_did_not_run_once_is_found() -> None:
    sent = {name: SimpleNamespace(tenant=tenant) for name, tenant in (("a", "library"), ("b", "flooder"))}
    run: Any = SimpleNamespace(id="a")
    answers = [("a", "seal"), ("b", "seal")]
    assert [flood.count_not_run_once([run] * n, sent, answers) for n in range(3)] == [1, 0, 1]  # type: ignore[arg-type]


def test_a_stand_in_that_reads_in_turn_reads_the_most_urgent_first() -> None:
    class Turns(Pace):
        def __init__(self) -> None:
            super().__init__()
            self.gates: list[asyncio.Event] = []

        async def wait(self, ms: float) -> None:
            self.gates.append(asyncio.Event())
            await self.gates[-1].wait()

    async def work() -> None:
        engine = Engine(Shape(serial_prefill=True))
        engine.pace = pace = Turns()
        order: list[int] = []

        async def read(priority: int) -> None:
            await engine.prefill(priority, 100)
            order.append(priority)

        tasks = [asyncio.create_task(read(each)) for each in (7, 9, 3, 5)]
        while len(engine.prefill_queue) < 3:
            await asyncio.sleep(0)
        tasks[3].cancel()  # its client is gone
        for n in range(3):
            while len(pace.gates) <= n:
                await asyncio.sleep(0)
            pace.gates[n].set()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert order == [7, 3, 9] and not engine.prefilling

    within(work())


# --- a real fleet


def test_a_real_fleet_serves_the_reserve_through_a_flood_each_request_once() -> None:
    async def work() -> flood.Outcome:
        async with asyncio.timeout(60):
            return await flood.run(2, 4.0, 8.0, 3, reserved=True)

    found = asyncio.run(work())
    assert found.breaches == [] and found.twice == 0 and not any(found.exits.values())
    for name in flood.victim_names():
        outcomes = found.tallies[name].outcomes
        assert outcomes["in-time"] + outcomes["late"] >= 0.9 * outcomes.total() > 0, name
    assert found.tallies["flood"].outcomes["refused"] > 0
    assert found.in_time(flood.victim_names()) > 2 * found.in_time(["flood"])
