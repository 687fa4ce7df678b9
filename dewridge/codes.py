"""Numbered result codes, shared by HTTP responses, logs and documentation."""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Outcome(Enum):
    """What a result code states about the request."""

    DONE = "done"
    """The request ran and its answer is complete."""
    RUNNING = "running"
    """The request was accepted and is still in progress."""
    NOT_RUN = "not_run"
    """No backend server has processed or will process this submission."""
    UNKNOWN = "unknown"
    """The request may or may not have run."""
    FAILED = "failed"
    """The request ran and ended without a complete answer."""
    NOT_APPLICABLE = "not_applicable"
    """The code is not about a caller's request."""


class ResultCode(IntEnum):
    """All results that can be returned to a caller, an operator or a peer."""

    OK = 0
    ACCEPTED = 1

    MALFORMED_REQUEST = 100
    MALFORMED_KEY = 101
    KEY_TOO_OLD = 102
    KEY_IN_FUTURE = 103
    BODY_TOO_LARGE = 104
    UNKNOWN_SERVICE = 105
    UNKNOWN_OPERATION = 106
    KEY_REUSED = 107
    SUBMISSION_CLOSED = 108
    MALFORMED_SETTINGS = 110
    HEAD_TOO_LARGE = 111
    HEAD_TOO_SLOW = 112

    UNAUTHENTICATED = 120
    FORBIDDEN = 121
    UNKNOWN_REQUEST = 122

    DEADLINE_UNREACHABLE = 200
    QUEUE_FULL = 201
    SHARE_EXCEEDED = 202
    COST_LIMIT_REACHED = 203
    NO_REPLICA = 204
    NO_BACKEND_SERVER = 205
    HOST_LEAVING = 206
    CLAIM_UNAVAILABLE = 207
    CONFIGURATION_STALE = 208
    DEADLINE_PASSED = 209
    CANCELLED = 210
    TOO_MANY_CONNECTIONS = 211
    REQUEST_SET_ASIDE = 212
    STREAM_ORIGIN_UNKNOWN = 213
    STREAM_VERSION_GONE = 214
    HOST_OVERLOADED = 215

    OUTCOME_UNKNOWN = 300
    HOLDER_LOST = 301

    ATTEMPTS_EXHAUSTED = 400
    BACKEND_SERVER_REJECTED = 401
    CANCELLED_RUNNING = 402
    DEADLINE_PASSED_RUNNING = 403

    REVISION_CONFLICT = 500
    UNKNOWN_PROFILE = 501
    PROFILE_IN_USE = 502
    MALFORMED_PROFILE = 503
    CHANGE_UNKNOWN = 504
    PRECONDITION_REQUIRED = 505

    KEY_VALUE_DOWN = 600
    KEY_VALUE_CONFLICT = 601
    KEY_VALUE_UNKNOWN = 602
    KEY_VALUE_TIMEOUT = 603
    KEY_VALUE_COMPACTED = 604
    KEY_VALUE_LEASE_ENDED = 605
    PLATFORM_DOWN = 610
    PLATFORM_MALFORMED = 611
    MOVE_FAILED = 612

    PEER_UNREACHABLE = 700
    PEER_TIMEOUT = 701
    PEER_REFUSED = 702
    FRAME_MALFORMED = 703
    FENCED = 704

    NOT_STARTED = 800
    CONNECTION_LOST = 801
    BACKEND_SERVER_SILENT = 802
    BACKEND_SERVER_LEAVING = 803
    ANSWER_MISMATCHED = 804
    BACKEND_SERVER_FAILED = 805

    INTERNAL = 900


@dataclass(frozen=True, slots=True)
class CodeEntry:
    """Description of a result code.

    Attributes:
        http_status: status of an HTTP response with this code.
        outcome: what the code states about the request.
        title: one human-readable line.
        advice: what the receiver should do.
    """

    http_status: int
    outcome: Outcome
    title: str
    advice: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_NOT_APPLICABLE = Outcome.NOT_APPLICABLE
_FAILED = Outcome.FAILED

CODE_TABLE: dict[ResultCode, CodeEntry] = {
    ResultCode.OK: CodeEntry(200, Outcome.DONE, "Answered in full", "Nothing."),
    ResultCode.ACCEPTED: CodeEntry(
        202, Outcome.RUNNING, "Accepted and running", "Follow the answer by its key."
    ),
    ResultCode.MALFORMED_REQUEST: CodeEntry(
        400, _NOT_RUN, "The request is malformed", "Correct it as the detail says."
    ),
    ResultCode.MALFORMED_KEY: CodeEntry(
        400, _NOT_RUN, "The key is not a UUIDv7", "Send a UUIDv7 made for this request."
    ),
    ResultCode.KEY_TOO_OLD: CodeEntry(
        400, _NOT_RUN, "The key is older than the retention window", "Use a new key."
    ),
    ResultCode.KEY_IN_FUTURE: CodeEntry(
        400, _NOT_RUN, "The key's time is too far ahead", "Correct the caller's clock."
    ),
    ResultCode.BODY_TOO_LARGE: CodeEntry(
        413, _NOT_RUN, "The body is too large", "Send a smaller body."
    ),
    ResultCode.HEAD_TOO_LARGE: CodeEntry(
        431, _NOT_RUN, "The request's head is too large", "Send fewer headers."
    ),
    ResultCode.HEAD_TOO_SLOW: CodeEntry(
        408, _NOT_RUN, "The request did not arrive in time", "Send it again."
    ),
    ResultCode.UNKNOWN_SERVICE: CodeEntry(
        404, _NOT_RUN, "No such service", "Correct the service's name."
    ),
    ResultCode.UNKNOWN_OPERATION: CodeEntry(
        404, _NOT_RUN, "The service has no such operation", "Correct the operation."
    ),
    ResultCode.KEY_REUSED: CodeEntry(
        422, _NOT_RUN, "The key names another request", "Use a new key for new input."
    ),
    ResultCode.SUBMISSION_CLOSED: CodeEntry(
        409,
        _NOT_RUN,
        "This submission was refused before",
        "Send again with the next submission number.",
    ),
    ResultCode.MALFORMED_SETTINGS: CodeEntry(
        400, _NOT_APPLICABLE, "The settings are malformed", "Correct each line shown."
    ),
    ResultCode.UNAUTHENTICATED: CodeEntry(
        401, _NOT_RUN, "No valid token", "Send the account's or operator's token."
    ),
    ResultCode.FORBIDDEN: CodeEntry(
        403, _NOT_RUN, "The token does not allow this", "Ask an operator."
    ),
    ResultCode.UNKNOWN_REQUEST: CodeEntry(
        404, _UNKNOWN, "The key is not known here", "Submit it, or try another host."
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeEntry(
        503,
        _NOT_RUN,
        "The deadline can't be met",
        "Come back after the time given, or allow more time.",
    ),
    ResultCode.QUEUE_FULL: CodeEntry(
        503, _NOT_RUN, "The queue is full", "Come back after the time given."
    ),
    ResultCode.SHARE_EXCEEDED: CodeEntry(
        429, _NOT_RUN, "The account's share is used up", "Come back after the time."
    ),
    ResultCode.COST_LIMIT_REACHED: CodeEntry(
        503,
        _NOT_RUN,
        "The profile's cost limit is reached",
        "Come back later, or raise the limit.",
    ),
    ResultCode.NO_REPLICA: CodeEntry(
        503,
        _NOT_RUN,
        "No peer could keep a copy of the request",
        "Come back after the time given, or use another host.",
    ),
    ResultCode.NO_BACKEND_SERVER: CodeEntry(
        503, _NOT_RUN, "No backend server for the service", "Come back after the time."
    ),
    ResultCode.HOST_LEAVING: CodeEntry(
        503, _NOT_RUN, "This entry host is leaving", "Use another entry host."
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeEntry(
        503,
        _NOT_RUN,
        "The key-value service could not record the claim",
        "Come back after the time given.",
    ),
    ResultCode.CONFIGURATION_STALE: CodeEntry(
        503,
        _NOT_RUN,
        "This host can't confirm its configuration",
        "Use another entry host.",
    ),
    ResultCode.DEADLINE_PASSED: CodeEntry(
        504, _NOT_RUN, "The deadline passed before a dispatch", "Send it again."
    ),
    ResultCode.CANCELLED: CodeEntry(
        409, _NOT_RUN, "Cancelled before a dispatch", "Nothing."
    ),
    ResultCode.TOO_MANY_CONNECTIONS: CodeEntry(
        429, _NOT_RUN, "Too many connections", "Reuse connections, or come back later."
    ),
    ResultCode.REQUEST_SET_ASIDE: CodeEntry(
        503,
        _NOT_RUN,
        "The request ended the backend servers that ran it",
        "Come back after the time given, or ask the operators to let it through.",
    ),
    ResultCode.STREAM_ORIGIN_UNKNOWN: CodeEntry(
        503,
        _NOT_RUN,
        "No host knows which software version began the stream",
        "Come back after the time given, if any; otherwise start the stream again.",
    ),
    ResultCode.STREAM_VERSION_GONE: CodeEntry(
        503,
        _NOT_RUN,
        "No backend server has the software version that began the stream",
        "Come back after the time given, if any; otherwise start the stream again.",
    ),
    ResultCode.HOST_OVERLOADED: CodeEntry(
        503,
        _NOT_RUN,
        "This entry host has no memory left for the request",
        "Come back after the time given, or use another entry host.",
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeEntry(
        502,
        _UNKNOWN,
        "The outcome is unknown",
        "Ask again by the key after the time given; do not send a new key.",
    ),
    ResultCode.HOLDER_LOST: CodeEntry(
        502,
        _UNKNOWN,
        "The host that held the call is lost",
        "Ask again by the key after the time given; check at the service.",
    ),
    ResultCode.ATTEMPTS_EXHAUSTED: CodeEntry(
        502, _FAILED, "Every attempt failed", "Send it again with a new key."
    ),
    ResultCode.BACKEND_SERVER_REJECTED: CodeEntry(
        422, _FAILED, "The backend server rejected the input", "Correct the input."
    ),
    ResultCode.CANCELLED_RUNNING: CodeEntry(
        409, _FAILED, "Cancelled while it ran", "Nothing."
    ),
    ResultCode.DEADLINE_PASSED_RUNNING: CodeEntry(
        504, _FAILED, "The deadline passed while it ran", "Allow more time."
    ),
    ResultCode.REVISION_CONFLICT: CodeEntry(
        412,
        _NOT_APPLICABLE,
        "Someone changed it first",
        "Read the new revision and redo.",
    ),
    ResultCode.UNKNOWN_PROFILE: CodeEntry(
        404, _NOT_APPLICABLE, "No such profile", "Correct the profile's name."
    ),
    ResultCode.PROFILE_IN_USE: CodeEntry(
        409, _NOT_APPLICABLE, "Services run under the profile", "Move them first."
    ),
    ResultCode.MALFORMED_PROFILE: CodeEntry(
        422,
        _NOT_APPLICABLE,
        "The profile or service is malformed",
        "Correct as detailed.",
    ),
    ResultCode.CHANGE_UNKNOWN: CodeEntry(
        502, _NOT_APPLICABLE, "The change may have taken effect", "Read it back first."
    ),
    ResultCode.PRECONDITION_REQUIRED: CodeEntry(
        428,
        _NOT_APPLICABLE,
        "The change names no revision",
        "Read it and send its revision.",
    ),
    ResultCode.KEY_VALUE_DOWN: CodeEntry(
        503, _NOT_APPLICABLE, "The key-value service is down", "Wait for it."
    ),
    ResultCode.KEY_VALUE_CONFLICT: CodeEntry(
        409, _NOT_APPLICABLE, "The compare-and-swap lost", "Read again."
    ),
    ResultCode.KEY_VALUE_UNKNOWN: CodeEntry(
        502, _NOT_APPLICABLE, "The write's answer was lost", "Read it back."
    ),
    ResultCode.KEY_VALUE_TIMEOUT: CodeEntry(
        504, _NOT_APPLICABLE, "Nothing changed while watching", "Watch again."
    ),
    ResultCode.KEY_VALUE_COMPACTED: CodeEntry(
        410,
        _NOT_APPLICABLE,
        "The history to watch from is gone",
        "Read again, then watch.",
    ),
    ResultCode.KEY_VALUE_LEASE_ENDED: CodeEntry(
        404, _NOT_APPLICABLE, "The lease has ended", "Ask for a new one."
    ),
    ResultCode.PLATFORM_DOWN: CodeEntry(
        503, _NOT_APPLICABLE, "A platform service is down", "Wait for it."
    ),
    ResultCode.PLATFORM_MALFORMED: CodeEntry(
        502,
        _NOT_APPLICABLE,
        "A platform service's answer is malformed",
        "Look at its log.",
    ),
    ResultCode.MOVE_FAILED: CodeEntry(
        502,
        _NOT_APPLICABLE,
        "A running stream could not be moved to another backend server",
        "Nothing: it goes on where it is until its server goes.",
    ),
    ResultCode.PEER_UNREACHABLE: CodeEntry(
        503, _NOT_APPLICABLE, "The peer can't be reached", "It is tried again."
    ),
    ResultCode.PEER_TIMEOUT: CodeEntry(
        504, _NOT_APPLICABLE, "The peer did not answer in time", "It is tried again."
    ),
    ResultCode.PEER_REFUSED: CodeEntry(
        409, _NOT_APPLICABLE, "The peer refused the message", "See the peer's counters."
    ),
    ResultCode.FRAME_MALFORMED: CodeEntry(
        400, _NOT_APPLICABLE, "A frame was malformed", "The connection is closed."
    ),
    ResultCode.FENCED: CodeEntry(
        409, _NOT_APPLICABLE, "This incarnation is fenced", "It restarts as a new one."
    ),
    ResultCode.NOT_STARTED: CodeEntry(
        503, _NOT_RUN, "The attempt provably did not start", "It is tried elsewhere."
    ),
    ResultCode.CONNECTION_LOST: CodeEntry(
        502, _UNKNOWN, "The connection broke during the attempt", "Depends on the call."
    ),
    ResultCode.BACKEND_SERVER_SILENT: CodeEntry(
        504, _UNKNOWN, "The backend server went silent", "Depends on the call."
    ),
    ResultCode.BACKEND_SERVER_LEAVING: CodeEntry(
        503, _NOT_RUN, "The backend server is leaving", "It is tried elsewhere."
    ),
    ResultCode.ANSWER_MISMATCHED: CodeEntry(
        502, _UNKNOWN, "The answer belongs to another attempt", "It is dropped."
    ),
    ResultCode.BACKEND_SERVER_FAILED: CodeEntry(
        502, _UNKNOWN, "The backend server failed during the attempt", "Retry if safe."
    ),
    ResultCode.INTERNAL: CodeEntry(
        500, _UNKNOWN, "An internal error", "Ask again by the key; report it."
    ),
}
