"""Frames between peers: a four-byte length and one Envelope in thrift's binary form.

No input or output here. Whatever bytes come in, the result is an Envelope or a
Failure, never an exception.
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
CONTAINER_LIMIT = 262_144
"""Most elements of one list or map. An answer's tokens are the longest list, and
the longest answers made are a tenth of this. Without it four garbled bytes could
ask for a list of two thousand million places before an element was read."""
HELLO_LIMIT = 4_096
"""Largest first frame of a connection. A hello takes under 300 bytes; whoever has
not greeted yet, be it a port scanner, can't make this host hold more."""

Envelope = Any
"""`wire.ttypes.Envelope`; generated, hence without types."""

CONTROL_FIELDS = ("call", "reply_to")
MESSAGE_FIELDS = tuple(
    name for name in ttypes.Envelope.__slots__ if name not in CONTROL_FIELDS
)
read_messages = attrgetter(*MESSAGE_FIELDS)
FIELD_OF_KIND: dict[type, str] = {
    spec[3][0]: spec[2]
    for spec in ttypes.Envelope.thrift_spec
    if spec is not None and spec[2] in MESSAGE_FIELDS
}


@dataclass(frozen=True, slots=True)
class FrameContent:
    """What one frame carries.

    Attributes:
        call: number under which a reply is wanted; 0 if none is.
        reply_to: number of the call that this replies to; 0 if none.
        message: the structure; None in a heartbeat and where a newer release
            sent a kind that this one does not know.
    """

    call: int
    reply_to: int
    message: Message | None

    @property
    def is_heartbeat(self) -> bool:
        """Whether it only shows that the sender is alive."""
        return self.message is None and not self.call and not self.reply_to


HEARTBEAT = FrameContent(0, 0, None)

_protocol = TBinaryProtocolAccelerated(TMemoryBuffer())
"""Used for every frame in turn, as this process has one thread: making one takes as
long as encoding a small frame. It keeps nothing between frames."""


def encode_frame(parcel: FrameContent, limit: int) -> bytes | Failure:
    """Return the frame that carries a parcel."""
    envelope = ttypes.Envelope(call=parcel.call, reply_to=parcel.reply_to)
    if parcel.message is not None:
        field = FIELD_OF_KIND.get(type(parcel.message))
        if field is None:
            return _fail(f"no envelope carries a {type(parcel.message).__name__}")
        setattr(envelope, field, parcel.message)
    buffer = _protocol.trans = TMemoryBuffer()
    try:
        envelope.write(_protocol)
    except Exception as error:  # a field of a wrong type; which one thrift won't say
        return _fail(f"can't encode: {type(error).__name__}")
    payload: bytes = buffer.getvalue()
    if len(payload) > limit:
        return _fail(f"frame of {len(payload)} bytes, at most {limit} allowed")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode_payload(payload: bytes) -> FrameContent | Failure:
    """Read what follows a frame's length."""
    _protocol.trans = TMemoryBuffer(payload)
    # No string or list can be longer than the bytes that are here, so that a
    # garbled length is found before memory is taken for it.
    _protocol.string_length_limit = max(1, len(payload))
    _protocol.container_length_limit = max(1, min(len(payload), CONTAINER_LIMIT))
    envelope: Envelope = ttypes.Envelope()
    try:
        envelope.read(_protocol)
    except Exception as error:  # thrift raises half a dozen kinds on garbled bytes
        return _fail(f"can't decode: {type(error).__name__}")
    if not isinstance(envelope.call, int) or not isinstance(envelope.reply_to, int):
        return _fail("no call numbers")
    found = [message for message in read_messages(envelope) if message is not None]
    if len(found) > 1:
        return _fail("several messages in one frame")
    return FrameContent(envelope.call, envelope.reply_to, found[0] if found else None)


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._bytes = bytearray()
        self._start = 0

    def feed(self, data: bytes | bytearray) -> None:
        """Add bytes that came in; call `take` until None after each."""
        if self._start:
            del self._bytes[: self._start]
            self._start = 0
        self._bytes += data

    def take(self) -> FrameContent | Failure | None:
        """Return the next whole frame's content; None if more bytes are needed.

        After a Failure the stream can't be followed any further.
        """
        begin = self._start + LENGTH_BYTES
        if len(self._bytes) < begin:
            return None
        length = int.from_bytes(self._bytes[self._start : begin], "big")
        if length > self.limit:
            return _fail(f"frame of {length} bytes, at most {self.limit} allowed")
        end = begin + length
        if len(self._bytes) < end:
            return None
        self._start = end
        return decode_payload(bytes(self._bytes[begin:end]))


def _fail(reason: str) -> Failure:
    return Failure(ResultCode.FRAME_MALFORMED, reason)
