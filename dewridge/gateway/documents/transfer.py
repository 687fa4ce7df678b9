"""The form in which hosts pass a document on: what has changed, compressed."""

import zlib
from collections.abc import AsyncIterator, Sequence

import msgspec
import trio
import xxhash

from dewridge.decoding import Count, decode_msgpack
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.sentinels import Failure

SLICE_BYTES = 65_536
"""Bytes that are compressed before other tasks get a turn: less than 1 ms."""
MAX_DOCUMENT_BYTES = 12 * 1024 * 1024
"""Maximum bytes of an uncompressed transfer, as of an answer of the store."""

Run = tuple[Count, Count]
"""First index and number of parts that are the same as in the base."""
Parts = list[bytes | Run]


class DocumentTransfer(msgspec.Struct, frozen=True, array_like=True):
    """A version of the document, relative to a base that the receiver has.

    Attributes:
        version: the version.
        base: version of the base; 0 if there is none.
        revision: the store's revision of the document.
        era: era of the store to which the revision belongs.
        digest: digest of all parts.
        head: the head.
        routes: the routes, or runs of those of the base.
        accounts: the accounts in the same form; None if requests need no key.
    """

    version: Count
    base: Count
    revision: Count
    era: Count
    digest: int
    head: bytes
    routes: Parts
    accounts: Parts | None


def compute_digest(parts: DocumentParts) -> int:
    """Return a digest of all parts."""
    digest = xxhash.xxh3_64(parts.head)
    for part in (*parts.routes, *(parts.accounts or ())):
        digest.update(part)
    return digest.intdigest()


def make_transfer(
    parts: DocumentParts, base: DocumentParts | None, revision: int, era: int
) -> DocumentTransfer:
    """Return a document relative to a base; in full without one."""
    known_routes = base.routes if base else ()
    known_accounts = (base.accounts or ()) if base else ()
    return DocumentTransfer(
        version=parts.version,
        base=base.version if base else 0,
        revision=revision,
        era=era,
        digest=compute_digest(parts),
        head=parts.head,
        routes=_replace_known(parts.routes, known_routes),
        accounts=None
        if parts.accounts is None
        else _replace_known(parts.accounts, known_accounts),
    )


def _replace_known(parts: tuple[bytes, ...], known: tuple[bytes, ...]) -> Parts:
    positions = {part: position for position, part in enumerate(known)}
    result: Parts = []
    for part in parts:
        position = positions.get(part)
        if position is None:
            result.append(part)
            continue
        last = result[-1] if result else None
        if isinstance(last, tuple) and last[0] + last[1] == position:
            result[-1] = (last[0], last[1] + 1)
        else:
            result.append((position, 1))
    return result


def restore_parts(
    transfer: DocumentTransfer, base: DocumentParts | None
) -> DocumentParts | None:
    """Return the document of a transfer.

    Returns:
        None if the base or the digest differs, or if the document would be too large.
    """
    if transfer.base != (base.version if base and transfer.base else 0):
        return None
    routes = _insert_known(transfer.routes, base.routes if base else ())
    known = (base.accounts or ()) if base else ()
    accounts: tuple[bytes, ...] | None = None
    if transfer.accounts is not None:
        accounts = _insert_known(transfer.accounts, known)
        if accounts is None:
            return None
    if routes is None:
        return None
    parts = DocumentParts(transfer.version, transfer.head, routes, accounts)
    return parts if compute_digest(parts) == transfer.digest else None


def _insert_known(parts: Parts, known: tuple[bytes, ...]) -> tuple[bytes, ...] | None:
    """Return parts with those of the base; None if a run is not in it.

    Runs of a few bytes can name the same parts again and again. What they would take in
    memory is limited, each part with the byte that separates it in a document.
    """
    result: list[bytes] = []
    room = MAX_DOCUMENT_BYTES
    for part in parts:
        if isinstance(part, bytes):
            inserted: Sequence[bytes] = (part,)
        else:
            first, count = part
            if first + count > len(known):
                return None
            inserted = known[first : first + count]
        room -= sum(map(len, inserted)) + len(inserted)
        if room < 0:
            return None
        result += inserted
    return tuple(result)


async def encode_transfer(transfer: DocumentTransfer) -> bytes:
    """Encode and compress a transfer; other tasks get their turn meanwhile."""
    compressor = zlib.compressobj(level=1)
    data = msgspec.msgpack.encode(transfer)
    packed = [compressor.compress(part) async for part in _iterate_slices(data)]
    return b"".join([*packed, compressor.flush()])


async def decode_transfer(data: bytes) -> DocumentTransfer | None:
    """Decompress and decode a transfer; None if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    unpacked: list[bytes] = []
    size = 0
    try:
        async for part in _iterate_slices(data):
            unpacked.append(decompressor.decompress(part, MAX_DOCUMENT_BYTES))
            size += len(unpacked[-1])
            if size > MAX_DOCUMENT_BYTES or decompressor.unconsumed_tail:
                return None
    except zlib.error:
        return None
    transfer = decode_msgpack(b"".join(unpacked), DocumentTransfer)
    return None if isinstance(transfer, Failure) else transfer


async def _iterate_slices(data: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(data), SLICE_BYTES):
        await trio.lowlevel.checkpoint()
        yield data[start : start + SLICE_BYTES]
