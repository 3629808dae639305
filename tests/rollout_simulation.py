"""A simulated fleet during a roll-out: endpoints of two versions, their answers, and the control loop."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from plumline.configuration.service_rollouts import (
    AdvanceRollout,
    RolloutRecord,
    RolloutStage,
    ServiceRollouts,
    StartRollout,
)
from plumline.errors import PlumlineError, UnavailableError
from plumline.registrar.service_rollout.loop import Grants, ServiceRolloutLoop
from plumline.routing.fleet_state import GRANT_DURATION_S, ListedEndpoint, RolloutGrant
from plumline.routing.rollout_evidence import NOT_ON_TRIAL
from plumline.routing.rollout_report import AnswerTally, RolloutReport, ServiceReport

OLD, NEW = "v1", "v2"
STEP_S = 0.1  # time step of the simulation
LISTED_AFTER_S = 2.0  # time after the start when endpoints of the new version are listed
ROUTES = {"short": 0.8, "long": 0.2}  # shares of the requests
ROUTERS = ("edge-1", "edge-2")


def listed(count: int, version: str) -> list[ListedEndpoint]:
    return [
        ListedEndpoint(
            id=f"{version}-{number}",
            service="s",
            address="10.0.0.1:80",
            zone=f"z{number % 3}",
            slots=8,
            draining=False,
            cold_ms=0.0,
            models={},
            version=version,
        )
        for number in range(count)
    ]


class Environment:
    """The registrar of the control loop: the lease, the records of the chain, and the published grants."""

    def __init__(self, fleet: "SimulatedFleet") -> None:
        self.fleet = fleet
        self.term: int | None = 1
        self.can_record = True

    def fencing_token(self) -> int | None:
        return self.term

    def records(self) -> Mapping[str, RolloutRecord]:
        return self.fleet.rollouts.records

    def endpoints(self) -> Sequence[ListedEndpoint]:
        return self.fleet.listed

    def live_routers(self) -> frozenset[str]:
        return frozenset(ROUTERS)

    def publish(self, grants: Grants) -> None:
        if self.term is not None and self.term >= self.fleet.granted_term:
            self.fleet.granted_term, self.fleet.granted_at = self.term, self.fleet.now
            self.fleet.grants = dict(grants)

    def has_published_grants(self) -> bool:
        return bool(self.fleet.grants)

    def record(self, decision: AdvanceRollout, on_result: Callable[[PlumlineError | None], None]) -> None:
        if not self.can_record:
            on_result(UnavailableError("no majority"))
            return
        self.fleet.record(decision)
        on_result(None)


class SimulatedFleet:
    """Requests for one service, `rate` per second. Times are in s since the start of the roll-out."""

    def __init__(
        self,
        answers: Callable[[ListedEndpoint, str, float], float],
        *,
        seed: int = 1,
        rate: float = 500.0,
        endpoints: int = 30,
        duration_s: float = 15.0,
    ) -> None:
        """`answers(endpoint, route, now)`: the probability of a bad answer."""
        self.answers, self.rate, self.random, self.now = answers, rate, Random(seed), 0.0
        self.old, self.new = listed(endpoints, OLD), listed(endpoints, NEW)
        self.listed = list(self.old)
        self.duration_s = duration_s
        self.rollouts = ServiceRollouts().with_start(StartRollout("s", NEW, duration_s))
        self.history: list[tuple[float, RolloutStage]] = []
        self.grants: dict[str, RolloutGrant] = {}
        self.granted_term, self.granted_at = 0, 0.0
        self.requests = self.exposed = self.bad_exposed = 0
        self.bad_50_at: float | None = None  # time of the new version's 50th bad answer
        self.last_exposed_at = 0.0
        self.tallies: dict[tuple[str, str, str], list[int]] = {}  # by router, endpoint and route
        self.environment = Environment(self)
        self.steering = self.new_steering()
        self.cut_off_routers: set[str] = set()

    def new_steering(self) -> ServiceRolloutLoop:
        """The control loop of another registrar, or of this one after a restart; it has no reports."""
        return ServiceRolloutLoop(self.environment, lambda: 1000.0 + self.now)

    @property
    def stage(self) -> RolloutStage:
        return self.rollouts.records["s"].stage

    def record(self, decision: AdvanceRollout) -> None:
        before = self.stage
        self.rollouts = self.rollouts.with_advance(decision)
        if self.stage is not before:
            self.history.append((self.now, self.stage))

    def run(self, until: float | None = None) -> None:
        """Runs until the end of the roll-out, or until this time (by default at most three durations)."""
        end = until if until is not None else 3 * self.duration_s
        while self.now < end and self.stage.running:
            self.step()

    def step(self) -> None:
        self.now += STEP_S
        if self.now >= LISTED_AFTER_S:
            self.listed = [*self.old, *self.new]
        for _ in range(self._poisson(self.rate * STEP_S)):
            self.request()
        for router in ROUTERS:
            if router not in self.cut_off_routers:
                self.report(router)
        self.steering.step()

    def _poisson(self, mean: float) -> int:
        return sum(self.random.random() < mean / 1000 for _ in range(1000))

    def request(self) -> None:
        router = self.random.choice(ROUTERS)
        grant = self.grants.get("s")
        has_valid_grant = self.now < self.granted_at + GRANT_DURATION_S and router not in self.cut_off_routers
        self.requests += 1
        endpoint = self.random.choice(self.old)
        if grant is not None and has_valid_grant and self.random.random() < grant.share:
            endpoint_ids = grant.endpoints or tuple(each.id for each in self.new)
            endpoint_id = self.random.choice(endpoint_ids)
            endpoint = next(each for each in self.new if each.id == endpoint_id)
        self.answer(router, endpoint)

    def answer(self, router: str, endpoint: ListedEndpoint) -> None:
        route = self.random.choices(list(ROUTES), list(ROUTES.values()))[0]
        is_bad = self.random.random() < self.answers(endpoint, route, self.now)
        on_trial = endpoint.version == NEW
        if on_trial:
            self.exposed += 1
            self.last_exposed_at = self.now
            self.bad_exposed += is_bad
            if self.bad_exposed == 50 and self.bad_50_at is None:
                self.bad_50_at = self.now
        tally = self.tallies.setdefault((router, endpoint.id if on_trial else NOT_ON_TRIAL, route), [0, 0])
        tally[0] += 1
        tally[1] += is_bad

    def report(self, router: str) -> None:
        grant = self.grants.get("s")
        stage = grant.stage if grant and self.now < self.granted_at + GRANT_DURATION_S else None
        tallies = tuple(
            AnswerTally(endpoint, route, *tally)
            for (name, endpoint, route), tally in self.tallies.items()
            if name == router
        )
        others_running = 0 if stage is RolloutStage.HOLDING else 3
        report = ServiceReport(NEW, stage, others_running, tallies)
        self.steering.reports.add_report(RolloutReport(router, 7, {"s": report}))

    def allowed_exposure(self) -> float:
        """The stated limit of requests to a bad version: a tenth of all until the deadline, plus 50."""
        return 0.1 * self.rate * self.duration_s + 50
