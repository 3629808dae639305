"""Requests that arrive, or are still unanswered, while a router shuts down."""

import random

import pytest
from drain_world import GRACE_S, NOT_RUN_STATUSES, DrainWorld, run_scenario

from plumline.router.drain import DrainDeadlines
from plumline.wire.exchange import Exchange


def test_a_request_on_a_connection_kept_by_an_answer_from_before_sigterm_is_never_cut() -> None:
    """Issue 27: an answer that began before SIGTERM kept its connection alive. The client used it again 4.4 s
    after SIGTERM; the request was forwarded, and cut when the process ended."""

    async def scenario(world: DrainWorld) -> None:
        client = world.connect()
        before = client.send_request(first_s=0.1, last_s=5.4, timeout_s=10.0)
        await world.at(1.0)
        world.terminate()
        await before.ended_event.wait()
        assert before.complete and not before.closes
        late = client.send_request(first_s=0.6, last_s=4.0, timeout_s=4.5)
        await late.ended_event.wait()
        assert not world.lost()
        assert late.complete and late.status in NOT_RUN_STATUSES and late.closes
        assert late.id not in world.arrivals
        assert late.ended_at - late.sent_at < 0.1

    run_scenario(scenario)


def test_a_late_request_with_a_deadline_before_the_process_ends_is_served() -> None:
    async def scenario(world: DrainWorld) -> None:
        client = world.connect()
        before = client.send_request(first_s=0.1, last_s=4.4, timeout_s=10.0)
        await world.at(1.0)
        world.terminate()
        await before.ended_event.wait()
        late = client.send_request(first_s=0.2, last_s=2.0, timeout_s=3.0)
        await late.ended_event.wait()
        assert late.complete and late.status == 200 and late.closes

    run_scenario(scenario)


def test_a_request_with_a_slow_body_is_admitted_by_the_time_it_is_complete() -> None:
    async def scenario(world: DrainWorld) -> None:
        client = world.connect()
        await world.at(1.0)
        world.terminate()
        await world.at(3.0)
        slow = client.new_request(timeout_s=6.0)
        client.transport.write(client.head(slow, first_s=0.6, last_s=4.0, length=2) + b"x")
        await world.at(5.5)
        client.transport.write(b"x")
        await slow.ended_event.wait()
        assert slow.complete and slow.status in NOT_RUN_STATUSES and slow.id not in world.arrivals
        assert not world.lost()

    run_scenario(scenario)


@pytest.mark.parametrize("after_s", [0.0, 1.0, 2.4])
def test_requests_are_admitted_as_before_during_the_notice_period(after_s: float) -> None:
    async def scenario(world: DrainWorld) -> None:
        await world.at(1.0)
        world.terminate()
        await world.at(1.0 + after_s)
        request = world.connect().send_request(first_s=0.2, last_s=3.0, timeout_s=10.0)
        await request.ended_event.wait()
        assert request.complete and request.status == 200

    run_scenario(scenario)


def test_a_request_that_is_still_unanswered_when_the_process_ends_gets_an_answer() -> None:
    async def scenario(world: DrainWorld) -> None:
        await world.at(1.0)
        world.terminate()
        await world.at(3.0)
        request = world.connect().send_request(first_s=9.0, last_s=9.5, timeout_s=10.0)
        await request.ended_event.wait()
        assert request.complete and request.status == 504 and request.closes
        assert request.id in world.arrivals
        assert GRACE_S * 5 / 6 < request.ended_at - world.terminated_at < GRACE_S - 0.5

    run_scenario(scenario)


def test_a_request_read_just_before_the_end_gets_one_answer() -> None:
    """All requests are ended before its handler's task has run its first step."""

    async def scenario(world: DrainWorld) -> None:
        dispatcher, client = world.router.dispatcher, world.connect()
        handle = dispatcher.handle

        def handle_last(exchange: Exchange) -> None:
            handle(exchange)
            dispatcher.end_requests()

        dispatcher.begin_draining(DrainDeadlines(0.0, 0.0, 0.0))
        world.router.server.handler = handle_last
        last = client.send_request(first_s=0.1, last_s=0.2, timeout_s=5.0)
        await last.ended_event.wait()
        await dispatcher.drained()
        assert last.complete and last.status == 503 and last.id not in world.arrivals
        assert world.router.counters.get("request-failed") == 0
        world.terminate()

    run_scenario(scenario)


def test_a_started_answer_continues_until_the_responses_are_due() -> None:
    async def scenario(world: DrainWorld) -> None:
        begun, short = world.connect(), world.connect()
        await world.at(1.0)
        world.terminate()
        long_one = begun.send_request(first_s=0.1, last_s=9.0, timeout_s=11.0)
        just_in_time = short.send_request(first_s=0.1, last_s=7.1, timeout_s=11.0)
        await just_in_time.ended_event.wait()
        assert just_in_time.complete
        await long_one.ended_event.wait()
        assert not long_one.complete and long_one.status == 200
        assert not world.lost()

    run_scenario(scenario)


def test_a_shutdown_ends_as_soon_as_all_requests_are_answered() -> None:
    async def scenario(world: DrainWorld) -> None:
        client = world.connect()
        await client.send_request(first_s=0.1, last_s=0.2, timeout_s=5.0).ended_event.wait()
        await world.at(1.0)
        world.terminate()
        await world.stopped
        assert world.loop.time() - world.terminated_at < 3.0
        assert world.router.lifecycle.drain_summary()["unanswered"] == 0

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(40))
def test_no_request_is_lost_around_sigterm_with_random_clients(seed: int) -> None:
    """Clients reuse each open connection for the next request, with random answer times and deadlines."""

    async def scenario(world: DrainWorld) -> None:
        rng = random.Random(seed)

        async def use(client_number: int) -> None:
            await world.at(rng.uniform(0.0, 3.0))
            client = world.connect()
            while not client.closed and world.loop.time() < world.started_at + 14.0:
                first_s = rng.choice([0.05, 0.3, 2.0])
                last_s = first_s + rng.choice([0.05, 0.5, 2.0, 5.0])
                timeout_s = rng.choice([1.0, 2.0, 4.0, 6.0, 11.0])
                await client.send_request(first_s, last_s, timeout_s).ended_event.wait()
                await world.at(
                    world.loop.time() - world.started_at + rng.choice([0.0, 0.0, 0.0005, 0.2, 1.0])
                )

        users = [world.loop.create_task(use(number)) for number in range(12)]
        await world.at(rng.uniform(1.0, 4.0))
        world.terminate()
        await world.stopped
        for user in users:
            await user
        assert world.lost() == []
        assert any(request.sent_at > world.terminated_at for request in world.requests)

    run_scenario(scenario)


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 3.0, 4.0, 8.0, 30.0])
def test_the_process_ends_in_the_last_sixth_of_any_grace_period(grace_s: float) -> None:
    """Requests that are cut earlier count as lost, whenever they were sent."""
    deadlines = DrainDeadlines.from_grace_period(100.0, grace_s)
    assert 100.0 + grace_s * 5 / 6 < deadlines.responses_due_at < deadlines.ends_at < 100.0 + grace_s
    assert deadlines.notice_ends_at <= deadlines.responses_due_at


def test_admission_by_the_deadlines() -> None:
    deadlines = DrainDeadlines(notice_ends_at=102.5, responses_due_at=107.2, ends_at=107.3)
    assert deadlines.admits(102.5, 200.0)
    assert deadlines.admits(102.6, 107.2)
    assert not deadlines.admits(102.6, 107.3)
    assert not deadlines.admits(107.0, float("inf"))
