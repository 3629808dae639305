"""The order that changes the version of a model's weights on an endpoint, and what came of it."""

from enum import Enum, auto
from typing import Any

from plumline.wire import calls

UPDATE_METHOD = "waiting"  # runs finish on the weights that they began with; any other method breaks them


class OrderOutcome(Enum):
    """What is known of an order after its call has ended."""

    APPLIED = auto()  # 200: the endpoint has the version already
    ACCEPTED = auto()  # 202: the update is in progress
    CONFLICT = auto()  # 409: another order is in progress, and its end shows in reports
    #: Not taken (400, 421, 5xx), or another lease holder's order came after this one (412): the endpoint
    #: serves on as it is.
    REJECTED = auto()
    UNREACHABLE = auto()  # the order was not sent
    NO_ANSWER = auto()  # the order was sent and may have been taken


_BY_STATUS = {200: OrderOutcome.APPLIED, 202: OrderOutcome.ACCEPTED, 409: OrderOutcome.CONFLICT}


def outcome_of(status: int) -> OrderOutcome:
    """The outcome that the status of an answer to `POST /order` means."""
    return _BY_STATUS.get(status, OrderOutcome.REJECTED)


def order_body(
    model: str, version: int, expected_count: int | None, lease_holder: str, fencing_token: int
) -> dict[str, Any]:
    """The body of `POST /order`. `expected_count`: the `CallSequence` that the endpoint must have; None: any.

    An earlier order that had no answer may still arrive: after this one it finds another count.
    """
    body: dict[str, Any] = {}
    if expected_count is not None:
        body[calls.EXPECTED_COUNT] = expected_count
    body[calls.OPERATION] = calls.VERSION
    body[calls.MODEL] = model
    body[calls.VERSION] = version
    body[calls.METHOD] = UPDATE_METHOD
    body[calls.HOLDER] = lease_holder
    body[calls.FENCE_NUMBER] = fencing_token
    return body
