"""Decodes what other processes wrote: stored entries, messages, answers and reports.

All of it goes through here. Whatever the bytes are, the result is a value of the type
that was asked for, or a `Failure` that says why there is none.
"""

import ipaddress
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

from dewridge.codes import ResultCode
from dewridge.sentinels import Failure

Value = TypeVar("Value")

MAX_REASON = 200
"""Characters of a reason, which may quote the input."""
MAX_PORT = 65_535
MAX_NAME = 1_000
"""Characters of a name; tables and log lines keep them."""
MAX_COUNT = 2**53
"""Largest whole number up to which floating-point numbers represent all exactly."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]

DECODE_ERRORS = (
    msgspec.MsgspecError,
    UnicodeError,
    RecursionError,
    OverflowError,
    ValueError,
)
"""What decoders raise: malformed input, invalid text, too many levels of nesting, and
numbers that do not fit."""


def decode_json(
    data: bytes | bytearray,
    kind: type[Value],
    code: ResultCode = ResultCode.PLATFORM_MALFORMED,
) -> Value | Failure:
    """Decode JSON.

    Args:
        data: any bytes.
        kind: the type of the value.
        code: the code of the failure.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        return make_failure(error, code)


def decode_msgpack(
    data: bytes | bytearray,
    kind: type[Value],
    code: ResultCode = ResultCode.PLATFORM_MALFORMED,
) -> Value | Failure:
    """Decode MessagePack.

    Args:
        data: any bytes.
        kind: the type of the value.
        code: the code of the failure.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        return make_failure(error, code)


def make_msgpack_decoder(
    kind: Any, code: ResultCode = ResultCode.PLATFORM_MALFORMED
) -> Callable[[bytes], Any]:
    """Return a function that decodes MessagePack as `decode_msgpack` does.

    It looks at the type only once, which takes longer than decoding a short message.

    Args:
        kind: the type of the values, which may be a union.
        code: the code of failures.
    """
    decoder = msgspec.msgpack.Decoder(kind)

    def decode(data: bytes) -> Any:
        try:
            return decoder.decode(data)
        except DECODE_ERRORS as error:
            return make_failure(error, code)

    return decode


def convert(
    value: Any,
    kind: type[Value],
    code: ResultCode = ResultCode.PLATFORM_MALFORMED,
) -> Value | Failure:
    """Convert a decoded value of basic types.

    Args:
        value: the value.
        kind: the type to convert to.
        code: the code of the failure.
    """
    try:
        return msgspec.convert(value, kind)
    except DECODE_ERRORS as error:
        return make_failure(error, code)


def make_failure(error: Exception, code: ResultCode) -> Failure:
    """Return the failure to decode something."""
    return Failure(code, str(error)[:MAX_REASON])


def is_finite(*numbers: float) -> bool:
    """Return whether all numbers are finite and small enough to calculate with."""
    return all(-MAX_COUNT <= number <= MAX_COUNT for number in numbers)


def is_header_text(text: str) -> bool:
    """Return whether a header can carry a text as it is."""
    return 0 < len(text) <= MAX_NAME and text.isascii() and text.isprintable()


def is_address(text: str) -> bool:
    """Whether a text is `a.b.c.d:port` with the address of a single host."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > len(str(MAX_PORT)):
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)
