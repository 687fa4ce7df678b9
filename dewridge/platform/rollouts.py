"""The operator's rollout orders and the status reported for them."""

import math
from enum import Enum

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import Name, decode_json
from dewridge.gateway.model import RolloutOrder, ServerVersion
from dewridge.ids import ServiceName
from dewridge.platform.names import ROLLOUT_STATUS_PREFIX, ROLLOUTS_PREFIX
from dewridge.platform.store import Item, Write
from dewridge.sentinels import Failure

MAX_ROLLOUT_SECONDS = 86_400.0
"""One day."""


class RolloutStatus(Enum):
    """State of a rollout, as reported to the operator."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    """The servers of the old version are stopped at once."""
    REVERTED = "reverted"
    """The servers of the target version are drained."""


class _Order(msgspec.Struct, frozen=True):
    service: Name
    target: Name
    duration_s: float


class _Status(msgspec.Struct, frozen=True):
    service: str
    target: str
    state: RolloutStatus


def decode_rollout(item: Item) -> RolloutOrder | Failure:
    """Decode and validate a rollout order; a `Failure` if it is invalid."""
    order = decode_json(item.value, _Order)
    if isinstance(order, Failure):
        return _make_failure(item, order.reason)
    if item.key != ROLLOUTS_PREFIX + order.service:
        return _make_failure(item, f"service {order.service!r} does not match the key")
    if not order.target:
        return _make_failure(item, "target version is empty")
    duration = order.duration_s
    if not (math.isfinite(duration) and 0 < duration <= MAX_ROLLOUT_SECONDS):
        return _make_failure(item, f"duration_s {duration} is out of range")
    return RolloutOrder(
        ServiceName(order.service),
        ServerVersion(order.target),
        duration,
        item.revision,
    )


def _make_failure(item: Item, reason: str) -> Failure:
    return Failure(ResultCode.PLATFORM_MALFORMED, f"{item.key!r}: {reason}")


def make_status_write(
    service: ServiceName, target: ServerVersion, status: RolloutStatus
) -> Write:
    """Return the write that reports the status of a rollout to the operator."""
    value = msgspec.json.encode(_Status(service, target, status))
    return Write(ROLLOUT_STATUS_PREFIX + service, value)
