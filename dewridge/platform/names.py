"""Header names, store keys and paths that the platform defines."""

from enum import Enum

REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
ACCOUNT_KEY = b"x-api-key"
ACCOUNT = b"x-tenant"
EXPECTED_SERVER = b"x-expect-instance"
ACTUAL_SERVER = b"x-instance"
SIGNATURE = b"x-server-seal"
NOT_EXECUTED = b"x-not-executed"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
SERVER_BRITTLE = b"server-brittle"
MODEL = b"x-model"
TOKENS = b"x-token-count"
PREFIX = b"x-prefix-hash"
PRIORITY = b"x-request-priority"
LAST_EVENT = b"last-event-id"
RESUMED_ATTEMPT = b"resumes"
CACHE_COPY = b"kv-from"
CACHE_SOURCE = b"kv-fetch"
CACHE_BACKUP = b"x-kv-backup"
STORE_ERA = b"store-era"
DUTY_HOLDER = "X-Duty-Holder"
FENCING_TOKEN = "X-Fencing-Token"

SET_BY_GATEWAY = frozenset(
    {
        DEADLINE,
        ACCOUNT_KEY,
        ACCOUNT,
        EXPECTED_SERVER,
        PRIORITY,
        CACHE_COPY,
        CACHE_BACKUP,
        b"x-hold",
        b"x-pin-ms",
        b"x-expect-version",
        CACHE_SOURCE,
    }
)
"""Headers that only the gateway may send to a backend server. If they were forwarded
from a caller, it could act as another account, reserve an engine's KV cache or read the
cache of another request."""

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_PREFIX + "config"
ROLLOUTS_PREFIX = OPERATOR_PREFIX + "rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
SERVERS_PREFIX = "servers/"

RESOLVE_PATH = "/-/resolve"
READY_PATH = "/-/readyz"

DUTY_USAGE = "usage"
DUTY_SCALING = "autoscale"


class ServerStatus(Enum):
    """States of a backend server in its record."""

    READY = "ready"
    DRAINING = "draining"
