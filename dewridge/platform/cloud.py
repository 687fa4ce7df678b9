"""Calls of the cloud API that one holder at a time may make."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from dewridge.http1.calls import Answer, ServiceClient
from dewridge.ids import ClientAccount, FailureDomain, HostId, ServiceName
from dewridge.platform import names

STATUS_UNAVAILABLE = 409


@dataclass(frozen=True, slots=True)
class DutyTerm:
    """One holder's time with the duties.

    Attributes:
        host: the holder.
        fencing_token: grows with each holder, so that a late call of an earlier
            one can be told by its lower number.
    """

    host: HostId
    fencing_token: int


class CallOutcome(Enum):
    """What became of a call."""

    ACCEPTED = "accepted"
    NONE_AVAILABLE = "none available"
    """No such server is to be had in that failure domain now."""
    FAILED = "failed"
    """Refused or unanswered; it may have been carried out."""


@dataclass(frozen=True, slots=True)
class Order:
    """Servers wanted of one service, failure domain and kind."""

    service: ServiceName
    failure_domain: FailureDomain
    is_reclaimable: bool
    count: int


class Cloud:
    """Makes the calls."""

    def __init__(self, caller: ServiceClient) -> None:
        self._caller = caller

    async def report_usage(
        self, tenure: DutyTerm, window: int, counts: dict[ClientAccount, int]
    ) -> CallOutcome:
        """Report how many requests of each account began in a window."""
        body = msgspec.json.encode({"window_id": window, "counts": counts})
        return await self._call(tenure, "/usage", body)

    async def order_servers(self, tenure: DutyTerm, order: Order) -> CallOutcome:
        """Order a number of servers."""
        fields: dict[str, str | int | bool] = {
            "service": order.service,
            "zone": order.failure_domain,
            "desired_count": order.count,
        }
        if order.is_reclaimable:
            fields["spot"] = True
        return await self._call(tenure, "/scale", msgspec.json.encode(fields))

    async def _call(self, tenure: DutyTerm, path: str, body: bytes) -> CallOutcome:
        headers = [
            (names.HOLDER.encode(), tenure.host.encode()),
            (names.FENCE.encode(), str(tenure.fencing_token).encode()),
        ]
        answer = await self._caller.call("POST", path, body=body, headers=headers)
        if not isinstance(answer, Answer):
            return CallOutcome.FAILED
        if answer.status == STATUS_UNAVAILABLE:
            return CallOutcome.NONE_AVAILABLE
        return CallOutcome.ACCEPTED if answer.status == 200 else CallOutcome.FAILED
