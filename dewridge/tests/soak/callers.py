"""Callers of the soak: they ask for addresses, keep connections, and record answers."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio

from dewridge.tests.soak.records import History, Kind, Sent

LIST_KEPT = 1.0
"""Seconds that a list of addresses is kept; one caller in four keeps it thrice."""
REQUESTS_KEPT = 6
"""Requests on one connection before a caller opens another one."""
PATIENCE = {Kind.READ: 2.0, Kind.WRITE: 2.0, Kind.CHAT: 6.0, Kind.DRAFT: 6.0}
LEAVES_SHARE = 0.03
"""Part of the requests whose callers leave early."""
TOKENS = 100
PLAIN_TOKENS = 10


@dataclass
class Caller:
    """One caller; sends one request after the other until told to stop.

    Attributes:
        name: begins its requests' ids.
        history: where it records.
        find_directories: returns addresses that may know the hosts.
        find_host: names the host of an address.
        rng: its choices.
        keys: account keys, by account.
        pause: seconds between requests, on average.
    """

    name: str
    history: History
    find_directories: Callable[[], list[str]]
    find_host: Callable[[str], str]
    rng: random.Random
    keys: list[str]
    pause: float
    _addresses: list[str] = field(default_factory=list)
    _listed_at: float = float("-inf")
    _count: int = 0

    async def run(self) -> None:
        """Send for ever."""
        kept = LIST_KEPT * (3 if self.rng.random() < 0.25 else 1)
        while True:
            if time.monotonic() - self._listed_at > kept:
                await self._ask_for_addresses()
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
                    await self._use(stream, self.find_host(address))

    async def _ask_for_addresses(self) -> None:
        directories = self.find_directories()
        self.rng.shuffle(directories)
        for address in directories[:3]:
            with trio.move_on_after(1.0):
                addresses = await resolve(address)
                if addresses:
                    self._addresses = addresses
                    self._listed_at = time.monotonic()
                    return

    async def _use(self, stream: trio.SocketStream, host: str) -> None:
        state = h11.Connection(h11.CLIENT)
        async with stream:
            for _ in range(self.rng.randint(1, REQUESTS_KEPT)):
                await trio.sleep(self.rng.expovariate(1 / self.pause))
                sent = self._make_request(host)
                patience = PATIENCE[sent.kind]
                if self.rng.random() < LEAVES_SHARE:
                    patience = 0.1
                if not await exchange(stream, state, sent, self.history, patience):
                    return
                state.start_next_cycle()

    def _make_request(self, host: str) -> Sent:
        self._count += 1
        kind = self.rng.choice(list(Kind))
        tokens = TOKENS if kind.is_stream else PLAIN_TOKENS
        name = f"{self.name}-{self._count}"
        key = self.rng.choice(self.keys)
        return Sent(name, kind, host, key, tokens, 0.0, content=name)


async def exchange(
    stream: trio.SocketStream,
    state: h11.Connection,
    sent: Sent,
    history: History,
    patience: float,
) -> bool:
    """Send one request; returns whether the connection may be used again."""
    data = _encode(state, sent)
    sent.sent_at = time.monotonic()
    history.sent[sent.id] = sent
    is_ended = False
    with trio.move_on_after(patience):
        try:
            await stream.send_all(data)
            await receive_answer(stream, state, sent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        is_ended = True
    sent.has_left = not is_ended
    sent.ended_at = time.monotonic()
    return (
        sent.is_whole and state.our_state is h11.DONE and state.their_state is h11.DONE
    )


def _encode(state: h11.Connection, sent: Sent) -> bytes:
    head = h11.Request(
        method="POST",
        target=f"/{sent.kind.value}/x",
        headers=[
            ("Host", "example.test"),
            ("X-Attempt-Id", sent.id),
            ("X-Deadline-Ms", str(round(PATIENCE[sent.kind] * 1000))),
            ("X-Api-Key", sent.key),
            ("X-Token-Count", f"{sent.tokens - 5},5"),
            ("Content-Length", str(len(sent.content))),
        ],
    )
    data = state.send(head) or b""
    data += state.send(h11.Data(data=sent.content.encode())) or b""
    return data + (state.send(h11.EndOfMessage()) or b"")


async def receive_answer(
    stream: trio.SocketStream, state: h11.Connection, sent: Sent
) -> None:
    """Read one answer into the record."""
    rest = b""
    while True:
        try:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(bytes(await stream.receive_some(65_536)))
                continue
        except h11.RemoteProtocolError:
            return
        if isinstance(event, h11.Response):
            sent.status = event.status_code
            sent.is_signed = any(n == b"x-server-seal" for n, _ in event.headers)
        elif isinstance(event, h11.Data):
            sent.body += bytes(event.data)
            if sent.kind.is_stream and sent.status == 200:
                *events, rest = (rest + bytes(event.data)).split(b"\n\n")
                sent.events += [read_event(one) for one in events]
        elif isinstance(event, h11.EndOfMessage):
            sent.is_whole = not rest
            return
        else:
            return


def read_event(raw: bytes) -> tuple[int, str, bool]:
    """Return an event's number, owner and whether it is the last one."""
    lines = raw.decode().split("\n")
    number = int(lines[0].removeprefix("id: "))
    owner, _, last = lines[1].removeprefix("data: ").partition(" ")
    return number, owner, last == "last"


async def resolve(address: str) -> list[str]:
    """Ask a host for addresses; none if it does not answer well."""
    host, _, port = address.rpartition(":")
    try:
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            request = b"GET /-/resolve?name=example.test HTTP/1.1\r\nHost: x\r\n"
            await stream.send_all(request + b"Connection: close\r\n\r\n")
            data = b""
            while piece := await stream.receive_some(65_536):
                data += piece
    except (OSError, trio.BrokenResourceError):
        return []
    head, _, body = data.partition(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        return []
    addresses: list[str] = json.loads(body)["addresses"]
    return addresses
