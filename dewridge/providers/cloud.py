"""HTTP client of the cloud's reclaim notices."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from dewridge.codes import ResultCode
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import CallFailure, Channel, open_channel
from dewridge.providers.listings import decode_listing
from dewridge.providers.model import Cloud, ReclaimNotice
from dewridge.sentinels import Failure

STATUS_OK = 200


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
        notices = decode_listing(
            answer.content, "notices", ReclaimNotice, self._channel
        )
        if isinstance(notices, Failure):
            self._channel.record_malformed("notices")
            return Failure(ResultCode.PLATFORM_MALFORMED, "cloud: malformed")
        return notices


@asynccontextmanager
async def make_cloud(
    url: str, *, timeout: float, metrics: Metrics
) -> AsyncIterator[Cloud]:
    """Open a client of the cloud API at a URL."""
    async with open_channel("cloud", url, timeout, metrics) as channel:
        yield HttpCloud(channel)
