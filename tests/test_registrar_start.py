"""A registrar's start: pings and heartbeats that others wait for are sent without waiting for an interval."""

from typing import Any
from unittest.mock import patch

from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import PING_INTERVAL_S, PING_KIND, FailureDetector
from plumline.coordination.replica_status import LocalStatus, ReplicaStatus
from plumline.registrar.process import HEARTBEAT_INTERVAL_S, PeriodicTimer, RegistrarProcess

STATUS = LocalStatus("disk", 1, 0, False, False, ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP)


class Links:
    """Records the recipients of pings."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(self, to: str, message: list[Any]) -> None:
        if message[0] == PING_KIND:
            self.sent.append(to)


def test_a_link_that_comes_up_is_pinged_in_the_next_step() -> None:
    links = Links()
    detector = FailureDetector(Member("a:1", "disk"), links)  # type: ignore[arg-type]
    detector.add_peer(0.0, "b:1")
    detector.tick(10.0, STATUS)
    detector.tick(10.0 + PING_INTERVAL_S / 3, STATUS)
    assert links.sent == ["b:1"]
    detector.ping_soon()
    detector.tick(10.0 + PING_INTERVAL_S / 2, STATUS)
    assert links.sent == ["b:1", "b:1"]


def test_a_timer_that_expires_is_due_before_its_interval_is_over() -> None:
    timer = PeriodicTimer(HEARTBEAT_INTERVAL_S)
    assert timer.is_due(5.0) and not timer.is_due(5.1)
    timer.expire()
    assert timer.is_due(5.1) and not timer.is_due(5.2)


class Registrar:
    """A fake of what the loop steps: up to date from the third step on; ends the loop in the sixth."""

    class EndedError(Exception):
        """Ends the loop under test."""

    def __init__(self) -> None:
        self.now, self.steps, self.heartbeats = 100.0, 0, list[int]()
        self.loop = self.core = self.mesh = self.counters = self.publisher = self.failure_detector = self
        self.peers: set[str] = set()

    def time(self) -> float:
        return self.now

    def is_up_to_date(self, now: float) -> bool:
        return self.steps >= 3

    def _check_tolerance(self) -> None:
        """Does nothing."""

    def _step(self, now: float) -> None:
        self.steps += 1

    def _renew_dead_links(self, now: float) -> None:
        pass

    def _publish_heartbeat(self, now: float) -> None:
        self.heartbeats.append(self.steps)

    def live_subscribers(self, now: float) -> dict[str, Any]:
        return {}

    def send_all(self, message: list[Any]) -> None:
        pass

    def set_peers(self, peers: set[str]) -> None:
        pass

    def changed_lines(self) -> list[str]:
        return []

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        if self.steps == 6:
            raise Registrar.EndedError


def test_the_heartbeat_goes_in_the_step_in_which_the_registrar_becomes_current() -> None:
    registrar = Registrar()
    with patch("plumline.registrar.process.asyncio.sleep", registrar.sleep):
        loop = RegistrarProcess._step_forever(registrar)  # type: ignore[arg-type]
        try:
            loop.send(None)
        except Registrar.EndedError:
            pass
    assert registrar.heartbeats == [1, 3]
