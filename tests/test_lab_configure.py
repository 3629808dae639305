"""`plumline lab configure` finds injected faults, each in one stage of the path, and no others."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from plumline.cli import main
from plumline.configuration import difference, replicated_state
from plumline.configuration.document import Document
from plumline.configuration.entities import Tenant
from plumline.configuration.route_table import RouteTable
from plumline.coordination.log import Change
from plumline.coordination.replica_storage import ReplicaStorage
from plumline.lab.differential import check, shrink, system
from plumline.lab.differential.check import Report, run_check
from plumline.registrar.publish_buffer import PackedMessage, PublishBuffer

Patch = pytest.MonkeyPatch


@pytest.mark.parametrize("seed", range(101, 106))
def test_routers_agree_with_the_reference_model(seed: int) -> None:
    report = run_check(seed, 1000)
    assert report.good, report.text()
    assert min(report.taken.values()) > 100 and report.registrar_restarts and report.subscriptions > 10


# Injected faults.


def inject_section_sent_in_full(patch: Patch) -> None:
    """As in review/2: a section that the earlier document lacks is sent in full; the table ignores it."""
    amendment_between, with_amendment = difference.amendment_between, RouteTable.with_amendment

    def full_section(current: Document, new: Document) -> Document | None:
        body = amendment_between(current, new)
        for section in ("Routes", "Tenants") if body else ():
            if section in new and section not in current:
                body = {**body, section: new[section]}
                for part in ("Upserts", "Removals"):
                    body[part] = {key: value for key, value in body[part].items() if key != section}
        return body

    def ignoring_routes(table: RouteTable, document: Document, body: Document) -> RouteTable:
        return with_amendment(table, document, {key: value for key, value in body.items() if key != "Routes"})

    patch.setattr(difference, "amendment_between", full_section)
    patch.setattr(RouteTable, "with_amendment", ignoring_routes)


def inject_cache_owner_of_admission(patch: Patch) -> None:
    """As in review/1: cache sharing of a tenant is decided by its state when the request was admitted."""

    def owner_at_admission(tenant: Tenant | None, table: RouteTable) -> str | None:
        return tenant.name if tenant and tenant.isolated else None

    patch.setattr(check, "cache_owner_of", owner_at_admission)


def inject_constant_generation(patch: Patch) -> None:
    """The generation of the shared cache does not increase when a tenant becomes isolated."""
    names = replicated_state.tenant_names

    def none_isolated(document: Document | None, isolated: bool) -> frozenset[str]:
        return frozenset() if isolated else names(document, isolated)

    patch.setattr(replicated_state, "tenant_names", none_isolated)


def inject_routes_not_removed(patch: Patch) -> None:
    """A removed or moved route stays active at its old host and prefix."""
    patch.setattr(RouteTable, "_remove_from_host", lambda table, route, copied: None)


def inject_shortest_prefix_match(patch: Patch) -> None:
    """A request is matched to the route of the host's root prefix if there is one."""
    match = RouteTable.match

    def shortest(table: RouteTable, host: str, path: str) -> Any:  # noqa: ANN401
        return match(table, host, "/") or match(table, host, path)

    patch.setattr(RouteTable, "match", shortest)


def inject_unsent_entry(patch: Patch) -> None:
    """Occasionally the newest entry that a subscriber lacks is not sent."""
    entries_after = PublishBuffer.entries_after

    def all_but_one(buffer: PublishBuffer, index: int) -> list[PackedMessage] | None:
        found = entries_after(buffer, index)
        return found[:-1] if found and buffer.newest_index % 10 == 0 else found

    patch.setattr(PublishBuffer, "entries_after", all_but_one)
    patch.setattr(system, "FEED_TIMEOUT_S", 0.5)


def inject_partial_log_replay(patch: Patch) -> None:
    """A registrar skips the last entry on its disk when it starts."""
    restore = ReplicaStorage.restore

    def all_but_the_last(storage: ReplicaStorage[Any], record: list[Any]) -> None:
        environment: Any = storage._environment
        if record is not environment.stored[-1]:
            restore(storage, record)

    patch.setattr(ReplicaStorage, "restore", all_but_the_last)


@pytest.mark.parametrize(
    ("inject", "where"),
    [
        (inject_section_sent_in_full, {"steady", "slow", "restarted"}),
        (inject_cache_owner_of_admission, {"steady"}),
        (inject_constant_generation, {"shared cache"}),
        (inject_routes_not_removed, {"steady"}),
        (inject_shortest_prefix_match, {"steady"}),
        (inject_unsent_entry, {"feed"}),
        (inject_partial_log_replay, {"disk"}),
    ],
    ids=lambda given: getattr(given, "__name__", ""),
)
def test_an_injected_fault_is_found(
    inject: Callable[[Patch], None], where: set[str], monkeypatch: Patch
) -> None:
    inject(monkeypatch)
    report = run_check(1, 2000)
    assert report.fault is not None and report.fault.where in where
    assert report.fault.lines


def test_a_fault_is_reported_with_a_small_document_and_change(monkeypatch: Patch) -> None:
    inject_section_sent_in_full(monkeypatch)
    fault = run_check(1, 2000).fault
    assert fault is not None and fault.before is not None
    kind, _, body = fault.change
    assert kind == "replace" and "Routes" not in fault.before
    assert len(body["Routes"]) == 1
    assert len(json.dumps([fault.before, fault.change])) < 400


def test_a_case_that_does_not_fail_by_itself_is_not_shrunk() -> None:
    before: Document = {"Version": 1, "Routes": []}
    change: Change = ["replace", 1, {"Version": 2}]
    assert shrink.shrink(before, change, lambda *_: False) == (before, change)


# The command.


def test_the_command_reports_and_exits_with_its_status(tmp_path: Path, monkeypatch: Patch) -> None:
    path = tmp_path / "report.json"
    done = CliRunner().invoke(main, ["lab", "configure", "--changes", "30", "--report", str(path), "--json"])
    assert done.exit_code == 0, done.output
    assert json.loads(done.stdout) == json.loads(path.read_text())
    assert json.loads(done.stdout)["tried"] == 30
    inject_shortest_prefix_match(monkeypatch)
    done = CliRunner().invoke(main, ["lab", "configure", "--changes", "300"])
    assert done.exit_code == 1 and "difference (steady):" in done.output


@pytest.mark.parametrize(
    "words", [["--seed", "x"], ["--seed", "-1"], ["--changes", "0"], ["--changes", "many"]]
)
def test_an_invalid_option_is_reported_in_one_line(words: list[str]) -> None:
    done = CliRunner().invoke(main, ["lab", "configure", *words])
    assert done.exit_code == 2 and words[0] in done.output.splitlines()[-1]


def test_an_interrupted_run_reports_its_progress(monkeypatch: Patch) -> None:
    step = check.Run._step

    async def interrupted(run: check.Run) -> None:
        if run.report.tried == 7:
            raise KeyboardInterrupt
        await step(run)

    monkeypatch.setattr(check.Run, "_step", interrupted)
    report: Report = run_check(1, 1000)
    assert report.tried == 7 and report.good
