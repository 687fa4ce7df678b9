"""Reconstructs the history of a request from the log lines of several hosts."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

CONTEXT_SECONDS = 5.0
"""Seconds before and after a request within which context events are included. Long
enough to cover the notice of a reclaim, the duration of a lease, or the first timeouts
of an outage."""
CONTEXT_EVENTS = frozenset(
    {
        "configuration in force",
        "dependency",
        "duties lost",
        "duties taken",
        "lease lost",
        "leaving",
        "missing server kept",
        "peer heard",
        "request cleared",
        "request set aside",
        "server joined",
        "server left",
        "server limit",
        "server limit ended",
        "server rests",
        "servers ordered",
        "started",
        "stopped",
    }
)
"""Events that change what a process assumes about its peers, servers, duties, leases
and configuration."""
LEADING_FIELDS = ("status", "code", "reason", "server", "servers", "loss", "ms")
HIDDEN_FIELDS = frozenset({"time", "level", "part", "event", "host", "id"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a gateway's log.

    Attributes:
        at: time of the line, in seconds since 1970.
        host: the host that wrote it.
        event: name of the event.
        fields: all fields of the line.
    """

    at: float
    host: str
    event: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines; text before the JSON and lines without JSON are skipped."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "time" in fields and "event" in fields:
            host = str(fields.get("host", ""))
            yield LogLine(float(fields["time"]), host, str(fields["event"]), fields)


def explain_request(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return the history of a request in order of time; empty if no line has its id."""
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.fields.get("id") == request]
    if not request_lines:
        return []
    hosts = {line.host for line in request_lines}
    servers = _list_servers(request_lines)
    digests = {
        str(line.fields["digest"]) for line in request_lines if "digest" in line.fields
    }
    begin = min(
        line.at - float(line.fields.get("ms", 0)) / 1000 for line in request_lines
    )
    end = max(line.at for line in request_lines)
    context_lines = [
        line
        for line in all_lines
        if line.event in CONTEXT_EVENTS
        and begin - CONTEXT_SECONDS <= line.at <= end + CONTEXT_SECONDS
        and _is_relevant(line, hosts, servers, digests)
    ]
    history = sorted([*request_lines, *context_lines], key=lambda line: line.at)
    return [
        _format_line(line, begin, is_request_line=line in request_lines)
        for line in history
    ]


def _list_servers(lines: list[LogLine]) -> set[str]:
    servers: set[str] = set()
    for line in lines:
        servers |= set(str(line.fields.get("servers", "")).split(","))
        servers |= set(str(line.fields.get("withheld", "")).split(","))
        servers.add(str(line.fields.get("server", "")))
    return servers - {""}


def _is_relevant(
    line: LogLine, hosts: set[str], servers: set[str], digests: set[str]
) -> bool:
    server = line.fields.get("server")
    if server is not None:
        return server in servers and line.host in hosts
    if "digest" in line.fields:
        return line.fields["digest"] in digests
    return line.host in hosts or line.event == "servers ordered"


def _format_line(line: LogLine, begin: float, *, is_request_line: bool) -> str:
    leading = [
        name for name in LEADING_FIELDS if line.fields.get(name) not in (None, "")
    ]
    others = [
        name
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and name not in leading and value not in (None, "")
    ]
    fields = " ".join(f"{name}={line.fields[name]}" for name in (*leading, *others))
    marker = "*" if is_request_line else " "
    offset = (line.at - begin) * 1000
    return f"{marker} {offset:+9.1f} ms  {line.host:<24} {line.event}  {fields}"
