"""The lab's run on one machine: settings, ports, configuration and result table."""

import json
import tomllib
from pathlib import Path

from plumline.lab.clients import Clients
from plumline.lab.local import (
    Ports,
    Result,
    configuration_for,
    machines_for,
    settings_for,
    table,
    toml_text,
)


def test_settings_name_the_same_ports_and_the_registrars_as_seeds(tmp_path: Path) -> None:
    machines, ports = machines_for(2, 3), Ports(1, 2, 3, 4)
    tables = [
        tomllib.loads(toml_text(settings_for(each, machines, ports, "127.0.0.1:9", tmp_path)))
        for each in machines
    ]
    seeds = ["127.0.1.1:3", "127.0.1.2:3", "127.0.1.3:3"]
    assert all(each["SeedAddresses"] == seeds for each in tables)
    assert all(each["FaultTolerance"]["MachineLosses"] == 1 for each in tables)
    assert all(each["Bounds"]["FencingChecked"] is True for each in tables)
    assert [each["Role"] for each in tables] == ["registrar"] * 3 + ["router"] * 2
    assert tables[0]["ListenAddresses"] == {"ControlPlane": "127.0.1.1:3"}
    assert tables[0]["DataDirectory"] == str(tmp_path / "core-1")
    assert tables[3]["ListenAddresses"] == {"FrontHttp": "127.0.2.1:1", "Readiness": "127.0.2.1:2"}
    assert "DataDirectory" not in tables[3]
    single = machines_for(1, 1)
    assert settings_for(single[0], single, ports, "x", tmp_path)["FaultTolerance"]["MachineLosses"] == 0


def test_free_ports_are_found_on_every_address() -> None:
    ports = Ports.free(["127.0.1.1", "127.0.2.1"])
    assert ports.internal > ports.control > ports.readiness > ports.front > 0


def test_the_configuration_is_unchanged_by_a_json_round_trip() -> None:
    document = configuration_for(1, "127.0.0.1:9")
    assert json.loads(json.dumps(document)) == document
    assert {route["Service"] for route in document["Routes"]} <= {
        each["Name"] for each in document["Services"]
    }


def test_the_table_names_every_outcome() -> None:
    clients = Clients([], [])
    clients.tallies["chat"].outcomes.update({"in-time": 3, "late": 1})
    clients.tallies["chat"].first_ms.extend([10.0, 20.0, 30.0])
    result = Result(dict(clients.tallies), [], 1.0, 0.5, True, {"edge-1": 0})
    assert result.good
    text = table(result)
    for word in ("chat", "in-time", "late", "no rule broken", "edge-1 0"):
        assert word in text
    result.exits["edge-1"] = 1
    assert not result.good
