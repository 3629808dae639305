"""What a router does with requests that come, or are still unanswered, while it shuts down."""

from drain_world import PROMISES, DrainWorld, play


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
