"""The head of the configuration and its objects, as pure data.

The head names every object at one revision. An object's bytes lie under a key
of their own that is never rewritten, so whoever has read a head can read what
it names, and swapping the head is the one moment at which a change is accepted.
"""

from typing import TypeVar

import msgspec

from dewridge.codes import ResultCode
from dewridge.configuration.model import Configuration, Profile, Service
from dewridge.sentinels import Failure

FORMAT = 1
"""Raised when an older release could no longer write the head without harm."""

RECENT_LIMIT = 512
"""Changes remembered in the head. A writer whose answer was lost finds its mark
here; at 21,000 changes a day this covers half an hour of looking back."""

MAX_OBJECT_BYTES = 100_000
"""Largest object in bytes; the key-value service holds values up to a megabyte."""

S = TypeVar("S", bound=msgspec.Struct)


class ObjectLocation(msgspec.Struct, frozen=True):
    """Where an object's bytes lie, and the revision that put them there."""

    revision: int
    key: str


class Change(msgspec.Struct, frozen=True):
    """One accepted change, with the unique mark of the write that made it."""

    revision: int
    name: str
    mark: str
    operator: str


class Head(msgspec.Struct, frozen=True):
    """The configuration at one revision."""

    format: int = FORMAT
    revision: int = 0
    objects: dict[str, ObjectLocation] = {}
    recent: tuple[Change, ...] = ()


class StoredObject(msgspec.Struct, frozen=True):
    """An object's bytes as published, kept whole for releases that know more."""

    name: str
    revision: int
    value: bytes


def decode_head(value: bytes) -> Head | Failure:
    """Read a head; empty bytes are the head before the first change."""
    if not value:
        return Head()
    try:
        head = msgspec.json.decode(value, type=Head)
    except msgspec.DecodeError as error:
        return Failure(ResultCode.PLATFORM_MALFORMED, f"configuration head: {error}")
    if head.format > FORMAT:
        return Failure(
            ResultCode.PLATFORM_MALFORMED,
            f"configuration head has format {head.format}, this release knows {FORMAT}",
        )
    return head


def advance_head(head: Head, name: str, key: str, mark: str, operator: str) -> Head:
    """Return the head after one change."""
    revision = head.revision + 1
    change = Change(revision, name, mark, operator)
    return Head(
        revision=revision,
        objects={**head.objects, name: ObjectLocation(revision, key)},
        recent=(*head.recent, change)[-RECENT_LIMIT:],
    )


def find_revision_by_mark(head: Head, mark: str) -> int | None:
    """Return the revision that a mark's change made, if the head remembers it."""
    return next((c.revision for c in head.recent if c.mark == mark), None)


def decode_object(value: bytes, kind: type[S]) -> S | Failure:
    """Read a profile or a service, leaving out fields of newer releases.

    A newer release may have published it during a rolling upgrade. A strict
    reader would then drop the whole object and stop serving; what it does not
    know, it passes over.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.DecodeError:
        pass
    try:
        plain = msgspec.json.decode(value)
        return msgspec.convert(_keep_known(plain, kind), kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(ResultCode.MALFORMED_PROFILE, str(error))


def _keep_known(plain: object, kind: type) -> object:
    if not isinstance(plain, dict):
        return plain
    known = {field.name: field for field in msgspec.structs.fields(kind)}
    kept: dict[str, object] = {}
    for name, value in plain.items():
        if name not in known:
            continue
        inner = known[name].type
        is_struct = isinstance(inner, type) and issubclass(inner, msgspec.Struct)
        kept[name] = _keep_known(value, inner) if is_struct else value
    return kept


def build_configuration(
    revision: int, objects: dict[str, StoredObject]
) -> tuple[Configuration, list[str]]:
    """Read all objects of a revision.

    Returns:
        The configuration, and a line for each object that can't be read; such
        an object is left out and its service refuses work.
    """
    profiles: dict[str, Profile] = {}
    services: dict[str, Service] = {}
    problems: list[str] = []
    for stored in objects.values():
        family, _, name = stored.name.partition("/")
        if family == "profile":
            profile = decode_object(stored.value, Profile)
            if isinstance(profile, Failure):
                problems.append(f"{stored.name}: {profile.reason}")
            else:
                profiles[name] = profile
        elif family == "service":
            service = decode_object(stored.value, Service)
            if isinstance(service, Failure):
                problems.append(f"{stored.name}: {service.reason}")
            else:
                services[name] = service
        else:
            problems.append(f"{stored.name}: unknown kind of object")
    versions = {stored.name: stored.revision for stored in objects.values()}
    return Configuration(revision, profiles, services, versions), problems
