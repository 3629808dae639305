"""Which rules a run of the lab has broken, by what endpoints saw and what clients got. No I/O."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from plumline.lab.clients import Clients, Sent
from plumline.lab.engine import Engine, Order, Run


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, with the request (or holder) that broke it."""

    rule: str
    id: str
    text: str


def judge(
    runs: Iterable[Run],
    sent: Mapping[str, Sent],
    answers: Iterable[tuple[str, str]] = (),
    isolated: Iterable[str] = (),
) -> list[Breach]:
    """UNASKED, TWICE, STALE and WALL by the endpoints' runs, MIXED by the answers that clients got."""
    found: list[Breach] = []
    by_id: dict[str, list[Run]] = defaultdict(list)
    walled = set(isolated)
    for run in runs:
        by_id[run.id].append(run)
        found.extend(_judge_run(run, sent.get(run.id), walled))
    for name, each in by_id.items():
        if len(each) > 1 and name in sent and not sent[name].repeatable:
            found.append(Breach("TWICE", name, f"{len(each)} runs"))
    for name, seal in answers:
        if seal not in {run.seal for run in by_id.get(name, [])}:
            found.append(Breach("MIXED", name, f"no run of it has the seal {seal}"))
    return found


def _judge_run(run: Run, asked: Sent | None, walled: set[str]) -> Iterator[Breach]:
    if asked is None:
        yield Breach("UNASKED", run.id, "no client sent it")
    elif (run.method, run.target, run.body_hash) != (asked.method, asked.target, asked.body_hash):
        yield Breach("UNASKED", run.id, f"changed on its way: {run.method} {run.target}")
    elif run.tenant != asked.tenant:
        yield Breach("UNASKED", run.id, f"tenant {run.tenant!r}, not {asked.tenant!r}")
    if run.api_key_sent:
        yield Breach("UNASKED", run.id, "the key was passed on")
    for tenant, version in run.reused:
        if version != run.version:
            yield Breach("STALE", run.id, f"memory of version {version} under {run.version}")
        if tenant != run.tenant and walled & {tenant, run.tenant}:
            yield Breach("WALL", run.id, f"memory of {tenant!r} for {run.tenant!r}")


def judge_orders(orders: Iterable[Order], lease_s: float) -> list[Breach]:
    """ONE: two holders under a fence, a fence after a higher one (unless turned away by it), or holders
    taking turns within `lease_s`. `orders`: one endpoint's, as they came."""
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
    engines: Iterable[Engine], clients: Clients, lease_s: float, walled: Iterable[str]
) -> list[Breach]:
    """All of the above for a whole run."""
    known = list(engines)
    runs = [run for engine in known for run in engine.runs]
    found = judge(runs, clients.sent, clients.answers, walled)
    return found + [breach for engine in known for breach in judge_orders(engine.orders, lease_s)]
