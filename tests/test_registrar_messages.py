"""The typed messages of registrars: encoding, decoding, and values that are not valid messages."""

from typing import Any

import pytest

from plumline.errors import FrameError
from plumline.registrar.forwarding_messages import (
    ForwardedRead,
    ForwardedWrite,
    ForwardingResponse,
    forwarding_message_from_wire,
)
from plumline.registrar.peer_messages import (
    PromptEvents,
    RefreshEndpoints,
    SoftStateUpdate,
    SubscriberReport,
    ZoneAnnouncement,
    peer_message_from_wire,
)
from plumline.registrar.subscriber_messages import (
    PublisherHeartbeat,
    RouterHeartbeat,
    SelectPrimary,
    Subscribe,
    subscriber_message_from_wire,
)

CHANGE = ["amend", 1, {"Version": 2}]


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (ForwardedWrite("k", CHANGE), ["ask", "k", ["submit", CHANGE]]),
        (ForwardedRead("k"), ["ask", "k", ["read"]]),
        (ForwardingResponse("k", None, "", {"taken": True}), ["answer", "k", None, "", {"taken": True}]),
        (ForwardingResponse("k", "unavailable", "no", None), ["answer", "k", "unavailable", "no", None]),
    ],
)
def test_forwarding_messages_keep_their_form(message: Any, wire: list[Any]) -> None:  # noqa: ANN401
    assert message.to_wire() == wire
    assert forwarding_message_from_wire(wire) == message


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (SoftStateUpdate("roster", (3, 1), [{"id": "e"}]), ["topic", "roster", [3, 1], [{"id": "e"}]]),
        (SubscriberReport({"n": {"s": [1.0, 2.0]}}), ["followers", {"n": {"s": [1.0, 2.0]}}]),
        (PromptEvents("n", [["read", 3]]), ["news", "n", [["read", 3]]]),
        (RefreshEndpoints(), ["hurry"]),
        (ZoneAnnouncement("z"), ["zone", "z"]),
    ],
)
def test_peer_messages_keep_their_form(message: Any, wire: list[Any]) -> None:  # noqa: ANN401
    assert message.to_wire() == wire
    parsed = peer_message_from_wire(wire)
    assert type(parsed) is type(message) and parsed == message


@pytest.mark.parametrize(
    "wire",
    [
        ["ping", 1],
        ["topic", "roster", [3], []],
        ["topic", "roster", ["3", 1], []],
        ["followers", []],
        ["news", "n", {}],
        ["hurry", 1],
        ["zone", None],
    ],
)
def test_what_is_no_peer_message_has_no_type(wire: list[Any]) -> None:
    assert peer_message_from_wire(wire) is None
    assert forwarding_message_from_wire(wire) is None


@pytest.mark.parametrize(
    ("wire", "message"),
    [
        (["follow", 7], Subscribe(7)),
        (["primary", True], SelectPrimary(True)),
        (["heartbeat", 7, {"s": [1.0, 2]}], RouterHeartbeat({"s": [1.0, 2]})),
    ],
)
def test_subscribers_messages_are_typed(wire: list[Any], message: Any) -> None:  # noqa: ANN401
    parsed = subscriber_message_from_wire(wire)
    assert type(parsed) is type(message) and parsed == message


@pytest.mark.parametrize(
    "wire",
    [["follow", "7"], ["primary", 1], ["heartbeat", 7, {"s": [1.0]}], ["heartbeat", 7], ["entry", 1, []]],
)
def test_other_messages_of_a_subscriber_are_frame_errors(wire: list[Any]) -> None:
    with pytest.raises(FrameError):
        subscriber_message_from_wire(wire)


def test_a_publishers_heartbeat_keeps_its_form() -> None:
    heartbeat = PublisherHeartbeat(True, 7, [["10.0.0.1:1", "z"]], 2, {"s": [1.0, 2.0]})
    assert heartbeat.to_wire() == ["beat", True, 7, [["10.0.0.1:1", "z"]], 2, {"s": [1.0, 2.0]}]
