"""Reading of HTTP bodies whose length the sender decides."""

from collections.abc import AsyncIterator


async def read_bounded(chunks: AsyncIterator[bytes], limit: int) -> bytes | None:
    """Read a body; None if it is longer than `limit` bytes."""
    parts: list[bytes] = []
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        if size > limit:
            return None
        parts.append(chunk)
    return b"".join(parts)


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
