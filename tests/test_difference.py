"""A Replace sent to subscribers as an Amend, and the route table built from the previous one."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumline.configuration.amendment import amend_document
from plumline.configuration.difference import replace_as_amend
from plumline.configuration.document import SECTIONS, Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable

NAMES = st.sampled_from("abcdef")


def route(name: str, position: int, timeout: int) -> Document:
    return {
        "Name": name,
        "Host": f"h{position % 2}",
        "PathPrefix": "/" + "x" * position + "/",
        "Service": "s",
        "TimeoutMs": timeout,
    }


@st.composite
def documents(draw: st.DrawFn, version: int) -> Document:
    names = draw(st.lists(NAMES, unique=True))
    positions = draw(st.permutations(range(6)))
    routes = [
        route(name, position, draw(st.integers(1, 2)))
        for name, position in zip(names, positions, strict=False)
    ]
    tenants = [
        {"Name": name, "ApiKeys": [f"key-{name}"], "Isolated": draw(st.booleans())}
        for name in draw(st.lists(NAMES, unique=True))
    ]
    document: Document = {"Version": version}
    sections = {"Routes": routes, "Services": [{"Name": "s"}], "Tenants": tenants}
    for section in draw(st.lists(st.sampled_from(sorted(sections)), unique=True)):
        document[section] = sections[section]
    if draw(st.booleans()):
        document["Limits"] = {"BodyLimitBytes": draw(st.integers(1, 2))}
    if draw(st.booleans()):
        document["Else"] = draw(st.sampled_from([1, "x", [1], [{"Name": "y"}], [{"Name": "y", "z": 1}], []]))
    return document


@given(documents(1), documents(2))
def test_the_shortened_change_leads_to_the_same_state(first: Document, second: Document) -> None:
    state = ReplicatedConfiguration().apply(["replace", 0, first])
    change = ["replace", 1, second]
    by_replace, by_amend = state.apply(change), state.apply(replace_as_amend(first, change))
    assert by_amend.configuration == by_replace.configuration
    assert (by_amend.shared_cache_generation, by_amend.departed_tenants, by_amend.version) == (
        by_replace.shared_cache_generation,
        by_replace.departed_tenants,
        by_replace.version,
    )


def lookups(table: RouteTable) -> Any:  # noqa: ANN401
    found = [
        table.match(f"h{host}", "/" + "x" * length + "/rest") for host in range(2) for length in range(8)
    ]
    keys = [table.tenant_of(f"key-{name}") for name in "abcdef"]
    shortest_targets: dict[str, float] = {}
    for each_route in table.routes:
        for service, _ in each_route.traffic_split:
            shortest_targets[service] = min(
                shortest_targets.get(service, each_route.latency_target_ms), each_route.latency_target_ms
            )
    assert table.shortest_latency_targets() == shortest_targets
    return found, keys, table.routes, table.services, table.limits, table.version, table.reserved_shares


@given(documents(1), documents(2))
def test_an_amended_table_equals_a_rebuilt_one(first: Document, second: Document) -> None:
    earlier = RouteTable(first)
    before = lookups(earlier)
    change = replace_as_amend(first, ["replace", 1, second])
    state = ReplicatedConfiguration().apply(["replace", 0, first]).apply(change)
    if change[0] == "amend" and state.configuration is not None:
        assert lookups(earlier.with_amendment(state.configuration, change[2])) == lookups(
            RouteTable(state.configuration)
        )
    assert lookups(earlier) == before


def test_one_changed_route_of_thousands_is_sent_alone_and_the_others_are_reused() -> None:
    first = {
        "Version": 1,
        "Routes": [route(f"r{index}", index, 1) for index in range(3000)],
        "Services": [{"Name": "s"}],
    }
    second = {**first, "Version": 2, "Routes": [dict(item) for item in first["Routes"]]}
    second["Routes"][70] = route("r70", 70, 2)
    change = replace_as_amend(first, ["replace", 1, second])
    assert change == [
        "amend",
        1,
        {"Version": 2, "Upserts": {"Routes": [route("r70", 70, 2)]}, "Removals": {"Routes": []}},
    ]
    table = RouteTable(first)
    again = table.with_amendment(
        ReplicatedConfiguration().apply(["replace", 0, first]).apply(change).configuration or {}, change[2]
    )
    same = sum(mine is other for mine, other in zip(table.routes, again.routes, strict=True))
    assert same == 2999


def test_a_change_that_an_amend_can_not_express_remains_a_replace() -> None:
    first = {"Version": 1, "Routes": [], "Services": [{"Name": "s"}], "Limits": {}}
    without = ["replace", 1, {"Version": 2, "Routes": [], "Services": [{"Name": "s"}]}]
    assert replace_as_amend(first, without) is without
    reserved = ["replace", 1, {**first, "Version": 2, "Upserts": {}}]
    assert replace_as_amend(first, reserved) is reserved
    named = ["weights", {"Model": "m", "Version": 2}]
    assert replace_as_amend(first, named) is named
    assert replace_as_amend(None, without) is without


def section_item(section: str) -> Document:
    """An item whose effect a lookup in the route table shows."""
    items = {
        "Routes": route("a", 1, 1),
        "Services": {"Name": "s"},
        "Tenants": {"Name": "a", "ApiKeys": ["key-a"], "ReservedShare": 0.1},
    }
    return items[section]


# Guards against routes that are acknowledged and read back while every router answers 404 (review/2).
@pytest.mark.parametrize("section", SECTIONS)
def test_a_section_that_the_previous_document_lacks_takes_effect_at_the_router(section: str) -> None:
    second = {"Version": 2} | {each: [section_item(each)] for each in SECTIONS}
    first = {key: value for key, value in second.items() if key != section} | {"Version": 1}
    change = replace_as_amend(first, ["replace", 1, second])
    state = ReplicatedConfiguration().apply(["replace", 0, first]).apply(change)
    assert state.configuration == second
    assert change[0] == "amend"
    table = RouteTable(first).with_amendment(second, change[2])
    assert lookups(table) == lookups(RouteTable(second))


# Guards against an Amend in a form that only the publisher's merge accepts and operators can't send.
@pytest.mark.parametrize("section", SECTIONS)
def test_a_section_that_the_previous_document_lacks_is_sent_as_upserts(section: str) -> None:
    first = {"Version": 1, "Services": [section_item("Services")]}
    second = {**first, "Version": 2, section: [section_item(section)]}
    _, based_on, body = replace_as_amend(first, ["replace", 1, second])
    assert not set(SECTIONS) & body.keys()
    assert amend_document(first, based_on, body) == second


# Guards against a registrar of an earlier release, which sends the complete section besides Upserts.
def test_a_complete_list_of_routes_in_an_amendment_replaces_those_of_the_table() -> None:
    first = {"Version": 1, "Routes": [route("a", 1, 1), route("b", 2, 1)], "Services": [{"Name": "s"}]}
    second = {**first, "Version": 2, "Routes": [route("b", 2, 1), route("c", 3, 1)]}
    earlier = RouteTable(first)
    body = {"Version": 2, "Upserts": {}, "Removals": {}, "Routes": second["Routes"]}
    table = earlier.with_amendment(second, body)
    assert lookups(table) == lookups(RouteTable(second))
    assert table.match("h1", "/x/rest") is None
