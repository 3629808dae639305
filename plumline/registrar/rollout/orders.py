"""The order that changes the version of a model's weights on an endpoint, and its outcome."""

from enum import Enum, auto
from typing import Any

from plumline.wire import calls

#: Running requests finish on the weights that they started with; any other method breaks them.
UPDATE_METHOD = "waiting"


class OrderOutcome(Enum):
    """What is known about an order after its call has ended."""

    APPLIED = auto()  # 200: the endpoint has the version already
    ACCEPTED = auto()  # 202: the update is in progress
    CONFLICT = auto()  # 409: another order is in progress; reports show when it ends
    #: Not accepted (400, 421, 5xx), or superseded by another lease holder's order (412): the endpoint serves
    #: its present version.
    REJECTED = auto()
    UNREACHABLE = auto()  # the order was not sent
    NO_ANSWER = auto()  # the order was sent and may have been accepted


_BY_STATUS = {200: OrderOutcome.APPLIED, 202: OrderOutcome.ACCEPTED, 409: OrderOutcome.CONFLICT}


def outcome_of(status: int) -> OrderOutcome:
    """The outcome for the status of a response to `POST /order`."""
    return _BY_STATUS.get(status, OrderOutcome.REJECTED)


def order_body(
    model: str, version: int, expected_count: int | None, lease_holder: str, fencing_token: int
) -> dict[str, Any]:
    """The body of `POST /order`. `expected_count`: the `CallSequence` that the endpoint must have; None: any.

    If an earlier order without a response arrives after this one, the count has changed and it is rejected.
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
