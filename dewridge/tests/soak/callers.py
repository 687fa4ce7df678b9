"""Callers: they resolve host addresses, reuse connections and record responses."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio

from dewridge.tests.soak.records import History, RequestKind, SentRequest

ADDRESS_LIST_TTL = 1.0
"""Seconds that a caller caches host addresses; one in four uses three times that."""
MAX_REQUESTS_PER_CONNECTION = 6
"""Maximum requests that a caller sends on one connection."""
REQUEST_TIMEOUTS = {
    RequestKind.READ: 2.0,
    RequestKind.WRITE: 2.0,
    RequestKind.CHAT: 6.0,
    RequestKind.DRAFT: 6.0,
}
"""Seconds after which a caller abandons a request; also sent as its deadline."""
ABANDON_PROBABILITY = 0.03
"""Share of the requests that their caller abandons after 0.1 seconds."""
STREAM_TOKENS = 100
"""Quota tokens that a streaming request uses."""
PLAIN_TOKENS = 10
"""Quota tokens that a request without a stream uses."""


SLOW_READ_BYTES = 2_048
"""Maximum bytes that a caller that pauses reads at once."""


@dataclass
class Caller:
    """Sends one request after the other until it is cancelled.

    Attributes:
        name: prefix of the ids of its requests.
        history: records its requests.
        list_directory_addresses: returns the addresses that resolve host addresses.
        get_host_name: returns the name of the host with a given address.
        rng: random generator of its choices.
        keys: account keys to choose from.
        mean_pause: average seconds between requests.
    """

    name: str
    history: History
    list_directory_addresses: Callable[[], list[str]]
    get_host_name: Callable[[str], str]
    rng: random.Random
    keys: list[str]
    mean_pause: float
    _addresses: list[str] = field(default_factory=list)
    _resolved_at: float = float("-inf")
    _request_count: int = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        address_ttl = ADDRESS_LIST_TTL * (3 if self.rng.random() < 0.25 else 1)
        while True:
            if time.monotonic() - self._resolved_at > address_ttl:
                await self._refresh_addresses()
            if not self._addresses:
                await trio.sleep(0.1)
                continue
            address = self.rng.choice(self._addresses)
            with trio.move_on_after(1.0):
                host, _, port = address.rpartition(":")
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    self._addresses.remove(address)
                    continue
                with trio.CancelScope(shield=True):
                    await self._send_requests(stream, self.get_host_name(address))

    async def _refresh_addresses(self) -> None:
        directories = self.list_directory_addresses()
        self.rng.shuffle(directories)
        for address in directories[:3]:
            with trio.move_on_after(1.0):
                addresses = await resolve_addresses(address)
                if addresses:
                    self._addresses = addresses
                    self._resolved_at = time.monotonic()
                    return

    async def _send_requests(self, stream: trio.SocketStream, host: str) -> None:
        state = h11.Connection(h11.CLIENT)
        async with stream:
            for number in range(self.rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                await trio.sleep(self.rng.expovariate(1 / self.mean_pause))
                request = self._make_request(host)
                request.is_kept = number > 0
                timeout = REQUEST_TIMEOUTS[request.kind]
                if self.rng.random() < ABANDON_PROBABILITY:
                    timeout = 0.1
                if not await send_request(
                    stream, state, request, self.history, timeout
                ):
                    return
                state.start_next_cycle()

    def _make_request(self, host: str) -> SentRequest:
        self._request_count += 1
        kind = self.rng.choice(list(RequestKind))
        tokens = STREAM_TOKENS if kind.is_stream else PLAIN_TOKENS
        request_id = f"{self.name}-{self._request_count}"
        key = self.rng.choice(self.keys)
        return SentRequest(request_id, kind, host, key, tokens, 0.0, content=request_id)


async def send_request(
    stream: trio.SocketStream,
    state: h11.Connection,
    request: SentRequest,
    history: History,
    timeout: float,
) -> bool:
    """Send a request and return whether the connection can be reused."""
    data = _encode_request(state, request)
    request.sent_at = time.monotonic()
    history.requests[request.id] = request
    has_ended = False
    with trio.move_on_after(timeout):
        try:
            await stream.send_all(data)
            request.sent_by = time.monotonic()
            await receive_response(stream, state, request)
            request.is_reset = not request.is_complete and _is_reset(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            request.is_reset = True
        has_ended = True
    request.is_abandoned = not has_ended
    request.ended_at = time.monotonic()
    return (
        request.is_complete
        and state.our_state is h11.DONE
        and state.their_state is h11.DONE
    )


def _is_reset(stream: trio.SocketStream) -> bool:
    """Return whether a connection that has ended was reset after its end.

    The kernel does this for what is sent to a connection that is closed already.
    """
    error = stream.socket.getsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_ERROR)
    return error != 0


def find_timeout(request: SentRequest) -> float:
    """Return the seconds from a request to its deadline."""
    return request.timeout or REQUEST_TIMEOUTS[request.kind]


def _encode_request(state: h11.Connection, request: SentRequest) -> bytes:
    content = request.content.encode().ljust(request.upload_bytes, b".")
    head = h11.Request(
        method="POST",
        target=f"/{request.kind.value}/x",
        headers=[
            ("Host", "example.test"),
            ("X-Attempt-Id", request.id),
            ("X-Deadline-Ms", str(round(find_timeout(request) * 1000))),
            ("X-Api-Key", request.key),
            ("X-Token-Count", f"{request.tokens - 5},5"),
            ("Content-Length", str(len(content))),
            *_list_resumption_headers(request),
            *_list_prompt_headers(request),
        ],
    )
    data = state.send(head) or b""
    data += state.send(h11.Data(data=content)) or b""
    return data + (state.send(h11.EndOfMessage()) or b"")


def _list_resumption_headers(request: SentRequest) -> list[tuple[str, str]]:
    if not request.first_attempt:
        return []
    return [
        ("Resumes", request.first_attempt),
        ("Last-Event-Id", str(request.resumes_after)),
    ]


def _list_prompt_headers(request: SentRequest) -> list[tuple[str, str]]:
    if not request.parts:
        return []
    return [("X-Prefix-Hash", ",".join(f"{part}:1" for part in request.parts))]


async def receive_response(
    stream: trio.SocketStream, state: h11.Connection, request: SentRequest
) -> None:
    """Read a response and store it in the record of its request."""
    remainder = b""
    while True:
        try:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await _receive_some(stream, request))
                continue
        except h11.RemoteProtocolError:
            return
        if isinstance(event, h11.Response):
            request.status = event.status_code
            request.is_signed = any(n == b"x-server-seal" for n, _ in event.headers)
        elif isinstance(event, h11.Data):
            request.body += bytes(event.data)
            if request.kind.is_stream and request.status == 200:
                *events, remainder = (remainder + bytes(event.data)).split(b"\n\n")
                request.events += [parse_event(raw) for raw in events]
                request.versions |= {find_version(raw) for raw in events}
        elif isinstance(event, h11.EndOfMessage):
            request.is_complete = not remainder
            return
        else:
            return


async def _receive_some(stream: trio.SocketStream, request: SentRequest) -> bytes:
    if not request.read_pause:
        return bytes(await stream.receive_some(65_536))
    await trio.sleep(request.read_pause)
    return bytes(await stream.receive_some(SLOW_READ_BYTES))


def parse_event(raw: bytes) -> tuple[int, str, bool]:
    """Return an event's number, its request id and whether it is the last event."""
    lines = raw.decode().split("\n")
    number = int(lines[0].removeprefix("id: "))
    owner, _, last = lines[1].removeprefix("data: ").partition(" ")
    return number, owner.partition("#")[0], last == "last"


def find_version(raw: bytes) -> str:
    """Return the version of the server that wrote an event; empty without one."""
    data = raw.decode().split("\n")[1]
    return data.partition("#")[2].partition(" ")[0]


async def resolve_addresses(address: str) -> list[str]:
    """Ask a host for host addresses; return an empty list if that fails."""
    host, _, port = address.rpartition(":")
    try:
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            request = b"GET /-/resolve?name=example.test HTTP/1.1\r\nHost: x\r\n"
            await stream.send_all(request + b"Connection: close\r\n\r\n")
            data = b""
            while chunk := await stream.receive_some(65_536):
                data += chunk
    except (OSError, trio.BrokenResourceError):
        return []
    head, _, body = data.partition(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        return []
    addresses: list[str] = json.loads(body)["addresses"]
    return addresses
