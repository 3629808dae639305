"""What no later version may change: bytes on the wire, records on disks, and the names that others use.

The expectations are files under `data/`, made by the version in service when they were recorded. This
file is not edited when the code is renamed or moved: it knows the code only through `frozen_adapter`.
"""

import json
import re
from pathlib import Path
from typing import Any

import frozen_adapter as code
import pytest

DATA = Path(__file__).parent / "data"


def recorded(name: str) -> Any:  # noqa: ANN401
    return json.loads((DATA / f"{name}.json").read_text())


NAMES = recorded("names")
ADDED = recorded("names_added")  # since then; what was recorded stays as it is
MESSAGES_SINCE = recorded("messages_since") | recorded("messages_with_base")
MESSAGES_SINCE |= recorded("messages_with_rollouts") | recorded("messages_since_confirmations")
MESSAGES_ADDED, RECORDS_ADDED = recorded("messages_added"), recorded("records_added")  # kinds, likewise
MESSAGES_ADDED |= recorded("messages_with_confirmations")


# Names that operators, the platform and other programs use.


@pytest.mark.parametrize("name", [each for each in NAMES if each.rpartition(".")[2] in ("toml", "json")])
def test_every_key_of_a_file_is_known_by_its_name(name: str) -> None:
    """A known key is one whose wrong value is found at fault."""
    assert code.faulty_keys(name.partition("_")[0], DATA / name) == NAMES[name]


def test_a_settings_file_is_read_as_before() -> None:
    found, added = code.settings_read(DATA / "settings.toml"), recorded("settings_with_rollouts")
    for section, values in added.items():
        assert {key: found[section].pop(key) for key in values} == values
    assert found == NAMES["settings"]


def test_the_words_and_options_of_the_command_line() -> None:
    found = code.command_words()
    assert not NAMES["command_words"].keys() & ADDED["command_words"].keys()
    expected = NAMES["command_words"] | ADDED["command_words"]
    assert not expected.keys() & recorded("commands_added").keys()
    expected |= recorded("commands_added")
    for words, options in recorded("options_added").items():
        known = expected.get(words, [])
        assert not set(options) & set(known)
        expected[words] = sorted([*known, *options])
    assert {words: sorted(options) for words, options in found.items()} == expected


def test_the_names_of_environment_variables_counters_log_events_and_codes() -> None:
    assert code.missing_in_source(NAMES["names_in_source"]) == []


def test_the_codes_and_statuses_of_errors() -> None:
    assert set(NAMES["error_codes"]) <= set(code.error_codes())


def test_the_exit_codes_of_the_command_line(tmp_path: Path) -> None:
    damaged = tmp_path / "damaged"
    damaged.mkdir()
    (damaged / "state.log").write_bytes(b"no file of ours")
    (tmp_path / "role.toml").write_text(
        f'NodeName = "n"\nIpAddress = "127.0.0.1"\nInternalPortRange = [1, 1]\nDataDirectory = "{damaged}"\n'
    )
    (tmp_path / "document.json").write_text('{"Version": 1}')
    nobody = ["--address", "127.0.0.1:9", "--patience", "0"]
    good, wrong = str(DATA / "settings.toml"), str(DATA / "settings_wrong_top.toml")
    document = str(tmp_path / "document.json")
    for words, variables, exit_code in [
        (["check", "settings", good], {}, 0),
        (["check", "settings", wrong], {}, 1),
        (["check", "settings", "/nothing"], {}, 2),
        (["no-such-word"], {}, 2),
        (["configuration", "read", *nobody], {}, 69),
        (["configuration", "replace", document, "--based-on", "0", *nobody], {}, 69),
        (["configuration", "replace", good, "--based-on", "0", *nobody], {}, 1),
        (["registrar"], {"PLUMLINE_BOOT": str(tmp_path / "role.toml")}, 70),
        (["registrar"], {}, 78),
        (["router"], {"PLUMLINE_BOOT": wrong}, 78),
    ]:
        assert code.run_command(words, variables)[0] == exit_code, words


# What goes over the wire. All of it is heard in one day of a small system, see `frozen_story`.


def differing(found: dict[str, Any], expected: dict[str, Any]) -> dict[str, Any]:
    """What is not as recorded: by name, what was found and what is expected."""
    names = sorted(found.keys() | expected.keys())
    pairs = {name: (found.get(name), expected.get(name)) for name in names}
    return {name: pair for name, pair in pairs.items() if pair[0] != pair[1]}


def test_the_messages_between_the_programs() -> None:
    """Every kind by its sender and receiver, its fields' types, and the bytes of an example or two.

    Which examples come first hangs on how fast a start is, and loads on what reading is taken to cost; a view
    may end with its base; a release names its features. What changed with these stands in `messages_since`,
    `messages_with_base`, `messages_with_rollouts` and `messages_since_confirmations`, new kinds in
    `messages_added` and `messages_with_confirmations`; kinds and types stay as they were recorded.
    """
    found, expected, since = code.messages_sent(), recorded("messages"), MESSAGES_SINCE
    assert not expected.keys() & MESSAGES_ADDED.keys()
    expected |= MESSAGES_ADDED
    found_forms = {name: forms(each) for name, each in found.items()}
    assert differing(found_forms, {name: forms(each) for name, each in expected.items()}) == {}
    assert since.keys() <= expected.keys()
    newer = {name: each | {"examples": since[name]} for name, each in expected.items() if name in since}
    assert differing(found, expected | newer) == {}


def forms(message: dict[str, Any]) -> dict[str, Any]:
    """What is recorded of a kind of message but its examples: they show the course of the day too."""
    return {name: each for name, each in message.items() if name != "examples"}


def test_every_example_that_was_ever_recorded_is_packed_to_the_same_bytes() -> None:
    """Also those that the day brings no longer."""
    recordings = [each["examples"] for each in (recorded("messages") | MESSAGES_ADDED).values()]
    recordings += MESSAGES_SINCE.values()
    bodies = [bytes.fromhex(each["hex"]) for examples in recordings for each in examples if "hex" in each]
    assert len(bodies) > 50
    assert [body for body in bodies if code.packed(code.unpacked(body)) != body] == []


def test_frames_that_are_compressed_or_sent_in_parts() -> None:
    assert code.frame_kinds() == recorded("frames")


def test_the_calls_over_http_and_their_answers() -> None:
    """The first of each kind, byte for byte. Which is the first hangs on the day's course: where another one
    is now, it stands in `calls_since`, and differs in the time left or in the body of a refusal alone."""
    expected, since = recorded("calls"), recorded("calls_since")
    assert since.keys() <= expected.keys()
    assert [name for name, call in since.items() if timeless(call) != timeless(expected[name])] == []
    assert differing(code.calls_made(), expected | since) == {}


def timeless(call: list[str]) -> tuple[str, list[str]]:
    """The request without the time left, and the head of the answer without the length of its body."""
    request, answer = call
    lines = answer.partition("\r\n\r\n")[0].split("\r\n")
    head = [line for line in lines if not line.startswith("Content-Length")]
    return re.sub(r"(remaining-milliseconds: )\d+", r"\1#", request), head


def test_the_names_in_the_log() -> None:
    found, expected = code.names_logged(), recorded("logged")
    for file in ("logged_since", "logged_added", "logged_with_reads", "logged_with_confirmations"):
        for name, added in recorded(file).items():
            assert not set(added) & set(expected[name])
            expected[name] = sorted([*expected[name], *added])
    assert found == expected


# What lies on registrars' disks.


def test_the_records_on_registrars_disks() -> None:
    """Every kind, its fields' types, and the bytes of an example or two; and the layout of the file."""
    expected = recorded("records")
    assert not expected.keys() & RECORDS_ADDED.keys()
    assert differing(code.records_written(), expected | RECORDS_ADDED) == {}


def test_registrars_start_from_recorded_disks() -> None:
    """They know view, leases, incarnations and configuration, and a change builds on these."""
    disks = {path.stem: path.read_bytes() for path in sorted((DATA / "disks").glob("*.log"))}
    assert len(disks) == 3
    assert code.started_from(disks) == recorded("started")


# The sender: its journal, and what it hands over to its next version.

SENDER = recorded("sender")


def test_the_lines_of_the_senders_journal(tmp_path: Path) -> None:
    """Each kind, with its fields in their order."""
    assert json.dumps(code.sender_journal(tmp_path)) == json.dumps(SENDER["written"])


def test_a_sender_starts_from_a_recorded_journal(tmp_path: Path) -> None:
    """One with every kind of line and every outcome."""
    found = code.sender_started_from(SENDER["journal"], tmp_path)
    assert json.dumps(found) == json.dumps(SENDER["started"])


def test_what_a_sender_hands_over(tmp_path: Path) -> None:
    assert json.dumps(code.sender_hands_over(tmp_path)) == json.dumps(SENDER["handed over"])


def test_a_sender_takes_over_what_was_recorded(tmp_path: Path) -> None:
    """It goes on with all of it, and hands the same on."""
    found = code.sender_takes_over(SENDER["taken over"], tmp_path)
    assert json.dumps(found) == json.dumps(SENDER["handed on"])


def test_a_sender_without_a_configuration_ends_with_one_line() -> None:
    assert code.sender_without_configuration() == (1, 1)
