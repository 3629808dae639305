"""What no later version may change: bytes on the wire, records on disks, and the names that others use.

The expectations are files under `data/`, made by the version in service when they were recorded. This
file is not edited when the code is renamed or moved: it knows the code only through `frozen_adapter`.
"""

import json
from pathlib import Path
from typing import Any

import frozen_adapter as code
import pytest

DATA = Path(__file__).parent / "data"


def recorded(name: str) -> Any:  # noqa: ANN401
    return json.loads((DATA / f"{name}.json").read_text())


NAMES = recorded("names")


# Names that operators, the platform and other programs use.


@pytest.mark.parametrize("name", [each for each in NAMES if each.rpartition(".")[2] in ("toml", "json")])
def test_every_key_of_a_file_is_known_by_its_name(name: str) -> None:
    """A known key is one whose wrong value is found at fault."""
    assert code.faulty_keys(name.partition("_")[0], DATA / name) == NAMES[name]


def test_a_settings_file_is_read_as_before() -> None:
    assert code.settings_read(DATA / "settings.toml") == NAMES["settings"]


def test_the_words_and_options_of_the_command_line() -> None:
    found = code.command_words()
    assert {words: sorted(options) for words, options in found.items()} == NAMES["command_words"]


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
