"""HTTP endpoints for operators: metrics, state dump and release of suspect requests."""

from typing import Any

import msgspec
import trio

from dewridge.codes import ResultCode
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.contention.describing import describe_plans
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.measures import update_gauges
from dewridge.gateway.model import CallerRequest
from dewridge.gateway.placement.dump import (
    describe_load_probe,
    describe_placement,
    describe_server_pace,
)
from dewridge.gateway.reports import RolloutProgress
from dewridge.gateway.responder import Responder
from dewridge.gateway.rollouts import compute_elapsed, describe_evidence
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import clear_suspect
from dewridge.ids import RequestDigest
from dewridge.policy.suspects import Suspect, SuspectLedger
from dewridge.sentinels import Failure

METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
SUSPECTS_PATH_PREFIX = "/suspects/"
"""Precedes the digest of the suspect request that is to be released."""


class Operations:
    """Serves the HTTP endpoints for operators."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer an operator's request."""
        if request.path == METRICS_PATH:
            await self._send_metrics(responder)
        elif request.path == DUMP_PATH:
            body = msgspec.json.encode(describe_state(self._state), enc_hook=str)
            await responder.send_complete(
                200, [(b"content-type", b"application/json")], body
            )
        elif is_suspect_release(request):
            await self._release_suspect(request, responder)
        else:
            failure = Failure(ResultCode.UNKNOWN_OPERATION, "no such page")
            await send_failure(responder, failure)

    async def _release_suspect(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        digest = RequestDigest(request.path.removeprefix(SUSPECTS_PATH_PREFIX))
        if clear_suspect(self._state, digest, "operator"):
            await responder.send_complete(200, [], b"")
            return
        failure = Failure(ResultCode.UNKNOWN_REQUEST, "no such suspect")
        await send_failure(responder, failure)

    async def _send_metrics(self, responder: Responder) -> None:
        # The library takes 12 MB of memory: loaded only if metrics are requested.
        from dewridge.metrics.exposition import CONTENT_TYPE, format_metrics  # noqa: PLC0415

        update_gauges(self._state)
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        await responder.send_complete(200, headers, format_metrics(self._state.metrics))


def is_suspect_release(request: CallerRequest) -> bool:
    """Whether an operator requests the release of a suspect request."""
    return request.method == b"DELETE" and request.path.startswith(SUSPECTS_PATH_PREFIX)


def describe_state(state: GatewayState) -> dict[str, Any]:
    """Return the state of this process, without API keys, prompts and answers."""
    now = trio.current_time()
    return {
        "host": {
            "id": state.host,
            "boot": state.boot,
            "is_ready": state.is_ready,
            "is_leaving": state.ingress.is_leaving,
        },
        "configuration": {
            "version": state.configuration.version,
            "age_seconds": round(state.configuration.age, 3),
            "is_trusted": state.configuration.is_trusted,
            "source": state.configuration.arrival.source.value,
            "in_force_seconds": round(
                read_boot_clock() - state.configuration.arrival.at, 3
            ),
            "bytes": state.configuration.arrival.size,
            "received_bytes": state.configuration.arrival.received,
            "watches_document": state.watches_document(
                state.configuration.arrival.size
            ),
        },
        "servers": [
            _describe_server(state, server.id, now)
            for server in _list_sorted_servers(state)
        ],
        "hosts": [
            {
                "id": entry.id,
                "boot": entry.boot,
                "is_ready": entry.is_ready,
                "is_silent": state.sharing.is_silent(entry.id, now),
            }
            for entry in state.hosts.list_peers()
        ],
        "reports": {
            "period_seconds": round(state.sharing.period, 3),
            "heard": state.sharing.reports_received,
            "missed": state.sharing.reports_missed,
            "datagrams_sent": state.metrics.read("datagrams_sent"),
            "datagram_bytes_sent": state.metrics.read("datagram_bytes_sent"),
            "datagrams_outdated": state.metrics.read("datagrams_outdated"),
            "holder": state.sharing.holder[1],
        },
        "suspects": [
            _describe_suspect(state.suspects, suspect, now)
            for suspect in state.suspects.list_all()
        ],
        "rollouts": [
            _describe_rollout(state, progress)
            for progress in state.rollouts.list_progress()
        ],
        "stream_versions": state.versions.describe(now),
        "placement": describe_placement(state),
        "quotas": state.ledger.describe(),
        "retry_budgets": state.retries.describe(now),
        "admission": describe_plans(state, now),
        "paths": state.links.describe(),
        "connections": {
            "callers": state.ingress.connections,
            "requests": state.ingress.requests,
            "opened_to_servers": state.pool.opened,
            "reused_to_servers": state.pool.reused,
        },
        "intake": describe_intake(state),
        "duties": state.describe_duties(),
        "dependencies": {
            caller.name: {"is_up": caller.is_up, "calls": caller.calls}
            for caller in state.dependencies
        },
    }


def describe_intake(state: GatewayState) -> dict[str, Any]:
    """Return what clients make this process hold, and its limits."""
    memory = state.ingress.memory
    return {
        "bytes": memory.used,
        "answer_bytes": state.answer_buffers.used,
        "limit_bytes": memory.limit,
        "refused": memory.refused,
        "closed": memory.closed,
        "connections": {
            endpoint.name: [len(endpoint.places), endpoint.places.limit]
            for endpoint in state.endpoints
        },
    }


def _list_sorted_servers(state: GatewayState) -> list[Any]:
    return sorted(
        state.servers.list_all(), key=lambda server: (server.service, server.id)
    )


def _describe_suspect(
    ledger: SuspectLedger, suspect: Suspect, now: float
) -> dict[str, Any]:
    return {
        "digest": suspect.digest,
        "account": suspect.account,
        "service": suspect.service,
        "part": suspect.part,
        "set_aside_for_seconds": round(
            ledger.compute_quarantine_left(suspect.digest, now), 1
        ),
        "ends_counted": len(suspect.list_crash_times(now)),
        "seconds_since_ends": {
            server: round(now - crash.crashed_at, 1)
            for server, crash in suspect.crashes.items()
        },
        "cleared": sorted(suspect.cleared),
    }


def _describe_rollout(state: GatewayState, progress: RolloutProgress) -> dict[str, Any]:
    stage = state.rollouts.find_stage(progress.service)
    return {
        "service": progress.service,
        "target": progress.target,
        "stage": progress.stage.value,
        "stage_here": stage.value if stage else "",
        "share": progress.share,
        "elapsed_seconds": round(compute_elapsed(progress), 1),
        "duration_seconds": progress.duration,
        **describe_evidence(state.rollouts.compute_evidence(progress.order)),
    }


def _describe_server(state: GatewayState, server: Any, now: float) -> dict[str, Any]:
    record = state.servers.find(server)
    health = state.get_health(server)
    return {
        "id": server,
        "service": record.service if record else "",
        "failure_domain": record.failure_domain if record else "",
        "is_reclaimable": bool(record and record.is_reclaimable),
        "in_flight": state.work_in_flight.requests.get(server, 0),
        "failure_share": round(health.failure_share, 3),
        "rests_for_seconds": round(max(0.0, health.cooldown_until - now), 3),
        "pace": describe_server_pace(state, server, now),
        "load_probe": describe_load_probe(state, server, now),
        "pushback": state.pushback.describe(server, now),
        "full_for_seconds": round(max(0.0, health.full_until - now), 3),
    }
