"""Keeps this host's configuration current and takes operators' changes."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.configuration.checks import check_profile_change, check_service_change
from dewridge.configuration.freshness import Freshness
from dewridge.configuration.head import (
    MAX_OBJECT_BYTES,
    Head,
    StoredObject,
    build_configuration,
)
from dewridge.configuration.model import Configuration, Profile, Service
from dewridge.configuration.store import (
    ConfigurationStore,
    ProposedChange,
    VersionedHead,
)
from dewridge.ids import OperatorName, ProfileName, ServiceName
from dewridge.membership.model import MembershipView, MemberState, Rumor, Rumors
from dewridge.membership.ranking import has_duty
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import PeerIdentity, Peers
from dewridge.peers.wire import ttypes
from dewridge.providers.model import KeyValue
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings

WATCHERS = 2
"""Hosts that hold a watch on the head. One would leave a gap while its failure
is noticed; each more costs the key-value service a waiting call."""

HEAD_RUMOR = "configuration"
CONFIRMED_RUMOR = "configuration_confirmed"

CONFIRM_PERIOD = 1.5
"""Seconds between two confirmations by a watching host. A few fit into the
shortest stale limit, so that one lost on the way does not stop admission."""

PULL_TIMEOUT = 1.0
PULL_PAUSE = 0.1
RETRY_PAUSE = 0.5

ORIGIN_AFTER = 2
"""Random peers asked before the host that accepted the change is. With 440
hosts all asking the origin at once its answers alone would take its allowance
of 3 KB a second for minutes; random peers share the load."""


class _Origin(msgspec.Struct, frozen=True):
    address: str


class ConfigurationService:
    """The configuration in force on this host; it only moves to higher revisions.

    Few hosts watch the key-value service. The rest hear of a new revision by a
    rumor of a few bytes and pull what changed from a peer.
    """

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        key_value: KeyValue,
        peers: Peers,
        membership: MembershipView,
        rumors: Rumors,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        seed: int = 0,
    ) -> None:
        self._settings = settings
        self._store = ConfigurationStore(key_value, settings.prefix)
        self._peers = peers
        self._membership = membership
        self._rumors = rumors
        self._metrics = metrics
        self._clock = clock
        self._random = Random(seed)
        self._objects: dict[str, StoredObject] = {}
        self._configuration = Configuration()
        self._freshness = Freshness(settings.stale_limit, membership.local_member.host)
        self._heard = 0
        self._origin = ""
        self._news = trio.Event()
        self._listeners: list[Callable[[Configuration], None]] = []
        peers.handle(ttypes.PullConfiguration, self._answer_pull)
        rumors.subscribe_rumors(HEAD_RUMOR, self._hear_head)
        rumors.subscribe_rumors(CONFIRMED_RUMOR, self._hear_confirmed)
        membership.subscribe(
            lambda member: self._freshness.handle_member_change(member, self._clock())
        )

    # ---- what the other parts read ----------------------------------------

    def current(self) -> Configuration:
        """Return the configuration in force here."""
        return self._configuration

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` at once and briefly on each new revision."""
        self._listeners.append(listener)

    def check_fresh(self) -> Failure | None:
        """Return CONFIGURATION_STALE if this host must not admit requests."""
        if not self._configuration.revision:
            return Failure(
                ResultCode.CONFIGURATION_STALE,
                "no configuration has been read yet",
                retry_after=1.0,
            )
        return self._freshness.check(self._clock())

    async def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        now = self._clock()
        return {
            "revision": self._configuration.revision,
            "heard": self._heard,
            "profiles": sorted(self._configuration.profiles),
            "services": {
                name: service.profile
                for name, service in sorted(self._configuration.services.items())
            },
            "confirmed_seconds_ago": round(now - self._freshness.confirmed_at, 3),
            "majority_seconds_ago": round(now - self._freshness.majority_at, 3),
            "fresh": self.check_fresh() is None,
        }

    # ---- operators' changes -----------------------------------------------

    async def publish_profile(
        self, profile: Profile, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Publish or revise a profile made from object revision `expected`.

        Returns:
            The new revision of the configuration, or MALFORMED_PROFILE,
            REVISION_CONFLICT, CONFIGURATION_STALE, KEY_VALUE_DOWN (none of
            them changed anything) or CHANGE_UNKNOWN.
        """
        problems = check_profile_change(profile)
        if problems:
            return Failure(ResultCode.MALFORMED_PROFILE, "; ".join(problems))
        name = f"profile/{profile.name}"
        return await self._commit(name, profile, expected, operator, _accept_any)

    async def retire_profile(
        self, name: ProfileName, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Retire a profile that no service runs under; PROFILE_IN_USE otherwise."""
        profile = self._configuration.profiles.get(name)
        if profile is None:
            return Failure(ResultCode.UNKNOWN_PROFILE, f"no profile {name}")
        users = self._find_users(name)
        if users:
            return Failure(
                ResultCode.PROFILE_IN_USE, f"{name} is used by {', '.join(users)}"
            )
        retired = msgspec.structs.replace(profile, retired=True)
        seen = self._configuration.versions.get(f"profile/{name}", 0)
        return await self._commit(
            f"profile/{name}",
            retired,
            seen if expected is None else expected,
            operator,
            self._refuse_moved_services,
        )

    def _find_users(self, profile: ProfileName) -> list[str]:
        services = self._configuration.services.values()
        return sorted(s.name for s in services if s.profile == profile)

    def _refuse_moved_services(self, head: Head) -> Failure | None:
        """Refuse while services have changed that this host has not read yet.

        One of them may just have moved under the profile.
        """
        return self._refuse_changed(head, "service/")

    def _refuse_retired_profile(self, head: Head) -> Failure | None:
        return self._refuse_changed(head, "profile/")

    def _refuse_changed(self, head: Head, family: str) -> Failure | None:
        versions = self._configuration.versions
        for name, place in head.objects.items():
            if name.startswith(family) and versions.get(name, 0) != place.revision:
                return Failure(
                    ResultCode.REVISION_CONFLICT, f"{name} has just changed; try again"
                )
        return None

    async def publish_service(
        self, service: Service, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Publish or revise a service; errors as `publish_profile`."""
        problems = check_service_change(service, self._configuration)
        if problems:
            return Failure(ResultCode.MALFORMED_PROFILE, "; ".join(problems))
        return await self._commit(
            f"service/{service.name}",
            service,
            expected,
            operator,
            self._refuse_retired_profile,
        )

    async def move_service(
        self,
        name: ServiceName,
        profile: ProfileName,
        expected: int | None,
        operator: OperatorName,
    ) -> int | Failure:
        """Put a service under another profile; errors as `publish_profile`."""
        service = self._configuration.services.get(name)
        if service is None:
            return Failure(ResultCode.UNKNOWN_SERVICE, f"no service {name}")
        moved = msgspec.structs.replace(service, profile=profile)
        seen = self._configuration.versions.get(f"service/{name}", 0)
        base = seen if expected is None else expected
        return await self.publish_service(moved, base, operator)

    async def _commit(
        self,
        name: str,
        content: msgspec.Struct,
        expected: int | None,
        operator: OperatorName,
        check: Callable[[Head], Failure | None],
    ) -> int | Failure:
        value = msgspec.json.encode(content)
        if len(value) > MAX_OBJECT_BYTES:
            return Failure(
                ResultCode.MALFORMED_PROFILE, f"over {MAX_OBJECT_BYTES} bytes"
            )
        if not self._freshness.has_majority(self._clock()):
            # The hosts on the other side of a cut would go on without the
            # change; only a side with a majority may accept one.
            return Failure(
                ResultCode.CONFIGURATION_STALE,
                "this host sees no majority of the entry hosts",
                retry_after=2.0,
            )

        def check_head(head: Head) -> Failure | None:
            if head.revision < self._configuration.revision:
                return Failure(
                    ResultCode.CONFIGURATION_STALE,
                    "the key-value service holds an older revision; being restored",
                    retry_after=2.0,
                )
            return check(head)

        change = ProposedChange(name, value, expected, operator, check_head)
        accepted = await self._store.commit(change)
        if isinstance(accepted, Failure):
            code = accepted.code.name
            self._metrics.add("configuration_changes_refused", code=code)
            return accepted
        self._metrics.add("configuration_changes_accepted")
        own = StoredObject(name, accepted.revision, value)
        head = accepted.head
        objects = await self._store.read_objects(head, {**self._objects, name: own})
        if isinstance(objects, dict):
            self._apply(head.revision, objects)
        else:
            self._spread(head.revision)  # whoever can read it now passes it on
        return accepted.revision

    # ---- moving to a higher revision ---------------------------------------

    def _apply(self, revision: int, objects: dict[str, StoredObject]) -> None:
        """Put a higher revision in force; a lower one never replaces it."""
        if revision <= self._configuration.revision:
            return
        configuration, problems = build_configuration(revision, objects)
        for problem in problems:
            self._metrics.add("configuration_unreadable")
            log.error("configuration revision {}: {}", revision, problem)
        self._objects = objects
        self._configuration = configuration
        self._heard = max(self._heard, revision)
        self._metrics.set_gauge("configuration_revision", revision)
        log.info("configuration revision {} in force", revision)
        for listener in self._listeners:
            listener(configuration)
        self._spread(revision)

    def _spread(self, revision: int) -> None:
        origin = msgspec.json.encode(_Origin(self._membership.local_member.address))
        self._rumors.spread(Rumor(HEAD_RUMOR, "head", revision, origin))

    def _hear_head(self, rumor: Rumor) -> None:
        if rumor.version <= self._heard:
            return
        self._heard = rumor.version
        try:
            origin = msgspec.json.decode(rumor.payload, type=_Origin)
            self._origin = origin.address
        except msgspec.DecodeError:
            self._metrics.add("configuration_rumors_malformed")
        self._news.set()

    def _hear_confirmed(self, rumor: Rumor) -> None:
        """Take a watching host's word that its revision is the service's own."""
        if int.from_bytes(rumor.payload, "big") <= self._configuration.revision:
            self._freshness.record_confirmation(self._clock())

    async def _answer_pull(
        self, peer: PeerIdentity, message: Any
    ) -> ttypes.ConfigurationChanges:
        changed = [
            ttypes.ConfigurationObject(
                name=stored.name, revision=stored.revision, value=stored.value
            )
            for stored in self._objects.values()
            if stored.revision > message.revision
        ]
        # Objects are retired, never deleted, so what has changed since the
        # asker's revision completes what it has. The names of all objects would
        # cost it 2 KB a second at 300 objects and 21,000 changes a day.
        return ttypes.ConfigurationChanges(
            revision=self._configuration.revision,
            changed=changed,
            complete=message.revision == 0,
            names=[],
        )

    # ---- tasks ----------------------------------------------------------------

    async def run(self) -> None:
        """Pull what peers have, and watch the key-value service when it falls here."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull_news)
            nursery.start_soon(self._watch)

    async def _pull_news(self) -> None:
        """Pull from peers until this host has what it heard of."""
        tries = 0
        while True:
            if self._heard <= self._configuration.revision:
                self._news = trio.Event()
                tries = 0
                await self._news.wait()
            address = self._choose_source(tries)
            tries += 1
            if address is None or not await self._pull(address):
                await trio.sleep(PULL_PAUSE * self._random.uniform(0.5, 1.5))

    def _choose_source(self, tries: int) -> str | None:
        me = self._membership.local_member
        others = [
            member.address
            for member in self._membership.members()
            if member.host != me.host and member.state is not MemberState.SUSPECT
        ]
        if tries >= ORIGIN_AFTER and tries % 2 == 0 and self._origin in others:
            return self._origin
        return self._random.choice(others) if others else None

    async def _pull(self, address: str) -> bool:
        reply = await self._peers.call(
            address,
            ttypes.PullConfiguration(revision=self._configuration.revision),
            PULL_TIMEOUT,
        )
        if isinstance(reply, Failure) or reply.revision <= self._configuration.revision:
            return False
        merged = dict(self._objects)
        for item in reply.changed:
            merged[item.name] = StoredObject(item.name, item.revision, item.value)
        self._metrics.add("configuration_pulls")
        self._apply(reply.revision, merged)
        return True

    async def _watch(self) -> None:
        """Follow the head in the key-value service while that duty is ours.

        A host that knows nothing yet looks once whatever its duty, so that a
        restart of all hosts finds the configuration again.
        """
        key_revision = -1
        while True:
            if self._configuration.revision and not self._has_watch_duty():
                key_revision = -1
                await trio.sleep(RETRY_PAUSE)
                continue
            read = await self._read_next(key_revision)
            if isinstance(read, Failure):
                await self._go_on_without(read)
                continue
            key_revision = read.key_revision
            await self._take_head(read)

    def _has_watch_duty(self) -> bool:
        return has_duty("configuration-watch", self._membership, WATCHERS)

    async def _read_next(self, key_revision: int) -> VersionedHead | Failure:
        if key_revision < 0:
            return await self._store.read_head()
        timeout = min(CONFIRM_PERIOD, self._settings.watch_timeout)
        return await self._store.watch_head(key_revision, timeout)

    async def _go_on_without(self, failure: Failure) -> None:
        if failure.code is ResultCode.KEY_VALUE_TIMEOUT:
            self._confirm()
            return
        self._metrics.add("configuration_reads_failed", code=failure.code.name)
        await trio.sleep(RETRY_PAUSE * self._random.uniform(0.5, 1.5))

    async def _take_head(self, read: VersionedHead) -> None:
        known = self._configuration.revision
        if read.head.revision < known:
            await self._restore_head(read)
            return
        if read.head.revision > known:
            objects = await self._store.read_objects(read.head, self._objects)
            if isinstance(objects, Failure):
                self._metrics.add("configuration_reads_failed", code=objects.code.name)
                await trio.sleep(RETRY_PAUSE)
                return
            self._apply(read.head.revision, objects)
        self._confirm()

    async def _restore_head(self, read: VersionedHead) -> None:
        """Put the revision known here back where an older copy was restored."""
        log.warning(
            "key-value service fell back to configuration revision {}, {} is known",
            read.head.revision,
            self._configuration.revision,
        )
        self._metrics.add("configuration_restores")
        failed = await self._store.restore(
            self._configuration.revision, self._objects, read
        )
        if failed is not None:
            await trio.sleep(RETRY_PAUSE * self._random.uniform(0.5, 1.5))

    def _confirm(self) -> None:
        """Tell all that the service holds the revision known here, as of now."""
        now = self._clock()
        self._freshness.record_confirmation(now)
        revision = self._configuration.revision
        stamp = int(time.time() * 1000)
        payload = revision.to_bytes(8, "big")
        self._rumors.spread(
            Rumor(CONFIRMED_RUMOR, "head", stamp, payload, routine=True)
        )


def _accept_any(head: Head) -> Failure | None:
    return None
