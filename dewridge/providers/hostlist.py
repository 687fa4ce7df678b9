"""HTTP client of the platform's host list."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Annotated

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import decode_json
from dewridge.ids import BackendServerId
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import CallFailure, Channel, open_channel
from dewridge.providers.listings import decode_listing
from dewridge.providers.model import NAME_LENGTH, HostList, ListedServer
from dewridge.sentinels import Failure

STATUS_OK = 200


class _NamedRecord(msgspec.Struct):
    """The id of a server whose record can't be read otherwise."""

    backend_server: Annotated[BackendServerId, NAME_LENGTH]


class HttpHostList:
    """Implements `dewridge.providers.model.HostList`."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self.unreadable: frozenset[BackendServerId] = frozenset()

    async def fetch(self) -> list[ListedServer] | Failure:
        """Read the full list, without records that cannot be decoded."""
        answer = await self._channel.call("list", "GET", "/v1/hosts")
        if isinstance(answer, CallFailure):
            return Failure(ResultCode.PLATFORM_DOWN, f"host list: {answer.value}")
        if answer.status != STATUS_OK:
            reason = f"host list: status {answer.status}"
            return Failure(ResultCode.PLATFORM_DOWN, reason)
        skipped: list[bytes] = []
        servers = decode_listing(
            answer.content,
            "hosts",
            ListedServer,
            self._channel,
            lambda listed: listed.has_address,
            skipped.append,
        )
        names = (decode_json(record, _NamedRecord) for record in skipped)
        self.unreadable = frozenset(
            named.backend_server for named in names if not isinstance(named, Failure)
        )
        if isinstance(servers, Failure):
            self._channel.record_malformed("list")
            reason = f"host list: {servers.reason}"
            return Failure(ResultCode.PLATFORM_MALFORMED, reason)
        return servers


@asynccontextmanager
async def make_host_list(
    url: str, *, timeout: float, metrics: Metrics
) -> AsyncIterator[HostList]:
    """Open a client of the host list at a URL."""
    async with open_channel("host_list", url, timeout, metrics) as channel:
        yield HttpHostList(channel)
