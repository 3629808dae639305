"""What a router does with requests that come, or are still unanswered, while it shuts down."""

import random

import pytest
from drain_world import GRACE_S, PROMISES, DrainWorld, play

from plumline.router.drain import DrainDeadlines
from plumline.wire.exchange import Exchange


def test_a_request_on_a_connection_kept_by_an_answer_from_before_sigterm_is_never_cut() -> None:
    """Issue 27: the answer's head had promised to keep the connection; its client used it 4.4 s after
    SIGTERM, the request was sent on, and cut as the process ended."""

    async def scene(world: DrainWorld) -> None:
        client = world.connect()
        before = client.ask(first_s=0.1, last_s=5.4, patience_s=10.0)
        await world.at(1.0)
        world.terminate()
        await before.whole.wait()
        assert before.complete and not before.closes
        late = client.ask(first_s=0.6, last_s=4.0, patience_s=4.5)
        await late.whole.wait()
        assert not world.lost()
        assert late.complete and late.status in PROMISES and late.closes
        assert late.id not in world.arrivals
        assert late.ended - late.sent < 0.1

    play(scene)


def test_a_late_request_that_is_over_before_the_process_ends_is_served() -> None:
    async def scene(world: DrainWorld) -> None:
        client = world.connect()
        before = client.ask(first_s=0.1, last_s=4.4, patience_s=10.0)
        await world.at(1.0)
        world.terminate()
        await before.whole.wait()
        late = client.ask(first_s=0.2, last_s=2.0, patience_s=3.0)
        await late.whole.wait()
        assert late.complete and late.status == 200 and late.closes

    play(scene)


def test_a_request_whose_body_came_slowly_is_judged_by_when_it_is_whole() -> None:
    async def scene(world: DrainWorld) -> None:
        client = world.connect()
        await world.at(1.0)
        world.terminate()
        await world.at(3.0)
        slow = client.new_request(patience_s=6.0)
        client.transport.write(client.head(slow, first_s=0.6, last_s=4.0, length=2) + b"x")
        await world.at(5.5)
        client.transport.write(b"x")
        await slow.whole.wait()
        assert slow.complete and slow.status in PROMISES and slow.id not in world.arrivals
        assert not world.lost()

    play(scene)


@pytest.mark.parametrize("after_s", [0.0, 1.0, 2.4])
def test_requests_are_taken_on_as_before_while_clients_cannot_know(after_s: float) -> None:
    async def scene(world: DrainWorld) -> None:
        await world.at(1.0)
        world.terminate()
        await world.at(1.0 + after_s)
        asked = world.connect().ask(first_s=0.2, last_s=3.0, patience_s=10.0)
        await asked.whole.wait()
        assert asked.complete and asked.status == 200

    play(scene)


def test_a_request_that_is_still_unanswered_when_the_process_ends_gets_an_answer() -> None:
    async def scene(world: DrainWorld) -> None:
        await world.at(1.0)
        world.terminate()
        await world.at(3.0)
        asked = world.connect().ask(first_s=9.0, last_s=9.5, patience_s=10.0)
        await asked.whole.wait()
        assert asked.complete and asked.status == 504 and asked.closes
        assert asked.id in world.arrivals
        assert GRACE_S * 5 / 6 < asked.ended - world.terminated_at < GRACE_S - 0.5

    play(scene)


def test_a_request_that_is_read_in_the_last_moment_gets_one_answer() -> None:
    """Its handler has not had its first step when all requests are ended."""

    async def scene(world: DrainWorld) -> None:
        dispatcher, client = world.router.dispatcher, world.connect()
        handle = dispatcher.handle

        def handle_last(exchange: Exchange) -> None:
            handle(exchange)
            dispatcher.end_requests()

        dispatcher.begin_draining(DrainDeadlines(0.0, 0.0, 0.0))
        world.router.server.handler = handle_last
        last = client.ask(first_s=0.1, last_s=0.2, patience_s=5.0)
        await last.whole.wait()
        await dispatcher.drained()
        assert last.complete and last.status == 503 and last.id not in world.arrivals
        assert world.router.counters.get("request-failed") == 0
        world.terminate()

    play(scene)


def test_an_answer_that_has_begun_goes_on_until_the_last_moment() -> None:
    async def scene(world: DrainWorld) -> None:
        begun, short = world.connect(), world.connect()
        await world.at(1.0)
        world.terminate()
        long_one = begun.ask(first_s=0.1, last_s=9.0, patience_s=11.0)
        just_in_time = short.ask(first_s=0.1, last_s=7.1, patience_s=11.0)
        await just_in_time.whole.wait()
        assert just_in_time.complete
        await long_one.whole.wait()
        assert not long_one.complete and long_one.status == 200
        assert not world.lost()

    play(scene)


def test_a_shutdown_ends_as_soon_as_nobody_is_owed_an_answer() -> None:
    async def scene(world: DrainWorld) -> None:
        client = world.connect()
        await client.ask(first_s=0.1, last_s=0.2, patience_s=5.0).whole.wait()
        await world.at(1.0)
        world.terminate()
        await world.stopped
        assert world.loop.time() - world.terminated_at < 3.0
        assert world.router.lifecycle.drain_summary()["unanswered"] == 0

    play(scene)


@pytest.mark.parametrize("seed", range(40))
def test_no_request_is_lost_whatever_clients_do_around_sigterm(seed: int) -> None:
    """Clients that ask again at once on each connection that stands, with answers and times at random."""

    async def scene(world: DrainWorld) -> None:
        chance = random.Random(seed)

        async def use(client_number: int) -> None:
            await world.at(chance.uniform(0.0, 3.0))
            client = world.connect()
            while not client.over and world.loop.time() < world.began + 14.0:
                first_s = chance.choice([0.05, 0.3, 2.0])
                last_s = first_s + chance.choice([0.05, 0.5, 2.0, 5.0])
                patience_s = chance.choice([1.0, 2.0, 4.0, 6.0, 11.0])
                await client.ask(first_s, last_s, patience_s).whole.wait()
                await world.at(world.loop.time() - world.began + chance.choice([0.0, 0.0, 0.0005, 0.2, 1.0]))

        users = [world.loop.create_task(use(number)) for number in range(12)]
        await world.at(chance.uniform(1.0, 4.0))
        world.terminate()
        await world.stopped
        for user in users:
            await user
        assert world.lost() == []
        assert any(asked.sent > world.terminated_at for asked in world.asked)

    play(scene)


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 3.0, 4.0, 8.0, 30.0])
def test_the_process_ends_in_the_last_sixth_of_any_grace_period(grace_s: float) -> None:
    """Requests that are cut earlier count as lost, however early they were sent."""
    deadlines = DrainDeadlines.from_grace_period(100.0, grace_s)
    assert 100.0 + grace_s * 5 / 6 < deadlines.responses_due_at < deadlines.ends_at < 100.0 + grace_s
    assert deadlines.notice_ends_at <= deadlines.responses_due_at


def test_admission_by_the_deadlines() -> None:
    deadlines = DrainDeadlines(notice_ends_at=102.5, responses_due_at=107.2, ends_at=107.3)
    assert deadlines.admits(102.5, 200.0)
    assert deadlines.admits(102.6, 107.2)
    assert not deadlines.admits(102.6, 107.3)
    assert not deadlines.admits(107.0, float("inf"))
