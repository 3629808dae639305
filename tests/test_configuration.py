"""The operator's configuration: parsing, validation, changes; the replicated state; the routers' lookups."""

import copy
import json
import random
from collections import Counter
from typing import Any

import ormsgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumline.configuration.amendment import amend_document, replace_document
from plumline.configuration.document import change_digest, parse_document
from plumline.configuration.entities import Tenant
from plumline.configuration.history import MIN_REMEMBERED_CHANGES, SEGMENT_CHANGES, History
from plumline.configuration.replicated_state import ReplicatedConfiguration, ReplicatedStateInvalidError
from plumline.configuration.route_table import RouteTable
from plumline.configuration.validation import validate
from plumline.errors import ConfigurationInvalidError, UnavailableError, VersionConflictError

Document = dict[str, Any]


def route(name: str = "r1", **fields: object) -> Document:
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": f"/{name}/",
        "Kind": "idempotent",
        "TimeoutMs": 3000,
        "Service": "s1",
        **fields,
    }


STORE = {"Name": "store", "CacheStoreAddress": "172.20.0.2:8165", "Zone": "z1", "LinkSpeedMbps": 390000.0}


def document(version: int = 1, **fields: object) -> Document:
    return {
        "Version": version,
        "Routes": [route("r1"), route("r2")],
        "Services": [{"Name": "s1", "Engine": {"CapacitySlots": 12, "Models": [{"Name": "m1"}]}}, STORE],
        "Tenants": [
            {"Name": "t1", "ApiKeys": ["k1", "k2"]},
            {"Name": "t2", "ApiKeys": ["k3"], "Priority": 1},
        ],
        "Limits": {"HeaderLimitBytes": 100},
        "Later": {"kept": [1.0, None, "ü"]},
        **fields,
    }


def split(*weights: object) -> list[Document]:
    return [{"Service": "s1", "Weight": weight} for weight in weights]


UNREADABLE = {
    "empty": b"",
    "truncated": b'{"Version": 1, "Routes": [',
    "list": b"[]",
    "null": b"null",
    "not a number": b'{"Version": NaN}',
    "infinity": b'{"Version": -Infinity}',
    "overflow": b'{"Version": 1e999}',
    "key twice": b'{"Version": 1, "Version": 2}',
    "inner key twice": b'{"Version": 1, "Limits": {"a": 1, "a": 1}}',
    "65 levels": b'{"a":' * 65 + b"1" + b"}" * 65,
    "100000 levels": b'{"a":' + b"[" * 100000 + b"]" * 100000 + b"}",
    "not utf-8": b'{"a": "\xff"}',
    "byte order mark": b"\xef\xbb\xbf{}",
    "half of a pair": b'{"a": "\\ud800"}',
    "integer over 64 bits": b'{"a": 99999999999999999999999}',
    "more after it": b"{}{}",
}


@pytest.mark.parametrize("raw", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_unreadable_bodies_are_rejected(raw: bytes) -> None:
    with pytest.raises(ConfigurationInvalidError):
        parse_document(raw)


def test_parse_returns_the_document_as_sent() -> None:
    sent = document(Deep=json.loads("[" * 60 + "]" * 60))
    assert parse_document(json.dumps(sent).encode()) == sent
    assert parse_document(json.dumps(sent, ensure_ascii=False).encode()) == sent


def routes(*items: Document) -> Document:
    return {"Routes": list(items)}


INVALID: dict[str, tuple[Document, str]] = {
    "unknown service": (routes(route(Service="s9")), "s9"),
    "unknown service in a split": (
        routes(route(TrafficSplit=[*split(1), {"Service": "s9", "Weight": 0}])),
        "s9",
    ),
    "service of a route removed": ({"Services": [STORE]}, "s1"),
    "store as service": (routes(route(Service="store")), "store"),
    "no service": (routes(route(Service=None)), "Service"),
    "same host and prefix": (routes(route("r1"), route("r2", PathPrefix="/r1/")), "r1"),
    "same host in other case": (
        routes(route("r1"), route("r2", Host="A.EXAMPLE", PathPrefix="/r1/")),
        "r1",
    ),
    "weights of 0": (routes(route(TrafficSplit=split(0, 0))), "TrafficSplit"),
    "negative weight": (routes(route(TrafficSplit=split(5, -1))), "TrafficSplit[1].Weight"),
    "weight no number": (routes(route(TrafficSplit=split("1"))), "TrafficSplit[0].Weight"),
    "empty split, no service": (routes(route(TrafficSplit=[], Service=None)), "TrafficSplit"),
    "split of texts": (routes(route(TrafficSplit=["s1"])), "TrafficSplit[0]"),
    "time-out 0": (routes(route(TimeoutMs=0)), "TimeoutMs"),
    "time-out negative": (routes(route(TimeoutMs=-1)), "TimeoutMs"),
    "time-out missing": (routes({k: v for k, v in route().items() if k != "TimeoutMs"}), "TimeoutMs"),
    "time-out a text": (routes(route(TimeoutMs="3000")), "TimeoutMs"),
    "time-out true": (routes(route(TimeoutMs=True)), "TimeoutMs"),
    "prefix without first slash": (routes(route(PathPrefix="a/")), "PathPrefix"),
    "prefix without last slash": (routes(route(PathPrefix="/a")), "PathPrefix"),
    "prefix missing": (routes({k: v for k, v in route().items() if k != "PathPrefix"}), "PathPrefix"),
    "host missing": (routes({k: v for k, v in route().items() if k != "Host"}), "Host"),
    "attempt limit 0": (routes(route(AttemptLimit=0)), "AttemptLimit"),
    "flag a number": (routes(route(PublicAccess=1)), "PublicAccess"),
    "route name twice": (routes(route("r1"), route("r1", PathPrefix="/x/")), "r1"),
    "route name missing": (routes(route("")), "Name"),
    "route no object": ({"Routes": ["r1"]}, "Routes[0]"),
    "routes no list": ({"Routes": {"r1": {}}}, "Routes"),
    "service name twice": ({"Services": [{"Name": "s1"}, {"Name": "s1"}]}, "s1"),
    "store without port": (
        {"Services": [{"Name": "s1"}, {"Name": "x", "CacheStoreAddress": "1.2.3.4"}]},
        "1.2.3.4",
    ),
    "engine slots 0": ({"Services": [{"Name": "s1", "Engine": {"CapacitySlots": 0}}]}, "CapacitySlots"),
    "tenant name twice": ({"Tenants": [{"Name": "t1"}, {"Name": "t1"}]}, "t1"),
    "key of two tenants": (
        {"Tenants": [{"Name": "t1", "ApiKeys": ["k"]}, {"Name": "t2", "ApiKeys": ["j", "k"]}]},
        "Tenants[t2].ApiKeys[1]",
    ),
    "keys no list": ({"Tenants": [{"Name": "t1", "ApiKeys": "k"}]}, "ApiKeys"),
    "isolated a text": ({"Tenants": [{"Name": "t1", "Isolated": "true"}]}, "Isolated"),
    "limits no object": ({"Limits": 5}, "Limits"),
    "limit 0": ({"Limits": {"BodyLimitBytes": 0}}, "Limits.BodyLimitBytes"),
    "version 0": ({"Version": 0}, "Version"),
    "version negative": ({"Version": -3}, "Version"),
    "version true": ({"Version": True}, "Version"),
    "version a fraction": ({"Version": 3.0}, "Version"),
    "version a text": ({"Version": "3"}, "Version"),
}


@pytest.mark.parametrize(("fields", "word"), INVALID.values(), ids=INVALID.keys())
def test_invalid_documents_are_rejected_without_effect(fields: Document, word: str) -> None:
    body = document(3) | fields
    with pytest.raises(ConfigurationInvalidError) as error:
        validate(body)
    assert word in error.value.text and "allowed" in error.value.text
    for state, based_on in (
        (ReplicatedConfiguration(), 0),
        (ReplicatedConfiguration().apply(["replace", 0, document(1)]), 1),
    ):
        before, sent = copy.deepcopy(state), copy.deepcopy(body)
        with pytest.raises(ConfigurationInvalidError):
            state.check(["replace", based_on, body])
        assert (state, body) == (before, sent)


@pytest.mark.parametrize(
    ("fields", "word"),
    [
        (fields, word)
        for fields, word in INVALID.values()
        if all(isinstance(v, list) for v in fields.values())
    ],
    ids=[name for name, (fields, _) in INVALID.items() if all(isinstance(v, list) for v in fields.values())],
)
def test_invalid_items_are_rejected_in_an_amend_as_well(fields: Document, word: str) -> None:
    state = ReplicatedConfiguration().apply(["replace", 0, document(1)])
    before = copy.deepcopy(state)
    (section, items), *_ = fields.items()
    names = [item.get("Name") for item in items if isinstance(item, dict)]
    gone = [i["Name"] for i in document()[section] if i["Name"] not in names]
    body = {"Version": 3, "Upserts": {section: items}, "Removals": {section: gone}}
    with pytest.raises(ConfigurationInvalidError):
        state.check(["amend", 1, body])
    assert state == before


def test_missing_version_is_rejected() -> None:
    with pytest.raises(ConfigurationInvalidError, match="Version"):
        validate({"Routes": []})


def test_every_fault_is_reported_and_no_api_key() -> None:
    body = document(
        Routes=[route("r1", TimeoutMs=0, PathPrefix="x"), route("r2", Service="s9")],
        Tenants=[{"Name": "t1", "ApiKeys": ["secret"]}, {"Name": "t2", "ApiKeys": ["secret"]}],
    )
    with pytest.raises(ConfigurationInvalidError) as error:
        validate(body)
    text = error.value.text
    assert all(word in text for word in ("Routes[r1].TimeoutMs: 0", "PathPrefix: 'x'", "s9", "Tenants[t2]"))
    assert "secret" not in text


def test_minimal_documents_are_valid() -> None:
    validate({"Version": 1})
    bare = {"Name": "r", "Host": "h", "PathPrefix": "/", "TimeoutMs": 0.5}
    validate({"Version": 1, "Routes": [bare | {"TrafficSplit": split(0, 2)}], "Services": [{"Name": "s1"}]})
    validate(
        {"Version": 1, "Routes": [bare | {"Service": "s1", "Kind": "later"}], "Services": [{"Name": "s1"}]}
    )


@pytest.mark.parametrize("based_on", [0, 1, 3, -1, True, "2", None])
def test_a_change_on_another_version_conflicts(based_on: object) -> None:
    current = document(2)
    for change in (replace_document, amend_document):
        with pytest.raises(VersionConflictError):
            change(current, based_on, document(5) if change is replace_document else {"Version": 5})  # type: ignore[arg-type]


def test_the_first_configuration() -> None:
    first = document(4)
    assert replace_document(None, 0, first) == first
    for change, based_on in ((replace_document, 1), (amend_document, 0), (amend_document, 1)):
        with pytest.raises(VersionConflictError):
            change(None, based_on, document(4))


@pytest.mark.parametrize("version", [1, 2])
def test_a_version_not_above_the_current_one_is_invalid(version: int) -> None:
    for kind, body in (("replace", document(version)), ("amend", {"Version": version})):
        state = ReplicatedConfiguration().apply(["replace", 0, document(2)])
        with pytest.raises(ConfigurationInvalidError, match="Version"):
            state.check([kind, 2, body])


AMENDMENTS_INVALID: dict[str, Document] = {
    "no version": {"Upserts": {}},
    "upserts no object": {"Version": 3, "Upserts": []},
    "upsert no list": {"Version": 3, "Upserts": {"Routes": route("r9")}},
    "upsert without a name": {"Version": 3, "Upserts": {"Later2": [{"a": 1}]}},
    "upsert twice": {"Version": 3, "Upserts": {"Later2": [{"Name": "a"}, {"Name": "a"}]}},
    "removals of objects": {"Version": 3, "Removals": {"Routes": [{"Name": "r1"}]}},
    "in both": {"Version": 3, "Upserts": {"Routes": [route("r2")]}, "Removals": {"Routes": ["r2"]}},
    "list of what is none": {"Version": 3, "Upserts": {"Limits": [{"Name": "a"}]}},
    "removal from what is none": {"Version": 3, "Removals": {"Later": ["a"]}},
    "routes at the top": {"Version": 3, "Routes": [route("r9")]},
    "service still named": {"Version": 3, "Removals": {"Services": ["s1"]}},
    "key of another tenant": {"Version": 3, "Upserts": {"Tenants": [{"Name": "t3", "ApiKeys": ["k1"]}]}},
    "prefix of another route": {"Version": 3, "Upserts": {"Routes": [route("r3", PathPrefix="/r1/")]}},
    "service becomes a store": {"Version": 3, "Upserts": {"Services": [STORE | {"Name": "s1"}]}},
    "limits no object": {"Version": 3, "Limits": 3},
    "limit 0": {"Version": 3, "Limits": {"IdleTimeoutMs": 0}},
}


@pytest.mark.parametrize("body", AMENDMENTS_INVALID.values(), ids=AMENDMENTS_INVALID.keys())
def test_invalid_amends_are_rejected_without_effect(body: Document) -> None:
    state = ReplicatedConfiguration().apply(["replace", 0, document(2)])
    before = copy.deepcopy(state)
    with pytest.raises(ConfigurationInvalidError, match="allowed"):
        state.check(["amend", 2, body])
    assert state == before


def test_an_amend_replaces_in_place_adds_removes_and_sets() -> None:
    current = document(2)
    before = copy.deepcopy(current)
    body = {
        "Version": 9,
        "Upserts": {"Routes": [route("r3"), route("r1", TimeoutMs=5)], "Later2": [{"Name": "n"}]},
        "Removals": {"Tenants": ["t1", "never"], "Later3": ["x"]},
        "Limits": {"IdleTimeoutMs": 7},
        "Flag": True,
    }
    sent = copy.deepcopy(body)
    new = amend_document(current, 2, body)
    assert (current, body) == (before, sent)
    assert new["Routes"] == [route("r1", TimeoutMs=5), route("r2"), route("r3")]
    assert new["Routes"][1] is current["Routes"][1]
    assert new["Tenants"] == before["Tenants"][1:] and new["Later2"] == [{"Name": "n"}]
    assert (new["Version"], new["Limits"], new["Flag"]) == (9, {"IdleTimeoutMs": 7}, True)
    assert new["Later"] is current["Later"] and new.keys().isdisjoint({"Upserts", "Removals", "Later3"})
    validate(new)


names = st.sampled_from([f"r{i}" for i in range(8)])
plain = st.dictionaries(names, st.integers(1, 5), max_size=8)
steps = st.lists(st.tuples(plain, st.sets(names)), max_size=5)


@given(first=plain, changes=steps)
def test_amends_agree_with_a_plain_model(first: dict[str, int], changes: list[Any]) -> None:
    state = ReplicatedConfiguration().apply(
        ["replace", 0, document(1, Routes=[route(n, TimeoutMs=t) for n, t in first.items()])]
    )
    model = dict(first)
    for version, (upserts, removals) in enumerate(changes, 2):
        removals -= upserts.keys()
        body = {
            "Version": version,
            "Upserts": {"Routes": [route(n, TimeoutMs=t) for n, t in upserts.items()]},
            "Removals": {"Routes": sorted(removals)},
        }
        change = ["amend", version - 1, body]
        before = copy.deepcopy(state)
        assert state.check(change) is False
        new = state.apply(ormsgpack.unpackb(ormsgpack.packb(change)))
        assert state == before
        model.update(upserts)
        for name in removals:
            model.pop(name, None)
        assert new.configuration is not None
        assert [(r["Name"], r["TimeoutMs"]) for r in new.configuration["Routes"]] == list(model.items())
        assert new.configuration == amend_document(state.configuration, version - 1, body)
        assert new.check(change) is True and new.apply(change) is new
        validate(new.configuration)
        state = new


def shuffled(value: Any, rng: random.Random) -> Any:  # noqa: ANN401
    if isinstance(value, dict):
        items = [(key, shuffled(item, rng)) for key, item in value.items()]
        rng.shuffle(items)
        return dict(items)
    return [shuffled(item, rng) for item in value] if isinstance(value, list) else value


@given(st.randoms(use_true_random=False))
def test_the_digest_ignores_the_order_of_keys_alone(rng: random.Random) -> None:
    body = document()
    assert change_digest("replace", 0, shuffled(body, rng)) == change_digest("replace", 0, body)


def test_different_changes_have_different_digests() -> None:
    digests = [
        change_digest(kind, based_on, body)
        for kind in ("replace", "amend")
        for based_on in (0, 1)
        for body in ({"a": 1}, {"a": 1.0}, {"a": True}, {"a": "1"}, {"a": [1]}, {"a": None}, {})
    ]
    assert len(set(digests)) == len(digests)


def test_two_changes_on_one_version_and_a_repeat() -> None:
    one, two = ["replace", 0, document(3)], ["replace", 0, document(3, Extra=1)]
    state = ReplicatedConfiguration().apply(one)
    assert state.check(one) is True
    with pytest.raises(VersionConflictError):
        state.check(two)
    with pytest.raises(VersionConflictError):
        state.apply(two)
    later = state.apply(["amend", 3, {"Version": 8}])
    assert later.version == 8 and later.check(one) is True and later.apply(one) is later


def test_a_repeat_older_than_the_history_is_never_rejected() -> None:
    state = ReplicatedConfiguration().apply(["replace", 0, {"Version": 1}])
    changes = [
        ["amend", version, {"Version": version + 1}]
        for version in range(1, MIN_REMEMBERED_CHANGES + 2 * SEGMENT_CHANGES + 1)
    ]
    for change in changes:
        state = state.apply(change)
    assert MIN_REMEMBERED_CHANGES <= len(state.history) < MIN_REMEMBERED_CHANGES + SEGMENT_CHANGES
    for change in changes[-MIN_REMEMBERED_CHANGES:]:
        assert state.check(change) is True
        with pytest.raises(VersionConflictError):
            state.check([change[0], change[1], change[2] | {"Limits": {}}])
    for change in changes[:SEGMENT_CHANGES]:
        with pytest.raises(UnavailableError):
            state.check(change)


def test_a_change_on_a_future_version_is_not_rejected() -> None:
    # A delayed duplicate that arrives after that version would be accepted.
    early = ["amend", 5, {"Version": 9}]
    state = ReplicatedConfiguration().apply(["replace", 0, {"Version": 3}])
    with pytest.raises(UnavailableError):
        state.check(early)
    assert state.apply(["amend", 3, {"Version": 5}]).check(early) is False


def test_a_repeat_is_recognised_after_changes_of_the_other_kind() -> None:
    replaced_once = ["replace", 0, document(2)]
    amended_once = ["amend", 2, {"Version": 4}]
    state = (
        ReplicatedConfiguration().apply(replaced_once).apply(amended_once).apply(["replace", 4, document(7)])
    )
    assert state.check(replaced_once) is True and state.check(amended_once) is True
    with pytest.raises(VersionConflictError):
        state.check(["replace", 2, {"Version": 4}])  # the same body in a change of another kind
    with pytest.raises(VersionConflictError):
        state.check(["amend", 2, {"Version": 4.0}])


def test_model_versions_are_applied_in_rising_order_only() -> None:
    state = ReplicatedConfiguration()
    change = ["weights", {"Model": "m1", "Version": 3}]
    assert state.check(change) is False
    new = state.apply(change)
    assert (state.model_versions, new.model_versions) == ({}, {"m1": 3})
    assert new.check(change) is True and new.apply(change) is new
    late = ["weights", {"Model": "m1", "Version": 2}]
    assert new.check(late) is True and new.apply(late) is new
    assert new.apply(["weights", {"Model": "m2", "Version": 1}]).model_versions == {"m1": 3, "m2": 1}


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"Model": "m1"},
        {"Version": 2},
        {"Model": "", "Version": 2},
        {"Model": 1, "Version": 2},
        {"Model": "m1", "Version": 0},
        {"Model": "m1", "Version": True},
        {"Model": "m1", "Version": 2.0},
        {"Model": "m1", "Version": 2**63},
    ],
)
def test_invalid_model_versions_are_rejected(body: Document) -> None:
    with pytest.raises(ConfigurationInvalidError, match="allowed"):
        ReplicatedConfiguration().apply(["replace", 0, document()]).check(["weights", body])


def test_a_version_of_a_model_that_may_be_listed_later_is_not_rejected() -> None:
    # A delayed duplicate that arrives after a configuration with this model would be accepted.
    change = ["weights", {"Model": "later", "Version": 2}]
    state = ReplicatedConfiguration().apply(["replace", 0, document(1)])
    with pytest.raises(UnavailableError):
        state.check(change)
    service = {"Name": "more", "Engine": {"Models": [{"Name": "later"}]}}
    state = state.apply(["amend", 1, {"Version": 2, "Upserts": {"Services": [service]}}])
    assert state.check(change) is False


def test_any_model_is_accepted_while_none_is_listed() -> None:
    change = ["weights", {"Model": "unknown", "Version": 2}]
    assert ReplicatedConfiguration().check(change) is False
    assert ReplicatedConfiguration().apply(["replace", 0, {"Version": 1}]).check(change) is False


@pytest.mark.parametrize("change", [[], ["drop"], ["replace", 0], ["replace", 0, []], ["weights", []]])
def test_unknown_changes_are_rejected(change: list[Any]) -> None:
    with pytest.raises(ConfigurationInvalidError):
        ReplicatedConfiguration().check(change)


def test_the_shared_cache_generation_rises_when_a_tenant_leaves_the_shared_cache() -> None:
    def tenant(name: str, isolated: bool) -> Document:
        return {"Name": name, "Isolated": isolated}

    state = ReplicatedConfiguration()
    generations = []
    for version, listed in enumerate(
        [
            [tenant("a", False), tenant("b", True)],  # new tenants, isolated or not: 0
            [tenant("a", False), tenant("b", False)],  # b joins the shared cache: 0
            [tenant("a", True), tenant("b", False)],  # a leaves the shared cache: 1
            [tenant("a", True), tenant("b", False), tenant("c", True)],  # a new isolated tenant: 1
            [tenant("a", True)],  # b is removed, its prompts remain in the shared cache: 1
            [tenant("a", True), tenant("b", True)],  # b returns, isolated: 2
            [tenant("a", True)],
            [tenant("a", True), tenant("b", True)],  # b's prompts were never in this generation: 2
        ],
        1,
    ):
        state = ReplicatedConfiguration.from_wire(state.to_wire()).apply(
            ["replace", version - 1, {"Version": version, "Tenants": listed}]
        )
        generations.append(state.shared_cache_generation)
    assert generations == [0, 0, 1, 1, 1, 2, 2, 2]


def test_the_state_survives_serialization() -> None:
    state = (
        ReplicatedConfiguration()
        .apply(["weights", {"Model": "m1", "Version": 2}])
        .apply(["replace", 0, document(2)])
    )
    state = state.apply(["amend", 2, {"Version": 5, "Removals": {"Tenants": ["t1"]}}])
    again = ReplicatedConfiguration.from_wire(ormsgpack.unpackb(ormsgpack.packb(state.to_wire())))
    assert again == state and again.history.to_wire() == state.history.to_wire() and again.version == 5
    assert ReplicatedConfiguration.from_wire(ReplicatedConfiguration().to_wire()) == ReplicatedConfiguration()


@pytest.mark.parametrize(
    "wire",
    [
        None,
        [],
        {},
        ReplicatedConfiguration().to_wire() | {"wall": "1"},
        ReplicatedConfiguration().to_wire() | {"taken": []} | {"history": {}},
        ReplicatedConfiguration().to_wire() | {"history": [0, [1], b""]},
        ReplicatedConfiguration().to_wire() | {"history": [0, [1, 2]]},
    ],
)
def test_malformed_states_are_rejected(wire: object) -> None:
    with pytest.raises(ReplicatedStateInvalidError):
        ReplicatedConfiguration.from_wire(wire)


def test_a_subscriber_gets_no_history_and_rejects_nothing_by_it() -> None:
    first, second = ["replace", 0, document(2)], ["amend", 2, {"Version": 5}]
    state = ReplicatedConfiguration().apply(first)
    follower = ReplicatedConfiguration.from_wire(state.to_wire(history=False))
    assert len(follower.history) == 0
    assert follower.apply(second).configuration == state.apply(second).configuration
    with pytest.raises(UnavailableError):
        follower.check(first)


def test_a_state_of_an_earlier_release_recognises_its_repeats() -> None:
    changes = [["replace", 0, document(2)], ["amend", 2, {"Version": 5}], ["amend", 5, {"Version": 6}]]
    state = ReplicatedConfiguration()
    for change in changes:
        state = state.apply(change)
    taken = {change_digest(*change): change[2]["Version"] for change in changes}
    old = {key: value for key, value in state.to_wire().items() if key != "history"} | {"taken": taken}
    again = ReplicatedConfiguration.from_wire(old)
    assert again.check(changes[1]) is True and again.check(changes[2]) is True
    with pytest.raises(UnavailableError):  # the base of the oldest change is unknown
        again.check(changes[0])
    assert ReplicatedConfiguration.from_wire(old | {"taken": {}}).history == History()


segments = st.text("ab", min_size=1, max_size=2)
prefixes = st.lists(segments, max_size=4).map(lambda found: "".join(f"{s}/" for s in ["", *found]))
hosts = st.sampled_from(["a.example", "b.example"])


@given(
    places=st.sets(st.tuples(hosts, prefixes), max_size=12),
    host=hosts,
    path=st.one_of(prefixes, prefixes.map(lambda p: p[:-1]), st.text("/ab?", max_size=12)),
    query=st.sampled_from(["", "?x=/a/b/"]),
)
def test_match_agrees_with_a_linear_search(places: set[Any], host: str, path: str, query: str) -> None:
    listed = [route(f"r{i}", Host=h, PathPrefix=p) for i, (h, p) in enumerate(sorted(places))]
    table = RouteTable(document(Routes=listed))
    bare = path.split("?")[0]
    fitting = [r for r in listed if r["Host"] == host and bare.startswith(r["PathPrefix"])]
    expected = max(fitting, key=lambda r: len(r["PathPrefix"]), default=None)
    found = table.match(host, path + query)
    assert (found and found.name) == (expected and expected["Name"])
    assert table.match(host.upper() + ":8080", path + query) is found


def test_a_route_with_all_fields_and_one_with_defaults() -> None:
    full = {
        "Name": "r",
        "Host": "H.Example:80",
        "PathPrefix": "/f/",
        "Kind": "streaming",
        "TimeoutMs": 6000,
        "TargetLatencyMs": 600,
        "Priority": 0,
        "Service": "s1",
        "TrafficSplit": split(90, 10),
        "AttemptLimit": 3,
        "PublicAccess": True,
        "StickySessions": True,
        "Resumable": True,
        "gap_aim_ms": 250,
    }
    bare = {"Name": "b", "Host": "h", "PathPrefix": "/", "TimeoutMs": 10, "Service": "s1"}
    table = RouteTable(document(Routes=[full, bare, route("later", Kind="later")]))
    found = table.match("h.example", "/f/x")
    assert found is not None and found.idempotent and found.public and found.sticky and found.resumable
    assert (found.host, found.timeout_ms, found.latency_target_ms, found.priority) == (
        "h.example",
        6000,
        600,
        0,
    )
    assert (found.traffic_split, found.attempt_limit, found.gap_target_ms) == (
        (("s1", 90), ("s1", 10)),
        3,
        250,
    )
    usual = table.match("h", "/")
    assert usual is not None and not (usual.idempotent or usual.public or usual.sticky or usual.resumable)
    assert (usual.kind, usual.latency_target_ms, usual.attempt_limit, usual.gap_target_ms) == (
        "non_idempotent",
        10,
        1,
        0,
    )
    later = table.match("a.example", "/later/")
    assert later is not None and later.kind == "non_idempotent"


def test_streams_are_idempotent_only_where_resumable() -> None:
    table = RouteTable(
        document(Routes=[route("a", Kind="streaming"), route("b", Kind="non_idempotent", Resumable=True)])
    )
    assert [each.idempotent for each in table.routes] == [False, False]


def test_choose_service_follows_the_weights() -> None:
    weights = [{"Service": s, "Weight": w} for s, w in (("x", 0), ("a", 1), ("b", 2), ("a", 1), ("y", 0))]
    services = [{"Name": name} for name in ("x", "a", "b", "y")]
    table = RouteTable({"Version": 1, "Routes": [route(TrafficSplit=weights)], "Services": services})
    chosen = Counter(table.routes[0].choose_service(random.Random(seed)) for seed in range(4000))
    assert chosen.keys() == {"a", "b"} and abs(chosen["a"] - 2000) < 200


class FixedRandom(random.Random):
    def __init__(self, value: float) -> None:
        super().__init__()
        self.value = value

    def random(self) -> float:
        return self.value


@given(st.lists(st.floats(0, 1e9) | st.integers(0, 3), min_size=2, max_size=6).filter(lambda w: sum(w) > 0))
def test_choose_service_never_takes_a_weight_of_zero(weights: list[float]) -> None:
    splits = [{"Service": f"s{i}", "Weight": weight} for i, weight in enumerate(weights)]
    services = [{"Name": f"s{i}"} for i in range(len(weights))]
    found = RouteTable({"Version": 1, "Routes": [route(TrafficSplit=splits)], "Services": services}).routes[0]
    for value in (0.0, 0.5, 1 - 2**-53):
        assert weights[int(found.choose_service(FixedRandom(value))[1:])] > 0


def test_tenants_services_cache_stores_and_limits() -> None:
    table = RouteTable(document())
    assert table.tenant_of("k2") == Tenant("t1") and table.tenant_of("k3") == Tenant("t2", priority=1)
    assert table.tenant_of("k9") is None and table.has_tenants
    assert RouteTable(
        {"Version": 1, "Tenants": [{"Name": "t", "ApiKeys": ["k"], "Isolated": True}]}
    ).tenant_of("k") == Tenant("t", isolated=True)
    assert (table.services["s1"].slots, table.services["s1"].models) == (12, ("m1",))
    assert table.services["s1"].cache_store_address is None and list(table.cache_stores) == ["store"]
    assert (
        table.cache_stores["store"].cache_store_address,
        table.cache_stores["store"].cache_store_zone,
    ) == (
        ("172.20.0.2", 8165),
        "z1",
    )
    assert table.cache_stores["store"].link_speed_mbps == 390000.0
    limits = table.limits
    assert (
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    ) == (
        100,
        1 << 22,
        3000,
        15000,
    )
    assert not RouteTable({"Version": 1}).has_tenants


def test_a_new_table_reuses_unchanged_routes() -> None:
    current = document(1)
    table = RouteTable(current)
    new = RouteTable(
        amend_document(current, 1, {"Version": 2, "Upserts": {"Routes": [route("r1", TimeoutMs=9)]}}), table
    )
    one, two = new.match("a.example", "/r1/"), new.match("a.example", "/r2/")
    assert one is not None and one.timeout_ms == 9 and two is table.match("a.example", "/r2/")
    gone = RouteTable(amend_document(current, 1, {"Version": 2, "Removals": {"Routes": ["r2"]}}), table)
    assert gone.match("a.example", "/r2/") is None
