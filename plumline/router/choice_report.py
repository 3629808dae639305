"""Reports on endpoint choices for operators: why parts are read again, and why first chunks are late."""

from collections.abc import Sequence

from plumline import logs
from plumline.prefix_cache.blocks import PrefixBlock
from plumline.router.admission import Request
from plumline.router.router_state import RouterState
from plumline.routing.endpoint_scoring import Candidate, expected_ms

REPORT_INTERVAL_S = 10.0  # between log lines that explain a late first chunk

log = logs.logger("dispatch")


def count_rereading(router: RouterState, salt: str, shared: Sequence[PrefixBlock], chosen: Candidate) -> None:
    """Counts, by reason, the tokens of shared parts that will be read although they have been read before."""
    if not (tokens := round(chosen.reread_tokens)):
        return
    index = router.index
    if any(index.cached_tokens(endpoint, salt, shared) for endpoint in index.endpoint_caches):
        name = "reread-tokens.kept-elsewhere"
    elif any(index.is_being_read(salt, part) for part in shared):
        name = "reread-tokens.being-read-elsewhere"
    else:
        name = "reread-tokens.kept-nowhere"
    router.counters.add(name, tokens)


def report_if_late(
    router: RouterState, request: Request, chosen: Candidate, now: float, took_ms: float
) -> None:
    """Counts a first chunk that arrived after the route's latency target, and logs the inputs of the choice
    for a sample of them. `now`: monotonic s; `took_ms`: since the request was sent to the endpoint."""
    total_ms = (now - request.exchange.began) * 1000
    if total_ms <= request.route.latency_target_ms:
        return
    router.counters.add("request-late-first-piece")
    if now < router.next_late_report_at:
        return
    router.next_late_report_at = now + REPORT_INTERVAL_S
    line = logs.event(
        "late-first-piece",
        endpoint=chosen.id,
        total_ms=round(total_ms),
        took_ms=round(took_ms),
        expected_ms=round(expected_ms(chosen)),
        tokens=request.prompt.tokens,
        missing=round(chosen.uncached_tokens),
        movable=round(chosen.fetchable_tokens),
        moved_ms=round(chosen.fetch_ms),
        unread=round(chosen.unread_tokens),
        running=chosen.running,
        excess_ms=round(chosen.excess_ms),
        again=round(chosen.reread_tokens),
        read_rate=round(chosen.read_rate, 1),
    )
    log.info(line)
