"""HTTP client of the cloud's reclaim notices."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from dewridge.codes import ResultCode
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import CallFailure, Channel, open_channel
from dewridge.providers.model import Cloud, ReclaimNotice
from dewridge.sentinels import Failure

STATUS_OK = 200


class _Notices(msgspec.Struct):
    notices: list[ReclaimNotice]


class HttpCloud:
    """Implements `dewridge.providers.model.Cloud`."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    async def fetch_notices(self) -> list[ReclaimNotice] | Failure:
        """Read the current reclaim notices."""
        answer = await self._channel.call("notices", "GET", "/v1/notices")
        if isinstance(answer, CallFailure):
            return Failure(ResultCode.PLATFORM_DOWN, f"cloud: {answer.value}")
        if answer.status != STATUS_OK:
            return Failure(ResultCode.PLATFORM_DOWN, f"cloud: status {answer.status}")
        try:
            return msgspec.json.decode(answer.content, type=_Notices).notices
        except msgspec.DecodeError:
            self._channel.record_malformed("notices")
            return Failure(ResultCode.PLATFORM_MALFORMED, "cloud: malformed")


@asynccontextmanager
async def make_cloud(
    url: str, *, timeout: float, metrics: Metrics
) -> AsyncIterator[Cloud]:
    """Open a client of the cloud API at a URL."""
    async with open_channel("cloud", url, timeout, metrics) as channel:
        yield HttpCloud(channel)
