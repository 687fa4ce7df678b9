"""Keeps this host's configuration up to date and commits operators' changes."""

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
from dewridge.decoding import Name, decode_json
from dewridge.ids import OperatorName, ProfileName, ServiceName
from dewridge.membership.model import MembershipView, MemberState, Rumor, Rumors
from dewridge.membership.ranking import has_duty
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import PeerIdentity, Peers
from dewridge.peers.wire import ttypes
from dewridge.providers.model import KeyValue
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings

WATCHER_COUNT = 2
"""Hosts that watch the head in the key-value service. With only one, changes would
go unnoticed while its failure is detected; each further one costs the service a
pending call."""

HEAD_RUMOR = "configuration"
"""Kind of the rumor that announces a new revision."""

CONFIRMED_RUMOR = "configuration_confirmed"
"""Kind of the rumor that the key-value service was read at the current revision."""
REVISION_BYTES = 8
"""Bytes of its payload, the number of the revision."""

CONFIRM_PERIOD = 1.5
"""Seconds between two confirmations by a watching host. Several fit into the
shortest stale limit, so that losing one does not stop admission."""

PULL_TIMEOUT = 1.0
"""Seconds that a pull from a peer may take."""

PULL_PAUSE = 0.1
"""Mean seconds between two pulls if the first one did not succeed."""

RETRY_PAUSE = 0.5
"""Mean seconds before the key-value service is read again after a failure, and
seconds between checks of whether this host must watch it."""

PULLS_BEFORE_ORIGIN = 2
"""Pulls from random peers before the origin, the host that accepted the change, is
tried. If 440 hosts pulled from the origin at once, its replies alone would use its
allowance of 3 KB/s for minutes; random peers share the load."""


class _Origin(msgspec.Struct, frozen=True):
    address: Name


class ConfigurationService:
    """Provides the configuration in force on this host, whose revision only grows.

    A few hosts watch the key-value service. The other hosts receive a rumor of
    a few bytes about a new revision and pull the changed objects from a peer.
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
        self._announced_revision = 0
        self._origin = ""
        self._has_announcement = trio.Event()
        self._listeners: list[Callable[[Configuration], None]] = []
        peers.handle(ttypes.PullConfiguration, self._answer_pull)
        rumors.subscribe_rumors(HEAD_RUMOR, self._receive_head)
        rumors.subscribe_rumors(CONFIRMED_RUMOR, self._receive_confirmation)
        membership.subscribe(
            lambda member: self._freshness.handle_member_change(member, self._clock())
        )

    # ---- interface for other packages -------------------------------------

    def current(self) -> Configuration:
        """Return the configuration in force here."""
        return self._configuration

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` synchronously on each new revision; it must not block."""
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
        """Return the state for a diagnostic dump."""
        now = self._clock()
        return {
            "revision": self._configuration.revision,
            "heard": self._announced_revision,
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
        """Publish a profile, or revise it if it is still at object revision `expected`.

        Returns:
            The new revision of the configuration, or MALFORMED_PROFILE,
            REVISION_CONFLICT, CONFIGURATION_STALE or KEY_VALUE_DOWN if nothing
            changed, or CHANGE_UNKNOWN if the outcome is unknown.
        """
        problems = check_profile_change(profile)
        if problems:
            return Failure(ResultCode.MALFORMED_PROFILE, "; ".join(problems))
        name = f"profile/{profile.name}"
        return await self._commit(name, profile, expected, operator, _accept_any_head)

    async def retire_profile(
        self, name: ProfileName, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Retire a profile; fails with PROFILE_IN_USE if a service uses it."""
        profile = self._configuration.profiles.get(name)
        if profile is None:
            return Failure(ResultCode.UNKNOWN_PROFILE, f"no profile {name}")
        users = self._list_users(name)
        if users:
            return Failure(
                ResultCode.PROFILE_IN_USE, f"{name} is used by {', '.join(users)}"
            )
        retired = msgspec.structs.replace(profile, retired=True)
        known_revision = self._configuration.versions.get(f"profile/{name}", 0)
        return await self._commit(
            f"profile/{name}",
            retired,
            known_revision if expected is None else expected,
            operator,
            self._reject_changed_services,
        )

    def _list_users(self, profile: ProfileName) -> list[str]:
        services = self._configuration.services.values()
        return sorted(s.name for s in services if s.profile == profile)

    def _reject_changed_services(self, head: Head) -> Failure | None:
        """Reject a change while this host has not read all changes of services.

        One of the changed services may now use the profile.
        """
        return self._reject_changed(head, "service/")

    def _reject_changed_profiles(self, head: Head) -> Failure | None:
        """Reject a change while this host has not read all changes of profiles.

        The profile of the service may have been retired.
        """
        return self._reject_changed(head, "profile/")

    def _reject_changed(self, head: Head, family: str) -> Failure | None:
        versions = self._configuration.versions
        for name, location in head.objects.items():
            if name.startswith(family) and versions.get(name, 0) != location.revision:
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
            self._reject_changed_profiles,
        )

    async def move_service(
        self,
        name: ServiceName,
        profile: ProfileName,
        expected: int | None,
        operator: OperatorName,
    ) -> int | Failure:
        """Assign another profile to a service; errors as `publish_profile`."""
        service = self._configuration.services.get(name)
        if service is None:
            return Failure(ResultCode.UNKNOWN_SERVICE, f"no service {name}")
        moved = msgspec.structs.replace(service, profile=profile)
        known_revision = self._configuration.versions.get(f"service/{name}", 0)
        base = known_revision if expected is None else expected
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
            # The hosts on the other side of a partition would continue without
            # the change, so only the side with a majority may accept one.
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
        committed = StoredObject(name, accepted.revision, value)
        head = accepted.head
        objects = await self._store.read_objects(
            head, {**self._objects, name: committed}
        )
        if isinstance(objects, dict):
            self._apply(head.revision, objects)
        else:
            self._announce(head.revision)  # hosts that can read it distribute it
        return accepted.revision

    # ---- moving to a higher revision ---------------------------------------

    def _apply(self, revision: int, objects: dict[str, StoredObject]) -> None:
        """Put a revision in force and announce it; lower revisions are ignored."""
        if revision <= self._configuration.revision:
            return
        configuration, problems = build_configuration(revision, objects)
        for problem in problems:
            self._metrics.add("configuration_unreadable")
            log.error("configuration revision {}: {}", revision, problem)
        self._objects = objects
        self._configuration = configuration
        self._announced_revision = max(self._announced_revision, revision)
        self._metrics.set_gauge("configuration_revision", revision)
        log.info("configuration revision {} in force", revision)
        for listener in self._listeners:
            listener(configuration)
        self._announce(revision)

    def _announce(self, revision: int) -> None:
        origin = msgspec.json.encode(_Origin(self._membership.local_member.address))
        self._rumors.spread(Rumor(HEAD_RUMOR, "head", revision, origin))

    def _receive_head(self, rumor: Rumor) -> None:
        if rumor.version <= self._announced_revision:
            return
        self._announced_revision = rumor.version
        origin = decode_json(rumor.payload, _Origin)
        if isinstance(origin, Failure):
            self._metrics.add("configuration_rumors_malformed")
        else:
            self._origin = origin.address
        self._has_announcement.set()

    def _receive_confirmation(self, rumor: Rumor) -> None:
        """Apply a watching host's confirmation that its revision is the stored one."""
        if len(rumor.payload) != REVISION_BYTES:
            self._metrics.add("configuration_rumors_malformed")
            return
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
        # Objects are retired, never deleted, so the peer only needs the objects
        # changed since its revision. Sending the names of all objects would cost
        # 2 KB/s at 300 objects and 21,000 changes a day.
        return ttypes.ConfigurationChanges(
            revision=self._configuration.revision,
            changed=changed,
            complete=message.revision == 0,
            names=[],
        )

    # ---- tasks ----------------------------------------------------------------

    async def run(self) -> None:
        """Pull from peers, and watch the key-value service while having that duty."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull_updates)
            nursery.start_soon(self._watch)

    async def _pull_updates(self) -> None:
        """Pull from peers until this host has the highest revision announced."""
        attempts = 0
        while True:
            if self._announced_revision <= self._configuration.revision:
                self._has_announcement = trio.Event()
                attempts = 0
                await self._has_announcement.wait()
            address = self._choose_source(attempts)
            attempts += 1
            if address is None or not await self._pull(address):
                await trio.sleep(PULL_PAUSE * self._random.uniform(0.5, 1.5))

    def _choose_source(self, attempts: int) -> str | None:
        local_member = self._membership.local_member
        others = [
            member.address
            for member in self._membership.members()
            if member.host != local_member.host
            and member.state is not MemberState.SUSPECT
        ]
        if (
            attempts >= PULLS_BEFORE_ORIGIN
            and attempts % 2 == 0
            and self._origin in others
        ):
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
        """Watch the head in the key-value service while this host has that duty.

        A host without a configuration reads the head even without the duty, so
        that the configuration is found again after a restart of all hosts.
        """
        key_revision = -1
        while True:
            if self._configuration.revision and not self._has_watch_duty():
                key_revision = -1
                await trio.sleep(RETRY_PAUSE)
                continue
            read = await self._read_next(key_revision)
            if isinstance(read, Failure):
                await self._handle_read_failure(read)
                continue
            # A watch without a change confirms the revision in force only if that is
            # the one of the head. Otherwise the head is read again.
            is_current = await self._apply_head(read)
            key_revision = read.key_revision if is_current else -1

    def _has_watch_duty(self) -> bool:
        return has_duty("configuration-watch", self._membership, WATCHER_COUNT)

    async def _read_next(self, key_revision: int) -> VersionedHead | Failure:
        if key_revision < 0:
            return await self._store.read_head()
        timeout = min(CONFIRM_PERIOD, self._settings.watch_timeout)
        return await self._store.watch_head(key_revision, timeout)

    async def _handle_read_failure(self, failure: Failure) -> None:
        """Confirm the revision if a watch ended without a change; else pause."""
        if failure.code is ResultCode.KEY_VALUE_TIMEOUT:
            self._confirm()
            return
        self._metrics.add("configuration_reads_failed", code=failure.code.name)
        await trio.sleep(RETRY_PAUSE * self._random.uniform(0.5, 1.5))

    async def _apply_head(self, read: VersionedHead) -> bool:
        """Put a head in force; return whether its revision is the one in force now."""
        known = self._configuration.revision
        if read.head.revision < known:
            await self._restore_head(read)
            return False
        if read.head.revision > known:
            objects = await self._store.read_objects(read.head, self._objects)
            if isinstance(objects, Failure):
                self._metrics.add("configuration_reads_failed", code=objects.code.name)
                await trio.sleep(RETRY_PAUSE)
                return False
            self._apply(read.head.revision, objects)
        if read.head.revision < self._configuration.revision:
            return False
        self._confirm()
        return True

    async def _restore_head(self, read: VersionedHead) -> None:
        """Write this host's revision back to a service restored from an older copy."""
        log.warning(
            "key-value service has older configuration revision {}, restoring {}",
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
        """Broadcast that the service now holds this host's revision."""
        now = self._clock()
        self._freshness.record_confirmation(now)
        revision = self._configuration.revision
        timestamp_ms = int(time.time() * 1000)
        payload = revision.to_bytes(REVISION_BYTES, "big")
        self._rumors.spread(
            Rumor(CONFIRMED_RUMOR, "head", timestamp_ms, payload, routine=True)
        )


def _accept_any_head(head: Head) -> Failure | None:
    return None
