"""Reserved shares along the request path: configuration, feed, router, and a flood of a local fleet."""

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
from plumline.routing.reserved_quota import NOT_IN_SURGE, QuotaStatus
from tests.dispatch_world import (
    MODEL,
    REFUSAL,
    Router,
    ScriptedEndpoint,
    answer,
    document,
    run_with_timeout,
    start_router,
)

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


def test_shares_add_up_to_one_at_most() -> None:
    tenths = [{"Name": str(n), "ReservedShare": 0.1} for n in range(10)]
    validate(with_tenants(*tenths))
    with pytest.raises(ConfigurationInvalidError, match=r"Tenants.ReservedShare: 1.05 is not allowed"):
        validate(with_tenants(*tenths, {"Name": "a", "ReservedShare": 0.05}))


def test_an_amendment_may_not_reserve_more_than_one() -> None:
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
    """A publisher that records its heartbeats."""

    def __init__(self) -> None:
        super().__init__(SimpleNamespace(committed_index=7), SimpleNamespace(), 1.2)  # type: ignore[arg-type]
        self.messages: list[list[Any]] = []

    def broadcast(self, message: list[Any]) -> None:
        self.messages.append(message)

    def receive_heartbeat(self, node: str, *heartbeat: Any) -> None:  # noqa: ANN401
        link: Any = Link(node)
        self.subscribers[link] = Subscriber(link, node)
        self.on_subscriber_message(link, ["heartbeat", 3, *heartbeat], 10.0)

    def published_heartbeat(self) -> Any:  # noqa: ANN401
        self.publish_heartbeat(True, [], self.live_subscribers(10.0))
        return self.messages.pop()


def test_heartbeats_carry_the_sum_of_the_demand_at_all_routers() -> None:
    publisher = RecordingPublisher()
    publisher.receive_heartbeat("a", {"s": [1.0, 2.0, [{"x": 10.0, "y": 1.0}, 0.0, 0]]})
    publisher.receive_heartbeat("b", {"s": [0.5, 0.5, [{"x": 5.0}, 2.0, 4]], "t": [1.0, 0.0]})
    publisher.receive_heartbeat("c", {"s": [0.5, 0.0]})  # has no configuration with a reserved share yet
    assert publisher.published_heartbeat() == [
        *("beat", True, 7, [], 3),
        {"s": [2.0, 2.5, [{"x": 15.0, "y": 1.0}, 2.0, 4]], "t": [1.0, 0.0]},
    ]


def test_heartbeats_are_unchanged_where_nothing_is_reserved() -> None:
    publisher = RecordingPublisher()
    publisher.receive_heartbeat("a", {"s": [1.0, 2.0]})
    assert publisher.published_heartbeat() == ["beat", True, 7, [], 1, {"s": [1.0, 2.0]}]


@pytest.mark.parametrize("rates", [[1.0], "ab", [1.0, None], [1.0, float("nan")], [1.0, -2.0], [1, 2, [], 4]])
def test_a_heartbeat_with_malformed_rates_is_rejected(rates: object) -> None:
    with pytest.raises(FrameError):
        RecordingPublisher().receive_heartbeat("a", {"s": rates})


def test_a_malformed_demand_of_one_router_keeps_the_others_sum() -> None:
    publisher = RecordingPublisher()
    publisher.receive_heartbeat("a", {"s": [1.0, 2.0, [{"x": "much"}, 0.0, 0]]})
    publisher.receive_heartbeat("b", {"s": [1.0, 2.0, [{"x": 5.0}, 0.0, 0]]})
    assert publisher.published_heartbeat()[-1] == {"s": [2.0, 4.0, [{"x": 5.0}, 0.0, 0]]}


# --- the router


class ManualClock:
    """A clock that is advanced by the test; it starts at the time at which the router started."""

    def __init__(self) -> None:
        self.began, self.offset_s = time.monotonic(), 0.0

    def __call__(self) -> float:
        return self.began + self.offset_s


async def send_request(
    router: Router, clock: ManualClock, key: str, tokens: int
) -> tuple[int, dict[str, str]]:
    """Sends one request, 20 ms after the last one."""
    clock.offset_s += 0.02
    given = MODEL | {"Token-Counts": f"{tokens},10", "Prompt-Prefix": f"aa:{tokens}", "X-Api-Key": key}
    status, headers, _ = await router.ask(**{name.replace("-", "_"): each for name, each in given.items()})
    return status, headers


async def start_with_tenants(
    tenants: list[dict[str, Any]], peers: int = 2
) -> tuple[Router, ManualClock, list[ScriptedEndpoint]]:
    each = [ScriptedEndpoint(f"e{n}", answer()) for n in range(peers)]
    router = await start_router(with_tenants(*tenants, TimeoutMs=60000), *each)
    router.dispatcher.clock = clock = ManualClock()
    return router, clock, each


def heads(peers: list[ScriptedEndpoint], tenant: str) -> list[dict[str, str]]:
    return [head for each in peers for head in each.heads if head["tenant-name"] == tenant]


def test_in_a_flood_the_surging_tenant_is_refused_and_the_reserved_share_is_served() -> None:
    async def work() -> None:
        router, clock, peers = await start_with_tenants(TENANTS)
        refused = 0
        for n in range(60):
            status, headers = await send_request(router, clock, "key-o", FLOOD_TOKENS)
            if status == 429:
                refused += 1
                assert 0.2 <= float(headers["retry-after"]) <= 1.0
                assert headers["attempt-id"] == "id-1" and "server-seal" not in headers
            if n % 5 == 0:
                assert (await send_request(router, clock, "key-l", 1000))[0] == 200
        assert refused > 30
        assert len(heads(peers, "other")) == 60 - refused  # refused requests were never sent
        assert router.counters.get("request-over-share") == refused
        mine = [int(head["priority"]) for head in heads(peers, "library")[3:]]
        theirs = [int(head["priority"]) for head in heads(peers, "other")[-3:]]
        assert max(mine) < min(theirs)

    run_with_timeout(work())


def test_without_a_reserved_share_no_request_of_a_flood_is_refused() -> None:
    async def work() -> None:
        router, clock, _ = await start_with_tenants(PLAIN)
        assert {(await send_request(router, clock, "key-o", 15000))[0] for _ in range(60)} == {200}
        assert router.dispatcher.work_rates()["s"][2:] == []

    run_with_timeout(work())


def test_below_the_capacity_a_reserved_share_changes_no_decision() -> None:
    async def sent(tenants: list[dict[str, Any]]) -> list[tuple[str, ...]]:
        router, clock, peers = await start_with_tenants(tenants, 3)
        names = ("priority", "cache-salt", "expect-version", "expected-instance", "tenant-name", "kv-fetch")
        found = []
        for n in range(40):
            clock.offset_s += 0.1
            assert (await send_request(router, clock, f"key-{'ol'[n % 2]}", 2000))[0] == 200
            (head,) = [head for each in peers for head in each.heads]
            found.append(tuple(head.get(name, "") for name in names))
            for each in peers:
                each.heads.clear()
        return found

    async def work() -> None:
        assert await sent(TENANTS) == await sent(PLAIN)

    run_with_timeout(work())


@pytest.mark.parametrize(("waits_ms", "status"), [(0.0, 200), (2500.0, 429)])
def test_over_share_in_a_slight_surge_has_last_priority_or_is_refused_if_late(
    waits_ms: float, status: int
) -> None:
    async def work() -> None:
        router, clock, peers = await start_with_tenants(TENANTS, 1)
        router.dispatcher.load("e0").unread_tokens = waits_ms * START_TOKENS_PER_MS
        quotas = router.dispatcher.quotas
        quotas.check = lambda *given: QuotaStatus(1.1, True, True, 0.4)  # type: ignore[method-assign]
        got, headers = await send_request(router, clock, "key-o", 1000)
        assert got == status
        if status == 200:
            assert peers[0].heads[0]["priority"] == "8"
        else:
            assert not peers[0].heads and headers["retry-after"] == "0.40"
            assert router.counters.get("request-over-share") == 1

    run_with_timeout(work())


def test_the_fleets_demand_reaches_the_router_and_its_own_is_reported() -> None:
    async def work() -> None:
        router, clock, _ = await start_with_tenants(TENANTS)
        assert (await send_request(router, clock, "key-o", 2000))[0] == 200
        (short, long, demand) = router.dispatcher.work_rates()["s"]
        assert short + long > 0 and set(demand[0]) == {"other"} and demand[1:] == [0.0, 0]
        router.fleet.routers = 4
        router.dispatcher.on_fleet_work(
            {"s": [9000.0, 0.0, [{"other": 9000.0}, 0.0, 0]], "gone": [1.0, 1.0, []]}
        )
        clock.offset_s += 0.2
        found = [(await send_request(router, clock, "key-o", 2000))[0] for _ in range(40)]
        assert found.count(429) > 20
        # A new configuration without a reserved share ends the refusals.
        router.fleet.table = RouteTable(with_tenants(*PLAIN) | {"Version": 2})
        router.fleet.notify("configuration")
        assert (await send_request(router, clock, "key-o", 2000))[0] == 200
        assert router.dispatcher.quotas.check(clock(), "s", "other", (9e9, 0.0), 1) is NOT_IN_SURGE

    run_with_timeout(work())


def test_refusals_of_endpoints_lower_the_services_estimated_capacity() -> None:
    async def work() -> None:
        router, clock, _ = await start_with_tenants(TENANTS)
        overloaded = await ScriptedEndpoint("full", REFUSAL).start()
        router.fleet.set_roster([overloaded.entry()])
        for _ in range(10):
            assert (await send_request(router, clock, "key-l", 1000))[0] == 503
        assert router.dispatcher.quotas.services["s"].strain > 0

    run_with_timeout(work())


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
def test_a_flood_passes_if_each_kind_is_in_time_and_no_rule_is_broken(
    with_share: flood.Outcome, good: bool
) -> None:
    found = flood.Comparison(outcome({"in-time": 1, "late": 3}), with_share, 0.9)
    assert found.good is good and found.parts()["good"] is good
    assert found.parts()["without"]["victims_in_time"] == 0.25
    assert ("NOT KEPT" in found.text()) is not good


def test_an_answer_that_did_not_run_exactly_once_is_found() -> None:
    sent = {name: SimpleNamespace(tenant=tenant) for name, tenant in (("a", "library"), ("b", "flooder"))}
    run: Any = SimpleNamespace(id="a")
    answers = [("a", "seal"), ("b", "seal")]
    assert [flood.count_not_run_once([run] * n, sent, answers) for n in range(3)] == [1, 0, 1]  # type: ignore[arg-type]


def test_an_engine_that_reads_in_turn_reads_the_most_urgent_first() -> None:
    class ManualPace(Pace):
        def __init__(self) -> None:
            super().__init__()
            self.gates: list[asyncio.Event] = []

        async def wait(self, ms: float) -> None:
            self.gates.append(asyncio.Event())
            await self.gates[-1].wait()

    async def work() -> None:
        engine = Engine(Shape(serial_prefill=True))
        engine.pace = pace = ManualPace()
        order: list[int] = []

        async def read(priority: int) -> None:
            await engine.prefill(priority, 100)
            order.append(priority)

        tasks = [asyncio.create_task(read(each)) for each in (7, 9, 3, 5)]
        while len(engine.prefill_queue) < 3:
            await asyncio.sleep(0)
        tasks[3].cancel()  # its client has disconnected
        for n in range(3):
            while len(pace.gates) <= n:
                await asyncio.sleep(0)
            pace.gates[n].set()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert order == [7, 3, 9] and not engine.prefilling

    run_with_timeout(work())


# --- a local fleet of processes


def test_a_local_fleet_serves_the_reserved_share_in_a_flood_each_request_once() -> None:
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
