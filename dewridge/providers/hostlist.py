"""HTTP client of the platform's host list."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from dewridge.codes import ResultCode
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import CallFailure, Channel, open_channel
from dewridge.providers.model import HostList, ListedServer
from dewridge.sentinels import Failure

STATUS_OK = 200


class _Listing(msgspec.Struct):
    hosts: list[msgspec.Raw]


class HttpHostList:
    """Implements `dewridge.providers.model.HostList`."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    async def fetch(self) -> list[ListedServer] | Failure:
        """Read the full list, without records that cannot be decoded."""
        answer = await self._channel.call("list", "GET", "/v1/hosts")
        if isinstance(answer, CallFailure):
            return Failure(ResultCode.PLATFORM_DOWN, f"host list: {answer.value}")
        if answer.status != STATUS_OK:
            reason = f"host list: status {answer.status}"
            return Failure(ResultCode.PLATFORM_DOWN, reason)
        try:
            records = msgspec.json.decode(answer.content, type=_Listing).hosts
        except msgspec.DecodeError:
            self._channel.record_malformed("list")
            return Failure(ResultCode.PLATFORM_MALFORMED, "host list: malformed")
        return self._decode(records)

    def _decode(self, records: list[msgspec.Raw]) -> list[ListedServer] | Failure:
        # A newer release of the platform may list a server of an unknown kind. Only
        # that record is skipped: rejecting the full list would hide every server of
        # the deployment.
        servers = []
        for record in records:
            try:
                servers.append(msgspec.json.decode(record, type=ListedServer))
            except msgspec.DecodeError:
                self._channel.record_malformed("record")
        if records and not servers:
            reason = "host list: no record could be read"
            return Failure(ResultCode.PLATFORM_MALFORMED, reason)
        return servers


@asynccontextmanager
async def make_host_list(
    url: str, *, timeout: float, metrics: Metrics
) -> AsyncIterator[HostList]:
    """Open a client of the host list at a URL."""
    async with open_channel("host_list", url, timeout, metrics) as channel:
        yield HttpHostList(channel)
