"""A caller whose request crashes each backend server that starts to run it."""

from contextlib import AsyncExitStack
from random import Random

import trio

from dewridge.client.client import Client
from dewridge.proofs.history import History
from dewridge.proofs.workload import CLIENT_LIMITS, DRAFT, record_call
from dewridge.standins.misbehaviour import CRASH_PREFIX
from dewridge.testbed.deployment import Deployment

CRASHING_PROMPT = f"{CRASH_PREFIX}dossier with a page that no engine reads"
ANSWER_TOKENS = 60
DEADLINE_SECONDS = 10.0


class CrashingCaller:
    """Sends the same crashing request repeatedly, each time with a new key.

    Args:
        mean_pause: mean seconds between two requests.
    """

    def __init__(
        self, deployment: Deployment, history: History, *, seed: int, mean_pause: float
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = Random(f"crashing/{seed}")
        self._mean_pause = mean_pause
        self._stop = trio.Event()

    def stop(self) -> None:
        """Start no new requests; those in flight are completed."""
        self._stop.set()

    async def run(self) -> None:
        """Send until stopped, then wait for the last answer."""
        account, token = next(iter(self._deployment.tokens.items()))
        frontends = self._deployment.list_frontends()
        async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
            client = Client(
                frontends,
                token,
                limits=CLIENT_LIMITS,
                seed=self._random.randrange(2**32),
            )
            await stack.enter_async_context(client)
            while not self._stop.is_set():
                nursery.start_soon(
                    record_call,
                    self._history,
                    client,
                    account,
                    DRAFT,
                    CRASHING_PROMPT,
                    ANSWER_TOKENS,
                    DEADLINE_SECONDS,
                )
                with trio.move_on_after(self._random.expovariate(1 / self._mean_pause)):
                    await self._stop.wait()
