"""The command line: what it prints, its exit codes, and how it calls registrars."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from plumline import cli, operator_calls
from plumline.lab import Call, Server
from plumline.lab.local import configuration_for
from plumline.wire.calls import Answer

DEPLOY = """
build = "true"
packages = []
[roles.router]
run = "python3 -m plumline router"
on = "edge"
share = 1.0
serves = ["edge"]
"""
ROLE = '[roles.{0}]\nrun = "python3 -m plumline router"\non = "edge"\n'
TEST_TIMEOUT_S = 20.0  # reached only by a failing test
DOCUMENT = configuration_for(3, "127.0.0.1:9")


@pytest.fixture(autouse=True)
def _unchanged_logging(monkeypatch: pytest.MonkeyPatch) -> None:
    """CliRunner closes its streams after a command, so the log handlers of later tests must not use them."""
    monkeypatch.setattr(cli.logs, "configure", lambda level: None)


def invoke(*words: object, **variables: str) -> Result:
    return CliRunner().invoke(cli.main, [str(word) for word in words], env=variables)


def run_async(test: Callable[[Path], Coroutine[Any, Any, None]]) -> Callable[[Path], None]:
    def run_test(tmp_path: Path) -> None:
        asyncio.run(asyncio.wait_for(test(tmp_path), TEST_TIMEOUT_S))

    run_test.__name__, run_test.__doc__ = test.__name__, test.__doc__
    return run_test


# --- roles


@pytest.mark.parametrize("role", ["router", "registrar"])
def test_a_role_without_settings_ends_with_their_code(role: str) -> None:
    got = invoke(role, PLUMLINE_BOOT="")
    assert got.exit_code == cli.EXIT_SETTINGS == 78
    assert got.stderr.startswith("settings-invalid: PLUMLINE_BOOT: not set")


def test_a_role_names_every_fault_of_its_settings(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text('NodeName = ""\nIpAddress = "x"\nInternalPortRange = [1, 2]\nFirstStart = 1\n')
    got = invoke("router", PLUMLINE_BOOT=str(path))
    assert got.exit_code == 78
    assert [line.split(":")[0] for line in got.stderr.removeprefix("settings-invalid: ").splitlines()] == [
        "NodeName",
        "IpAddress",
        "FirstStart",
    ]


def test_a_registrar_with_a_damaged_store_says_so_with_a_code(tmp_path: Path) -> None:
    (tmp_path / "data").mkdir()
    (tmp_path / "data/state.log").write_bytes(b"no store")
    path = tmp_path / "settings.toml"
    path.write_text(
        'NodeName = "n"\nIpAddress = "127.0.0.1"\nInternalPortRange = [1, 2]\n'
        f'DataDirectory = "{tmp_path / "data"}"\n'
    )
    got = invoke("registrar", PLUMLINE_BOOT=str(path))
    assert got.exit_code == cli.EXIT_FAILED == 70
    assert got.stderr.startswith("store-damaged: ")


def test_an_unknown_command_or_file_is_a_usage_error(tmp_path: Path) -> None:
    assert invoke("sender").exit_code == 2
    assert invoke("check", "settings", tmp_path / "none.toml").exit_code == 2
    assert invoke("configuration", "read", "--address", "localhost:1").exit_code == 2
    assert invoke("configuration", "read").exit_code == 2
    assert invoke("lab", "run", "--routers", "0").exit_code == 2


# --- checks


def test_the_repositorys_deploy_file_has_no_fault() -> None:
    got = invoke("check", "deploy", Path(__file__).parent.parent / "deploy/system.toml")
    assert (got.exit_code, got.stdout) == (0, "no fault\n")


@pytest.mark.parametrize(
    ("text", "keys"),
    [
        (DEPLOY, []),
        ("x = ", [None]),
        ("", ["build", "packages", "roles"]),
        ('build = ""\npackages = []\n[roles]\nrouter = 1\n', ["build", "roles.router"]),
        (DEPLOY.replace('"edge"\nshare', '"shore"\nshare'), ["roles.router.on"]),
        (DEPLOY.replace('"python3 -m plumline router"', '" "'), ["roles.router.run"]),
        (DEPLOY.replace("1.0", "0"), ["roles.router.share"]),
        (DEPLOY.replace("1.0", "true"), ["roles.router.share"]),
        (DEPLOY.replace("share = 1.0", "count = 0"), ["roles.router.count"]),
        (DEPLOY.replace("share = 1.0", ""), ["roles.router.share"]),
        (DEPLOY.replace("share = 1.0", "share = 1.0\ncount = 1"), ["roles.router.share"]),
        (DEPLOY.replace("share = 1.0", "share = 1.0\napart = 1"), ["roles.router.apart"]),
        (DEPLOY.replace('serves = ["edge"]', 'serves = ["clients"]'), ["roles.router.serves"]),
        (DEPLOY + ROLE.format("b") + 'count = 1\nserves = ["edge"]\n', ["roles on edge"]),
        (DEPLOY + ROLE.format("b") + "count = 1\n" + ROLE.format("c") + "count = 1\n", ["roles on edge"]),
        (DEPLOY + ROLE.format("b") + "count = 1\n" + ROLE.format("c") + "count = 1\napart = true\n", []),
    ],
)
def test_every_fault_of_a_deploy_file_is_named(tmp_path: Path, text: str, keys: list[str | None]) -> None:
    path = tmp_path / "system.toml"
    path.write_text(text)
    got = invoke("check", "deploy", path, "--json")
    result = json.loads(got.stdout)
    assert sorted(each.get("key", "") for each in result["faults"]) == sorted(key or "" for key in keys)
    assert (got.exit_code, result["valid"]) == ((1, False) if keys else (0, True))


def test_a_configuration_is_checked_completely(tmp_path: Path) -> None:
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(DOCUMENT))
    assert invoke("check", "configuration", path).exit_code == 0
    broken = DOCUMENT | {"Version": 0, "Limits": {"HeaderTimeoutMs": -1}}
    path.write_text(json.dumps(broken))
    got = invoke("check", "configuration", path, "--json")
    faults = json.loads(got.stdout)["faults"]
    assert got.exit_code == 1
    assert [(each["key"], each["value"], each["allowed"]) for each in faults] == [
        ("Version", "0", "a whole number, 1 or above"),
        ("Limits.HeaderTimeoutMs", "-1", "a number above 0, or null"),
    ]


# --- the operators' interface


class Registrars:
    """A server that stands in for registrars and returns scripted answers in order; the last one repeats."""

    def __init__(self, *answers: tuple[int, Any]) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, str, str | None, Any]] = []
        self.server = Server(self.handle)

    async def handle(self, call: Call) -> None:
        based_on = call.headers.get("based-on-version")
        self.calls.append((call.method, call.target, based_on, call.json()))
        status, body = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if status == 0:
            call.reset()
        elif status == 307:
            call.answer(307, headers=[("Location", body)])
        else:
            call.answer_json(status, body)

    async def __aenter__(self) -> "Registrars":
        await self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop()

    async def invoke(self, *words: object) -> Result:
        """Runs the command in a thread, with its own event loop, as from a shell."""
        words = ("configuration", *words, "--address", self.server.address)
        return await asyncio.to_thread(invoke, *words)


async def no_backoff(seconds: float) -> None:
    """Replaces the backoff between attempts."""


async def call_until_answered(address: str, call: str = "configuration_read", **options: Any) -> Answer:  # noqa: ANN401
    host, _, port = address.rpartition(":")
    sleep: Callable[[float], Awaitable[None]] = no_backoff
    return await operator_calls.call_until_answered([(host, int(port))], call, sleep=sleep, **options)


@run_async
async def test_read_shows_a_summary_without_keys_and_all_with_json(_: Path) -> None:
    async with Registrars((200, DOCUMENT)) as registrars:
        got = await registrars.invoke("read")
        assert got.exit_code == 0
        assert got.stdout.splitlines()[0] == "version 3"
        assert "Tenants (2): open, walled" in got.stdout and "key-open" not in got.stdout
        got = await registrars.invoke("read", "--json")
        assert json.loads(got.stdout) == DOCUMENT
        assert registrars.calls == [("GET", "/Configuration.Read", None, None)] * 2


@run_async
async def test_reading_a_missing_configuration_fails_at_the_third_refusal(_: Path) -> None:
    async with Registrars((404, {"error": "not-found", "text": "none yet"})) as registrars:
        got = await registrars.invoke("read")
        assert (got.exit_code, got.stderr) == (1, "answered 404 not-found: none yet\n")
        assert len(registrars.calls) == 3


@run_async
async def test_a_replace_is_sent_as_it_is_in_the_file(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(json.dumps(DOCUMENT))
    async with Registrars((200, {"taken": True})) as registrars:
        got = await registrars.invoke("replace", path, "--based-on", 2)
        assert (got.exit_code, got.stdout) == (0, "version 3 is in place\n")
        assert registrars.calls == [("POST", "/Configuration.Replace", "2", DOCUMENT)]


@run_async
async def test_an_invalid_replace_is_not_sent(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(json.dumps(DOCUMENT | {"Version": 0}))
    async with Registrars((200, {})) as registrars:
        got = await registrars.invoke("replace", path, "--based-on", 2)
        assert got.exit_code == 1
        assert got.stderr.startswith("configuration-invalid: Version: 0 is not allowed")
        assert registrars.calls == []


@run_async
async def test_a_refused_amendment_is_reported_with_its_code(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text('{"Version": 5, "Removals": {"Routes": ["r"]}}')
    refusal = {"error": "version-conflict", "text": "version 4 is in place"}
    async with Registrars((412, refusal)) as registrars:
        got = await registrars.invoke("amend", path, "--based-on", 3)
        assert (got.exit_code, got.stdout) == (1, "")
        assert got.stderr == "refused with 412 version-conflict: version 4 is in place\n"
        got = await registrars.invoke("amend", path, "--based-on", 3, "--json")
        assert (got.exit_code, json.loads(got.stdout)) == (
            1,
            {"taken": False, "status": 412, "answer": refusal},
        )
        assert registrars.calls == [("POST", "/Configuration.Amend", "3", json.loads(path.read_text()))] * 2


@run_async
async def test_no_clear_answer_has_its_own_exit_code(_: Path) -> None:
    async with Registrars((503, {"error": "unavailable"})) as registrars:
        got = await registrars.invoke("read", "--patience", 0)
        assert got.exit_code == cli.EXIT_UNAVAILABLE == 69
        assert got.stderr == "no-clear-answer: no clear answer in 0 s; the last: 503\n"


@run_async
async def test_a_call_is_retried_after_a_reset_a_5xx_and_a_429(_: Path) -> None:
    async with Registrars((0, None), (503, {}), (429, {}), (200, DOCUMENT)) as registrars:
        answer = await call_until_answered(registrars.server.address)
        assert (answer.status, answer.json) == (200, DOCUMENT)
        assert len(registrars.calls) == 4


@run_async
async def test_the_next_address_is_called_when_one_is_down(_: Path) -> None:
    async with Registrars((200, DOCUMENT)) as down, Registrars((200, DOCUMENT)) as up:
        addresses = [("127.0.0.1", down.server.port), ("127.0.0.1", up.server.port)]
        await down.server.stop()
        answer = await operator_calls.call_until_answered(addresses, "configuration_read", sleep=no_backoff)
        assert (answer.status, len(down.calls), len(up.calls)) == (200, 0, 1)


@run_async
async def test_a_307_is_followed_at_most_twice(_: Path) -> None:
    async with Registrars((200, DOCUMENT)) as second, Registrars((307, "")) as first:
        first.answers = [(307, f"http://{second.server.address}/elsewhere?x=1")]
        second.answers = [(200, DOCUMENT)]
        answer = await call_until_answered(
            first.server.address, "configuration_replace", headers={}, body=DOCUMENT
        )
        assert answer.status == 200
        assert second.calls == [("POST", "/elsewhere?x=1", None, DOCUMENT)]
        first.calls.clear()
        first.answers = [(307, f"http://{first.server.address}/Configuration.Read")]
        with pytest.raises(operator_calls.NoClearAnswerError, match="307"):
            await call_until_answered(first.server.address, timeout_s=0)
        assert len(first.calls) == 3


@run_async
async def test_a_307_without_an_address_is_not_an_answer(_: Path) -> None:
    async with Registrars((307, "http://elsewhere.example/")) as registrars:
        with pytest.raises(operator_calls.NoClearAnswerError):
            await call_until_answered(registrars.server.address, timeout_s=0)


@run_async
async def test_diff_names_what_would_change_and_hides_keys(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    proposed = json.loads(json.dumps(DOCUMENT))
    async with Registrars((200, DOCUMENT)) as registrars:
        path.write_text(json.dumps(proposed))
        got = await registrars.invoke("diff", path)
        assert (got.exit_code, got.stdout) == (0, "")
        proposed["Version"] = 4
        proposed["Routes"][0]["TimeoutMs"] = 1
        del proposed["Routes"][1], proposed["Limits"]["IdleTimeoutMs"]
        proposed["Tenants"][0]["ApiKeys"] = ["secret-one", "secret-two"]
        proposed["Tenants"].append({"Name": "new", "ApiKeys": ["secret-three"]})
        path.write_text(json.dumps(proposed))
        got = await registrars.invoke("diff", path)
        assert got.exit_code == 1
        assert got.stdout.splitlines() == [
            "Version: 3 -> 4",
            "Routes[r-chat].TimeoutMs: 6000 -> 1",
            f"Routes[r-once]: {json.dumps(DOCUMENT['Routes'][1])} -> nothing",
            "Limits.IdleTimeoutMs: 15000 -> nothing",
            'Tenants[open].ApiKeys: "1 keys" -> "2 keys, 2 of them new"',
            'Tenants[new]: nothing -> {"Name": "new", "ApiKeys": "1 keys"}',
        ]
        got = await registrars.invoke("diff", path, "--json")
        assert not json.loads(got.stdout)["same"] and "secret" not in got.stdout


def test_a_key_exchanged_for_another_is_a_difference() -> None:
    before, after = ({"Tenants": [{"Name": "t", "ApiKeys": [key]}]} for key in ("a", "b"))
    (found,) = operator_calls.differences(before, after)
    assert found.key == "Tenants[t].ApiKeys" and found.before != found.after
    assert "a" not in (found.before, found.after)


# --- the lab


def test_a_lab_run_that_does_not_start_ends_with_a_code(monkeypatch: pytest.MonkeyPatch) -> None:
    from plumline.lab import local

    async def run(**options: Any) -> local.Result:  # noqa: ANN401
        raise local.NotStartedError(f"{options['routers']} and {options['registrars']}")

    monkeypatch.setattr(local, "run", run)
    got = invoke("lab", "run", "--routers", 2, "--registrars", 3)
    assert (got.exit_code, got.stderr) == (1, "lab-not-started: 2 and 3\n")


@pytest.mark.parametrize("exits", [{"edge-1": 0}, {"edge-1": 1}])
def test_a_lab_run_prints_its_table_and_its_result(
    monkeypatch: pytest.MonkeyPatch, exits: dict[str, int]
) -> None:
    from plumline.lab import local
    from plumline.lab.clients import Tally

    tally = Tally()
    tally.outcomes["in-time"] += 1
    result = local.Result({"ask": tally}, [], 1.0, 0.5, read_back=True, exits=exits)

    async def run(**options: Any) -> local.Result:  # noqa: ANN401
        return result

    monkeypatch.setattr(local, "run", run)
    got = invoke("lab", "run")
    assert (got.exit_code, got.stdout) == (any(exits.values()), local.table(result) + "\n")
    found = json.loads(invoke("lab", "run", "--json").stdout)
    assert (found["good"], found["exits"]) == (not any(exits.values()), exits)
    assert found["classes"] == [{"class": "ask", "in-time": 1, "first_p50_ms": None, "first_p95_ms": None}]
