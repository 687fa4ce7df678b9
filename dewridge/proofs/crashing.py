"""A caller whose request ends each backend server that begins to run it."""

from contextlib import AsyncExitStack
from random import Random

import trio

from dewridge.client.client import Client
from dewridge.proofs.history import History
from dewridge.proofs.workload import DRAFT, LIMITS, record_call
from dewridge.standins.misbehaviour import CRASH_PREFIX
from dewridge.testbed.deployment import Deployment

PROMPT = f"{CRASH_PREFIX}dossier with a page that no engine reads"
TOKENS = 60
DEADLINE = 10.0


class CrashingCaller:
    """Sends one request again and again, each time with a new key."""

    def __init__(
        self, deployment: Deployment, history: History, *, seed: int, pause: float
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = Random(f"crashing/{seed}")
        self._pause = pause
        self._stop = trio.Event()

    def stop(self) -> None:
        """Send no more; what is under way goes on to its end."""
        self._stop.set()

    async def run(self) -> None:
        """Send until stopped, then wait for the last answer."""
        account, token = next(iter(self._deployment.tokens.items()))
        frontends = self._deployment.list_frontends()
        async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
            client = Client(
                frontends, token, limits=LIMITS, seed=self._random.randrange(2**32)
            )
            await stack.enter_async_context(client)
            while not self._stop.is_set():
                nursery.start_soon(
                    record_call,
                    self._history,
                    client,
                    account,
                    DRAFT,
                    PROMPT,
                    TOKENS,
                    DEADLINE,
                )
                with trio.move_on_after(self._random.expovariate(1 / self._pause)):
                    await self._stop.wait()
