"""A Replace told to routers as what it changes, and a table of routes made by the difference."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from plumline.configuration.difference import replace_as_amend
from plumline.configuration.document import Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable

NAMES = st.sampled_from("abcdef")


def route(name: str, place: int, timeout: int) -> Document:
    return {
        "Name": name,
        "Host": f"h{place % 2}",
        "PathPrefix": "/" + "x" * place + "/",
        "Service": "s",
        "TimeoutMs": timeout,
    }


@st.composite
def documents(draw: st.DrawFn, version: int) -> Document:
    names = draw(st.lists(NAMES, unique=True))
    places = draw(st.permutations(range(6)))
    routes = [route(name, place, draw(st.integers(1, 2))) for name, place in zip(names, places, strict=False)]
    tenants = [
        {"Name": name, "ApiKeys": [f"key-{name}"], "Isolated": draw(st.booleans())}
        for name in draw(st.lists(NAMES, unique=True))
    ]
    document: Document = {"Version": version, "Routes": routes, "Services": [{"Name": "s"}]}
    if draw(st.booleans()):
        document["Tenants"] = tenants
    if draw(st.booleans()):
        document["Limits"] = {"BodyLimitBytes": draw(st.integers(1, 2))}
    if draw(st.booleans()):
        document["Else"] = draw(st.sampled_from([1, "x", [1], [{"Name": "y"}], [{"Name": "y", "z": 1}], []]))
    return document


@given(documents(1), documents(2))
def test_the_difference_leads_to_the_same_state(first: Document, second: Document) -> None:
    state = ReplicatedConfiguration().apply(["replace", 0, first])
    change = ["replace", 1, second]
    whole, told = state.apply(change), state.apply(replace_as_amend(first, change))
    assert told.configuration == whole.configuration
    assert (told.shared_cache_generation, told.departed_tenants, told.version) == (
        whole.shared_cache_generation,
        whole.departed_tenants,
        whole.version,
    )


def looks(table: RouteTable) -> Any:  # noqa: ANN401
    found = [
        table.match(f"h{host}", "/" + "x" * length + "/rest") for host in range(2) for length in range(8)
    ]
    keys = [table.tenant_of(f"key-{name}") for name in "abcdef"]
    aims: dict[str, float] = {}
    for each in table.routes:
        for service, _ in each.traffic_split:
            aims[service] = min(aims.get(service, each.latency_target_ms), each.latency_target_ms)
    assert table.shortest_latency_targets() == aims
    return found, keys, table.routes, table.services, table.limits, table.version, table.reserved_shares


@given(documents(1), documents(2))
def test_a_table_made_by_the_difference_is_as_one_made_anew(first: Document, second: Document) -> None:
    earlier = RouteTable(first)
    before = looks(earlier)
    change = replace_as_amend(first, ["replace", 1, second])
    state = ReplicatedConfiguration().apply(["replace", 0, first]).apply(change)
    if change[0] == "amend" and state.configuration is not None:
        assert looks(earlier.with_amendment(state.configuration, change[2])) == looks(
            RouteTable(state.configuration)
        )
    assert looks(earlier) == before


def test_one_changed_route_of_thousands_is_told_alone_and_leaves_the_others() -> None:
    first = {
        "Version": 1,
        "Routes": [route(f"r{at}", at, 1) for at in range(3000)],
        "Services": [{"Name": "s"}],
    }
    second = {**first, "Version": 2, "Routes": [dict(each) for each in first["Routes"]]}
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


def test_what_an_amend_can_not_do_is_told_whole() -> None:
    first = {"Version": 1, "Routes": [], "Services": [{"Name": "s"}], "Limits": {}}
    without = ["replace", 1, {"Version": 2, "Routes": [], "Services": [{"Name": "s"}]}]
    assert replace_as_amend(first, without) is without
    reserved = ["replace", 1, {**first, "Version": 2, "Upserts": {}}]
    assert replace_as_amend(first, reserved) is reserved
    named = ["weights", {"Model": "m", "Version": 2}]
    assert replace_as_amend(first, named) is named
    assert replace_as_amend(None, without) is without
