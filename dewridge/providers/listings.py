"""Decoding of listings, in which an odd record costs only itself."""

import json
from collections.abc import Callable
from typing import TypeVar

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import DECODE_ERRORS, convert, decode_json, make_failure
from dewridge.providers.channel import Channel
from dewridge.sentinels import Failure

Record = TypeVar("Record")
RawRecord = tuple[bytes, Failure | None]
"""The JSON of a record, and why it can't be decoded as it is. Text in it that is not
valid Unicode is replaced in the latter case."""


def accept_all(record: object) -> bool:
    """Accept any record of the right type."""
    return True


def ignore(record: bytes) -> None:
    """Do nothing about a record that is left out."""


def decode_listing(
    content: bytes,
    member: str,
    kind: type[Record],
    channel: Channel,
    is_sound: Callable[[Record], bool] = accept_all,
    on_skipped: Callable[[bytes], None] = ignore,
) -> list[Record] | Failure:
    """Decode a listing, without the records that cannot be decoded.

    A newer release of the platform may list a record of an unknown kind, and another
    writer may leave one by mistake. Rejecting the full listing would hide all others.

    Args:
        content: the answer, an object.
        member: the member of the object that lists the records.
        kind: the type of a record.
        channel: counts the records left out, and logs the first.
        is_sound: whether a record of that type can be used.
        on_skipped: called with each record left out.

    Returns:
        The records, or a failure if there is no listing, or no record that is sound.
    """
    records = split_listing(content, member)
    if isinstance(records, Failure):
        return records
    decoded: list[Record] = []
    failures: list[Failure] = []
    for raw, failure in records:
        value = decode_json(raw, kind) if failure is None else failure
        if not isinstance(value, Failure) and not is_sound(value):
            reason = "a member has no usable value"
            value = Failure(ResultCode.PLATFORM_MALFORMED, reason)
        if isinstance(value, Failure):
            failures.append(value)
            on_skipped(raw)
        else:
            decoded.append(value)
    channel.record_skipped(failures)
    if records and not decoded:
        return Failure(ResultCode.PLATFORM_MALFORMED, "no record could be read")
    return decoded


def split_listing(content: bytes, member: str) -> list[RawRecord] | Failure:
    """Return the records of a listing."""
    listing = decode_json(content, dict[str, msgspec.Raw])
    if not isinstance(listing, Failure) and member in listing:
        records = decode_json(listing[member], list[msgspec.Raw])
        if isinstance(records, Failure):
            return records
        return [(bytes(record), None) for record in records]
    # The decoder takes no document in which a single text is not valid Unicode, such
    # as one half of a surrogate pair. The standard library's reads it.
    try:
        document = json.loads(content)
    except DECODE_ERRORS as error:
        return make_failure(error, ResultCode.PLATFORM_MALFORMED)
    members = convert(document, dict[object, object])
    found = members.get(member) if isinstance(members, dict) else None
    if not isinstance(found, list):
        return Failure(ResultCode.PLATFORM_MALFORMED, f"no list of {member}")
    return [encode_record(record) for record in found]


def encode_record(record: object) -> RawRecord:
    """Encode a record that the standard library decoded."""
    try:
        return msgspec.json.encode(record), None
    except DECODE_ERRORS as error:
        text = json.dumps(record, ensure_ascii=False)
        failure = make_failure(error, ResultCode.PLATFORM_MALFORMED)
        return text.encode(errors="replace"), failure
