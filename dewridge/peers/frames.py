"""Encoding of frames: a four-byte length and one Envelope in Thrift's binary protocol.

This module does no I/O. Any input bytes decode to a FrameContent or a Failure, never
to an exception.
"""

from dataclasses import dataclass
from operator import attrgetter
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from dewridge.codes import ResultCode
from dewridge.peers.model import Message
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

LENGTH_BYTES = 4
MAX_CONTAINER_ELEMENTS = 262_144
"""Maximum number of elements of a list or map. The longest list holds the tokens of
an answer, and the longest answers have a tenth as many. Without the limit, four
garbled bytes could request a list of two billion elements before one is read."""
MAX_HELLO_BYTES = 4_096
"""Maximum size of the first frame of a connection. A hello takes under 300 bytes; the
limit bounds the memory used for a client that has sent no hello, such as a port
scanner."""

Envelope = Any
"""`wire.ttypes.Envelope`; Any, as the generated code has no type annotations."""

CONTROL_FIELDS = ("call", "reply_to")
MESSAGE_FIELDS = tuple(
    name for name in ttypes.Envelope.__slots__ if name not in CONTROL_FIELDS
)
get_message_fields = attrgetter(*MESSAGE_FIELDS)
FIELD_BY_MESSAGE_TYPE: dict[type, str] = {
    spec[3][0]: spec[2]
    for spec in ttypes.Envelope.thrift_spec
    if spec is not None and spec[2] in MESSAGE_FIELDS
}


@dataclass(frozen=True, slots=True)
class FrameContent:
    """Decoded content of a frame.

    Attributes:
        call: id of the call if a reply is expected, otherwise 0.
        reply_to: id of the call that this replies to, otherwise 0.
        message: the message; None in a heartbeat and for a message type that only
            newer releases know.
    """

    call: int
    reply_to: int
    message: Message | None

    @property
    def is_heartbeat(self) -> bool:
        """Whether this is a heartbeat: no message, no call and no reply."""
        return self.message is None and not self.call and not self.reply_to


HEARTBEAT = FrameContent(0, 0, None)

_protocol = TBinaryProtocolAccelerated(TMemoryBuffer())
"""Shared by all frames, which is safe in a single-threaded process: creating one takes
as long as encoding a small frame. It holds no state between frames."""


def encode_frame(content: FrameContent, limit: int) -> bytes | Failure:
    """Encode a frame; fail if its payload is invalid or exceeds `limit` bytes."""
    envelope = ttypes.Envelope(call=content.call, reply_to=content.reply_to)
    if content.message is not None:
        field = FIELD_BY_MESSAGE_TYPE.get(type(content.message))
        if field is None:
            return _make_malformed(
                f"no envelope carries a {type(content.message).__name__}"
            )
        setattr(envelope, field, content.message)
    buffer = _protocol.trans = TMemoryBuffer()
    try:
        envelope.write(_protocol)
    except Exception as error:  # a field of a wrong type; Thrift does not say which
        return _make_malformed(f"can't encode: {type(error).__name__}")
    payload: bytes = buffer.getvalue()
    if len(payload) > limit:
        return _make_malformed(
            f"frame of {len(payload)} bytes, at most {limit} allowed"
        )
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode_payload(payload: bytes) -> FrameContent | Failure:
    """Decode the payload of a frame, the bytes after its length."""
    _protocol.trans = TMemoryBuffer(payload)
    # No string or list can be longer than the payload. The limits detect a garbled
    # length before memory is allocated for it.
    _protocol.string_length_limit = max(1, len(payload))
    _protocol.container_length_limit = max(1, min(len(payload), MAX_CONTAINER_ELEMENTS))
    envelope: Envelope = ttypes.Envelope()
    try:
        envelope.read(_protocol)
    except Exception as error:  # Thrift raises half a dozen types on garbled bytes
        return _make_malformed(f"can't decode: {type(error).__name__}")
    if not isinstance(envelope.call, int) or not isinstance(envelope.reply_to, int):
        return _make_malformed("no call numbers")
    messages = [
        message for message in get_message_fields(envelope) if message is not None
    ]
    if len(messages) > 1:
        return _make_malformed("several messages in one frame")
    return FrameContent(
        envelope.call, envelope.reply_to, messages[0] if messages else None
    )


class FrameReader:
    """Splits a byte stream into frames and decodes them."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._buffer = bytearray()
        self._offset = 0

    def feed(self, data: bytes | bytearray) -> None:
        """Add received bytes; call `next_frame` afterwards until it returns None."""
        if self._offset:
            del self._buffer[: self._offset]
            self._offset = 0
        self._buffer += data

    @property
    def buffered(self) -> int:
        """Bytes of the incomplete frame at the end."""
        return len(self._buffer) - self._offset

    def next_frame(self) -> FrameContent | Failure | None:
        """Return the content of the next complete frame; None if more bytes are needed.

        After a Failure the stream can't be read any further.
        """
        begin = self._offset + LENGTH_BYTES
        if len(self._buffer) < begin:
            return None
        length = int.from_bytes(self._buffer[self._offset : begin], "big")
        if length > self.limit:
            return _make_malformed(
                f"frame of {length} bytes, at most {self.limit} allowed"
            )
        end = begin + length
        if len(self._buffer) < end:
            return None
        self._offset = end
        return decode_payload(bytes(self._buffer[begin:end]))


def _make_malformed(reason: str) -> Failure:
    return Failure(ResultCode.FRAME_MALFORMED, reason)
