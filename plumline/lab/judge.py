"""Checks the rules of a lab run against the records of endpoints and clients. No I/O."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from plumline.lab.clients import Clients, SentRequest
from plumline.lab.engine import Engine, Order, Run


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule by a request or a lease holder `id`."""

    rule: str
    id: str
    text: str


def judge(
    runs: Iterable[Run],
    sent: Mapping[str, SentRequest],
    answers: Iterable[tuple[str, str]] = (),
    isolated: Iterable[str] = (),
) -> list[Breach]:
    """Checks UNASKED, TWICE, STALE and WALL against the endpoints' runs, MIXED against the responses."""
    found: list[Breach] = []
    by_id: dict[str, list[Run]] = defaultdict(list)
    isolated_tenants = set(isolated)
    for run in runs:
        by_id[run.id].append(run)
        found.extend(_judge_run(run, sent.get(run.id), isolated_tenants))
    for name, each in by_id.items():
        if len(each) > 1 and name in sent and not sent[name].idempotent:
            found.append(Breach("TWICE", name, f"{len(each)} runs"))
    for name, seal in answers:
        if seal not in {run.seal for run in by_id.get(name, [])}:
            found.append(Breach("MIXED", name, f"no run of it has the seal {seal}"))
    return found


def _judge_run(run: Run, request: SentRequest | None, isolated_tenants: set[str]) -> Iterator[Breach]:
    if request is None:
        yield Breach("UNASKED", run.id, "no client sent it")
    elif (run.method, run.target, run.body_hash) != (request.method, request.target, request.body_hash):
        yield Breach("UNASKED", run.id, f"changed on its way: {run.method} {run.target}")
    elif run.tenant != request.tenant:
        yield Breach("UNASKED", run.id, f"tenant {run.tenant!r}, not {request.tenant!r}")
    if run.api_key_sent:
        yield Breach("UNASKED", run.id, "the key was passed on")
    for tenant, version in run.reused:
        if version != run.version:
            yield Breach("STALE", run.id, f"memory of version {version} under {run.version}")
        if tenant != run.tenant and isolated_tenants & {tenant, run.tenant}:
            yield Breach("WALL", run.id, f"memory of {tenant!r} for {run.tenant!r}")


def judge_orders(orders: Iterable[Order], lease_s: float) -> list[Breach]:
    """Checks rule ONE on the orders that one endpoint received, in order of arrival.

    Violations: two holders with the same fence number; a lower fence number after a higher one, unless
    rejected with 412; a change of holder within `lease_s` seconds.
    """
    found: list[Breach] = []
    holders: dict[int, str] = {}
    last: Order | None = None
    for order in orders:
        if holders.setdefault(order.fence, order.holder) != order.holder:
            found.append(Breach("ONE", order.holder, f"fence {order.fence} is {holders[order.fence]}'s"))
        if order.status == 412:
            continue
        if last and order.fence < last.fence:
            found.append(Breach("ONE", order.holder, f"fence {order.fence} after {last.fence}"))
        if last and order.holder != last.holder and order.at - last.at < lease_s:
            found.append(Breach("ONE", order.holder, f"takes over from {last.holder} within the lease"))
        last = order
    return found


def judge_all(
    engines: Iterable[Engine], clients: Clients, lease_s: float, isolated_tenants: Iterable[str]
) -> list[Breach]:
    """Applies `judge` and `judge_orders` to a complete run."""
    known = list(engines)
    runs = [run for engine in known for run in engine.runs]
    found = judge(runs, clients.sent, clients.answers, isolated_tenants)
    return found + [breach for engine in known for breach in judge_orders(engine.orders, lease_s)]
