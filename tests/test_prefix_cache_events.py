"""The decoding of prompt and store events."""

import pytest

from plumline.prefix_cache.events import Done, Placed, Read, Stored, decode_event


def test_each_kind_of_event_is_decoded() -> None:
    event = ["placed", 3, "e1", "v1w0", [["system", 800], ["own", 30]], 30.0, "10.9.9.9:1"]
    assert decode_event(event) == Placed(3, "e1", "v1w0", [("system", 800), ("own", 30)], 30.0, "10.9.9.9:1")
    assert decode_event(["read", 3]) == Read(3)
    assert decode_event(["done", 3]) == Done(3)
    assert decode_event(["stored", 7, [["+", "v1w0", "system", 800]]]) == Stored(
        7, [["+", "v1w0", "system", 800]]
    )


@pytest.mark.parametrize(
    "event",
    [
        None,
        [],
        ["moved", 1],
        ["read"],
        ["read", "3"],
        ["placed", 3, "e1", "v1w0", [["system"]], 30.0, ""],
        ["placed", 3, "e1", "v1w0", [], 30, ""],
        ["stored", 7, {}],
    ],
)
def test_malformed_and_unknown_events_are_rejected(event: object) -> None:
    with pytest.raises(ValueError):
        decode_event(event)
