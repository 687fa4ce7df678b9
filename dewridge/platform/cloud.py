"""Calls of the cloud API, which only the current duty holder may make."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from dewridge.http1.calls import CallFailure, Response, ServiceClient
from dewridge.ids import ClientAccount, FailureDomain, HostId, ServiceName
from dewridge.platform import names

STATUS_OK = 200
STATUS_UNAVAILABLE = 409


@dataclass(frozen=True, slots=True)
class DutyTerm:
    """The term of one duty holder.

    Attributes:
        host: the holder.
        fencing_token: increases with each term, so that a late call of an earlier
            holder is recognised by its lower token.
    """

    host: HostId
    fencing_token: int


class CallOutcome(Enum):
    """The outcome of a call."""

    ACCEPTED = "accepted"
    NONE_AVAILABLE = "none available"
    """No such server is available in that failure domain at present."""
    REFUSED = "refused"
    """Rejected or not sent: it has not been carried out and never will be."""
    UNKNOWN = "unknown"
    """Unanswered or failed: it may have been carried out, or may be later."""


@dataclass(frozen=True, slots=True)
class Order:
    """The number of servers wanted of one service, failure domain and kind."""

    service: ServiceName
    failure_domain: FailureDomain
    is_reclaimable: bool
    count: int


class Cloud:
    """Client of the cloud API."""

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    async def report_usage(
        self, term: DutyTerm, window: int, counts: dict[ClientAccount, int]
    ) -> CallOutcome:
        """Report how many requests of each account began in a usage window."""
        body = msgspec.json.encode({"window_id": window, "counts": counts})
        return await self._call(term, "/usage", body)

    async def order_servers(self, term: DutyTerm, order: Order) -> CallOutcome:
        """Set the number of servers wanted."""
        fields: dict[str, str | int | bool] = {
            "service": order.service,
            "zone": order.failure_domain,
            "desired_count": order.count,
        }
        if order.is_reclaimable:
            fields["spot"] = True
        return await self._call(term, "/scale", msgspec.json.encode(fields))

    async def _call(self, term: DutyTerm, path: str, body: bytes) -> CallOutcome:
        headers = [
            (names.DUTY_HOLDER.encode(), term.host.encode()),
            (names.FENCING_TOKEN.encode(), str(term.fencing_token).encode()),
        ]
        response = await self._client.call("POST", path, body=body, headers=headers)
        if response is CallFailure.NOT_SENT:
            return CallOutcome.REFUSED
        if not isinstance(response, Response):
            return CallOutcome.UNKNOWN
        if response.status == STATUS_UNAVAILABLE:
            return CallOutcome.NONE_AVAILABLE
        if response.status == STATUS_OK:
            return CallOutcome.ACCEPTED
        # The cloud API does not promise that a call with a 503 has no effect.
        is_refused = 400 <= response.status < 500
        return CallOutcome.REFUSED if is_refused else CallOutcome.UNKNOWN
