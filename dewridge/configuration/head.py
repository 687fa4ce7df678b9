"""The head of the configuration and its objects, and their decoding. No I/O.

The head lists every object at one revision. Each object's bytes are stored under
their own key, which is never rewritten, so a reader of a head can read the objects
that it lists. A change is accepted at the moment its head replaces the previous one.
"""

from typing import TypeVar

import msgspec

from dewridge.codes import ResultCode
from dewridge.configuration.model import Configuration, Profile, Service
from dewridge.decoding import Count, Name, convert, decode_json
from dewridge.sentinels import Failure

FORMAT = 1
"""Version of the head's format. It is incremented when an older release could no
longer write the head safely."""

MAX_RECENT_CHANGES = 512
"""Changes listed in the head. A writer whose answer was lost looks up its change by
the mark; at 21,000 changes a day the list covers half an hour."""

MAX_OBJECT_BYTES = 100_000
"""Maximum size of an object; the key-value service stores up to 1 MB per value."""

S = TypeVar("S", bound=msgspec.Struct)


class ObjectLocation(msgspec.Struct, frozen=True):
    """Key of an object's bytes, and the configuration revision that wrote them."""

    revision: Count
    key: Name


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
        revision: revision of the configuration that the change made.
        name: the changed object, `profile/NAME` or `service/NAME`.
        mark: unique id of the write that made the change.
        operator: who made the change.
    """

    revision: Count
    name: Name
    mark: Name
    operator: Name


class Head(msgspec.Struct, frozen=True):
    """List of all objects of the configuration at one revision.

    Attributes:
        format: version of this format, `FORMAT` of the writer.
        revision: revision of the configuration.
        objects: location of each object by its name.
        recent: latest changes, oldest first.
    """

    format: Count = FORMAT
    revision: Count = 0
    objects: dict[Name, ObjectLocation] = {}
    recent: tuple[Change, ...] = ()


class StoredObject(msgspec.Struct, frozen=True):
    """An object's bytes as published, with fields that only newer releases know."""

    name: str
    revision: int
    value: bytes


def decode_head(value: bytes) -> Head | Failure:
    """Decode a head; empty bytes are the head before the first change."""
    if not value:
        return Head()
    head = decode_json(value, Head)
    if isinstance(head, Failure):
        return Failure(head.code, f"configuration head: {head.reason}")
    if head.format > FORMAT:
        return Failure(
            ResultCode.PLATFORM_MALFORMED,
            f"configuration head has format {head.format}, this release knows {FORMAT}",
        )
    return head


def advance_head(head: Head, name: str, key: str, mark: str, operator: str) -> Head:
    """Return the head that follows `head` after one change."""
    revision = head.revision + 1
    change = Change(revision, name, mark, operator)
    return Head(
        revision=revision,
        objects={**head.objects, name: ObjectLocation(revision, key)},
        recent=(*head.recent, change)[-MAX_RECENT_CHANGES:],
    )


def find_revision_by_mark(head: Head, mark: str) -> int | None:
    """Return the revision made by the write with this mark, if the head lists it."""
    return next(
        (change.revision for change in head.recent if change.mark == mark), None
    )


def decode_object(value: bytes, kind: type[S]) -> S | Failure:
    """Decode a profile or a service, ignoring fields that this release lacks.

    A newer release may have published the object during a rolling upgrade. With
    strict decoding, this release would drop the whole object and stop serving it.
    """
    code = ResultCode.MALFORMED_PROFILE
    strict = decode_json(value, kind, code)
    if not isinstance(strict, Failure):
        return strict
    decoded = decode_json(value, object, code)
    if isinstance(decoded, Failure):
        return decoded
    return convert(_select_known_fields(decoded, kind), kind, code)


def _select_known_fields(decoded: object, kind: type) -> object:
    if not isinstance(decoded, dict):
        return decoded
    known_fields = {field.name: field for field in msgspec.structs.fields(kind)}
    selected: dict[str, object] = {}
    for name, value in decoded.items():
        if name not in known_fields:
            continue
        field_type = known_fields[name].type
        is_struct = isinstance(field_type, type) and issubclass(
            field_type, msgspec.Struct
        )
        selected[name] = _select_known_fields(value, field_type) if is_struct else value
    return selected


def build_configuration(
    revision: int, objects: dict[str, StoredObject]
) -> tuple[Configuration, list[str]]:
    """Decode all objects of a revision.

    Returns:
        The configuration, and a line for each object that can't be decoded. Such
        an object is left out, and requests for its service are rejected.
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
