"""Reading of HTTP bodies whose length the sender decides."""

from collections.abc import AsyncIterator

IDENTITY_HEADERS = {"accept-encoding": "identity"}
"""Headers of requests whose answers must not be encoded. A few bytes of an encoding can
stand for more than the process may hold, and are decoded before they can be counted."""


async def read_bounded(chunks: AsyncIterator[bytes], limit: int) -> bytes | None:
    """Read a body; None if it is longer than `limit` bytes."""
    # A list of chunks would take many times their bytes, if each has a few bytes.
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


async def split_lines(
    chunks: AsyncIterator[bytes], limit: int
) -> AsyncIterator[bytes | None]:
    """Yield the lines of a body; None, as the last item, for one above `limit` bytes.

    A last line without a line break is not yielded, as its sender may have ended.
    """
    partial = b""
    async for chunk in chunks:
        *lines, partial = (partial + chunk).split(b"\n")
        for line in lines:
            yield line.removesuffix(b"\r")
        if len(partial) > limit:
            yield None
            return
