"""Behaviour that differs where a large fleet of senders shares a destination."""

from helpers import MS, SECOND, World, ended, endpoint, sent

from message_sender import interface as face
from message_sender.interface import Outcome
from message_sender.rules import Call
from plumline.breaker.breaker import FAILURE_THRESHOLD, GAP_SENDERS, GAP_SHRINK, GAP_STEP, RESET_TIMEOUT

LARGE_FLEET = 200


def test_a_failed_trial_in_a_large_fleet_waits_as_long_as_a_cold_destination_needs() -> None:
    world = World(fleet_size=LARGE_FLEET)
    for _ in range(FAILURE_THRESHOLD):
        world.take("once", after=100 * SECOND)
        world.answer(f"m{world.count}", Outcome.RESET)
    world.take()
    (trial,) = sent(world.step(face.WakeUp(), after=RESET_TIMEOUT))
    world.answer(trial, Outcome.CONNECT_FAILED)
    for _ in range(4):
        assert sent(world.step(face.WakeUp(), after=RESET_TIMEOUT)) == []


def test_two_failed_calls_start_the_warm_up_in_a_large_fleet_only() -> None:
    for fleet, cold in ((2, False), (LARGE_FLEET, True)):
        world = World(fleet_size=fleet)
        for _ in range(2):
            world.take("once")
            world.answer(f"m{world.count}", Outcome.RESET)
        (breaker,) = world.dispatcher.breakers.values()
        assert (breaker.warm_up_gap(world.now) > 0) == cold


def test_the_first_gap_in_a_large_fleet_is_wide() -> None:
    gaps = []
    for fleet in (2, LARGE_FLEET):
        world = World(fleet_size=fleet)
        world.take()
        world.answer("m1", Outcome.FULL)
        gaps += [breaker.gap for breaker in world.dispatcher.breakers.values()]
    assert gaps[1] > 10 * gaps[0]


def test_senders_given_the_same_wait_do_not_return_together() -> None:
    ends = []
    for fleet in (1, LARGE_FLEET, LARGE_FLEET):
        world = World(fleet_size=fleet)
        world.dispatcher.random.seed(len(ends))
        world.take()
        world.answer("m1", Outcome.FULL, wait=SECOND)
        (breaker,) = world.dispatcher.breakers.values()
        ends.append(breaker.wait_until)
        assert breaker.wait_until >= 10 * MS + SECOND
    assert ends[0] == 10 * MS + SECOND and ends[1] != ends[2]


def test_a_large_fleet_waits_slightly_longer_than_requested() -> None:
    """A call came 80 ms before the end of a wait by the destination's clock, as clocks differ in a fleet."""
    for fleet, least in ((2, 0), (LARGE_FLEET, 80 * MS)):
        world = World(fleet_size=fleet)
        world.dispatcher.apply_wait("a", world.now + SECOND)
        assert not world.dispatcher.may_still_send("a", 1, world.now + SECOND + least - 1)
        assert world.dispatcher.may_still_send("a", 1, world.now + SECOND + 100 * MS)
        (breaker,) = world.dispatcher.breakers.values()
        assert breaker.wait_until == SECOND or fleet == LARGE_FLEET


def test_the_first_gap_in_a_large_fleet_follows_the_announced_rate() -> None:
    gaps = []
    for scale in (1.0, 40.0):
        world = World(endpoint("a", scale=scale), fleet_size=LARGE_FLEET, rates_announced=True)
        world.take()
        world.answer("m1", Outcome.FULL)
        gaps += [breaker.gap for breaker in world.dispatcher.breakers.values()]
    assert gaps[0] > gaps[1] > 0


def test_a_refused_connection_closes_idle_ones_of_its_kind_in_a_large_fleet_only() -> None:
    """Senders that have a connection are not refused one, so they learn of no limit at that endpoint."""
    for fleet in (2, LARGE_FLEET):
        ends = endpoint("a"), endpoint("b", destination=2), endpoint("c", destination=3, kind="other")
        world = World(*ends, fleet_size=fleet)
        for destination in (1, 3):
            world.take(destination=destination, after=SECOND)
            assert face.CloseIdle("_a_c"[destination]) not in world.answer(f"m{world.count}", Outcome.OK)
        world.take(destination=2)
        closed = {each.endpoint for each in world.answer("m3", Outcome.CROWDED) if closes(each)}
        assert closed == ({"a", "b"} if fleet == LARGE_FLEET else set())
        world.take()
        assert (face.CloseIdle("a") in world.answer("m4", Outcome.OK)) == (fleet == LARGE_FLEET)
        world.take(destination=3)
        assert not any(map(closes, world.answer("m5", Outcome.OK)))


def test_a_large_fleet_refused_connections_retries_soon_and_keeps_its_pace() -> None:
    """Refused connections caused gaps of 2 s and a warm-up of 13 s where 25 of 40 senders were connected."""
    world = World(fleet_size=LARGE_FLEET)
    world.take()
    assert sent(world.answer("m1", Outcome.CROWDED)) == []
    (breaker,) = world.dispatcher.breakers.values()
    assert breaker.gap == 0 and breaker.warm_up_gap(world.now) == 0
    assert sent(world.step(face.WakeUp(), after=SECOND)) == ["m1"]


def test_repeatedly_refused_connections_may_mean_that_the_destination_is_shut() -> None:
    world = World(fleet_size=LARGE_FLEET)
    world.take("safe")
    for _ in range(6):
        world.answer("m1", Outcome.CROWDED)
        world.step(face.WakeUp(), after=3 * SECOND)
    (breaker,) = world.dispatcher.breakers.values()
    assert breaker.gap > 0


def closes(action: face.Action) -> bool:
    return isinstance(action, face.CloseIdle)


def test_the_gap_in_a_large_fleet_follows_the_message_rate_of_the_destination() -> None:
    """Gaps of 2 s and more had lasted for 15 s where a message came every 0.3 s."""
    gaps = []
    for pause in (SECOND // 10, SECOND):
        world = World(fleet_size=LARGE_FLEET)
        for _ in range(5):
            world.take(after=pause)
            world.answer(f"m{world.count}", Outcome.OK)
        (breaker,) = world.dispatcher.breakers.values()
        gaps.append((breaker.initial_gap, breaker.max_gap))
    few = World(fleet_size=2)
    few.take()
    (breaker,) = few.dispatcher.breakers.values()
    assert (breaker.initial_gap, breaker.max_gap) == (GAP_STEP, RESET_TIMEOUT)
    assert RESET_TIMEOUT <= gaps[0][1] < gaps[1][1] < RESET_TIMEOUT * LARGE_FLEET / GAP_SENDERS
    # A first gap below the interval between messages would have no effect.
    assert SECOND // 10 < gaps[0][0] < SECOND < gaps[1][0] < 2 * SECOND


def test_a_large_fleet_returns_to_a_cold_destination_below_its_failure_rate() -> None:
    """The warm-up starts at the first served call, after the return, from the smallest configured share."""
    for fleet in (2, LARGE_FLEET):
        world = World(fleet_size=fleet, fall_multiple=2.0, cold_from=0.2)
        (breaker,) = [world.dispatcher.breaker_at(1, "")]
        breaker.cold_since, breaker.calls, breaker.span = world.now, 10.0, 10.0 * SECOND
        times = round(SECOND / breaker.warm_up_gap(world.now) / 0.2, 6)  # of the capacity at that rate
        assert (times == 1.5) == (fleet == 2) and 1.5 <= times < 2.0


def test_two_messages_of_a_burst_do_not_narrow_the_gap_in_a_large_fleet() -> None:
    """A first gap of 60 ms had caused three refusals for each of 40 senders."""
    world = World(fleet_size=LARGE_FLEET)
    world.take()
    world.take(after=50 * MS)
    world.answer("m1", Outcome.FULL)
    (breaker,) = world.dispatcher.breakers.values()
    assert breaker.gap >= SECOND


def test_refusals_alone_start_no_warm_up_in_a_large_fleet() -> None:
    """A large fleet meets rate limits all the time: a warm-up after two refusals delayed calls needlessly."""
    for fleet, warms in ((2, True), (LARGE_FLEET, False)):
        world = World(fleet_size=fleet)
        (breaker,) = [world.dispatcher.breaker_at(1, "")]
        for _ in range(4):
            call = Call(breaker, world.dispatcher.endpoints["a"], world.now)
            breaker.refused(world.now, call, 0)
            world.now += RESET_TIMEOUT
        assert (breaker.warm_up_gap(world.now) > 0) == warms
        breaker.served(world.now, Call(breaker, world.dispatcher.endpoints["a"], world.now))
        assert (breaker.warm_up_gap(world.now) > 0) == warms


def test_the_gap_in_a_large_fleet_shrinks_faster_the_longer_no_refusal_comes() -> None:
    left = []
    for fleet, unrefused in ((2, 10 * SECOND), (LARGE_FLEET, 0), (LARGE_FLEET, 10 * SECOND)):
        world = World(fleet_size=fleet)
        (breaker,) = [world.dispatcher.breaker_at(1, "")]
        breaker.gap, breaker.gap_changed = 4.0 * SECOND, world.now
        world.now += unrefused
        breaker.served(world.now, Call(breaker, world.dispatcher.endpoints["a"], world.now))
        left.append(breaker.gap / (4 * SECOND))
    assert left[0] == left[1] == 1 - GAP_SHRINK > left[2]


def test_a_large_fleet_retries_a_failed_discovery_less_often() -> None:
    """26 of 40 senders retried every 4 s, and discovery answered none of them."""
    pauses = []
    for fleet in (2, 4, 40):
        world = World(fleet_size=fleet, must_subscribe=True)
        asked = [world.now]
        for _ in range(6):
            actions = world.step(face.EndpointsListed(face.Listing.FAILED), after=MS)
            while not any(isinstance(each, face.Subscribe) for each in actions):
                (wake,) = [each.delay for each in actions if isinstance(each, face.WakeAfter)]
                actions = world.step(face.WakeUp(), after=wake)
            asked.append(world.now)
        pauses.append(asked[-1] - asked[0])
    assert pauses[0] == pauses[1] and 2 * pauses[0] < pauses[2] < 60 * SECOND


def test_a_class_with_a_short_aim_is_not_deferred_for_one_with_a_long_aim_in_a_large_fleet() -> None:
    """In a large fleet loan-status was served worse than licence-order by 4 to 16 points."""
    short = face.MessageClass("short", 2 * SECOND, 12 * SECOND, 1.0, 0.4, face.Effect.SAFE)
    long = face.MessageClass("long", 4 * SECOND, 12 * SECOND, 1.0, 0.4, face.Effect.SAFE)
    first = []
    for fleet in (2, LARGE_FLEET):
        world = World(fleet_size=fleet, classes=(short, long))
        world.dispatcher.apply_wait("a", 6 * SECOND)
        world.take("long", time_left=12 * SECOND)
        world.take("short", time_left=12 * SECOND, after=500 * MS)
        world.now += 6 * SECOND
        world.dispatcher.now = world.now
        urgency = [world.dispatcher.urgency(each) for each in world.dispatcher.messages.values()]
        first.append(urgency[0] / urgency[1])
    assert first[0] > 1.5 and 0.8 < first[1] < 1.2


def test_usual_time_is_learned_from_the_first_calls() -> None:
    world = World()
    for _ in range(3):
        world.take()
        world.answer(f"m{world.count}", Outcome.OK, after=50 * MS)
    (breaker,) = world.dispatcher.breakers.values()
    assert breaker.took < 200 * MS


def full_queue() -> World:
    """A queue of five with four messages for an unknown destination; none of them may be shed yet."""
    world = World(endpoint("b", destination=2), max_open=5)
    for _ in range(4):
        world.take(after=MS)
    return world


def test_a_full_queue_refuses_new_messages_and_keeps_accepted_ones() -> None:
    """A message that cannot have run is not shed before 0.7 of its time."""
    world = full_queue()
    actions = world.take(destination=2, after=MS)
    assert sent(actions) == ["m5"] and ended(actions) == []
    assert [each.message for each in ended(world.take(after=MS))] == ["m6"]
    world.step(face.WakeUp(), after=13 * SECOND)
    assert [each.message for each in ended(world.take(after=0))] == ["m7"]


def test_a_message_that_has_had_most_of_its_time_is_shed() -> None:
    world = full_queue()
    actions = world.take(after=14 * SECOND)
    assert [each.message for each in ended(actions)] == ["m1"]


def test_a_message_that_may_have_run_is_shed_at_any_time() -> None:
    world = World(endpoint("a"), endpoint("b", destination=2), max_open=5)
    world.take()
    world.step(face.EndpointsListed(face.Listing.FULL, (endpoint("b", destination=2),)))
    world.answer("m1", Outcome.RESET)
    for _ in range(3):
        world.take(after=MS, destination=3)
    assert [each.message for each in ended(world.take(destination=3, after=MS, kind="once"))] == ["m1"]


def test_restored_messages_are_kept_though_the_queue_is_full() -> None:
    """Shedding more than half of the restored messages without a call would be a failure."""
    world = World(endpoint("b", destination=2), max_open=5)
    kept = [
        face.MessageRestored(face.MessageAccepted(f"r{n}", "safe", 1, 20 * SECOND), 0, None, "")
        for n in range(9)
    ]
    assert ended(world.step(*kept)) == []
