"""Loading of the settings file: all errors and warnings at once."""

import difflib
import math
from collections.abc import Callable, Iterator
from dataclasses import MISSING, Field, dataclass, fields, is_dataclass
from functools import cache
from pathlib import Path
from typing import Any, Generic, TypeVar, get_args, get_origin, get_type_hints

from dewridge.settings.checks import check_settings
from dewridge.settings.problems import Problem
from dewridge.settings.schema import Settings

Schema = TypeVar("Schema")
Check = Callable[[Schema], tuple[list[Problem], list[Problem]]]
"""Returns the errors and the warnings of settings that fit their schema."""

MAX_FILE_BYTES = 1_000_000
"""Bytes of a settings file. The parser is slow on large input, and a file of
this size is no settings file: a wrong path would hang the start instead."""


@dataclass(frozen=True, slots=True)
class LoadedSettings(Generic[Schema]):
    """The result of loading; `settings` is None if there was an error."""

    settings: Schema | None
    errors: tuple[Problem, ...] = ()
    warnings: tuple[Problem, ...] = ()


class Pairs(list[tuple[str, Any]]):
    """A JSON object as its pairs, so that a name given twice is seen."""


def load_settings(path: Path | str) -> LoadedSettings[Settings]:
    """Read, check and build the settings of a file."""
    return load_file(path, Settings, check_settings)


def load_file(
    path: Path | str, schema: type[Schema], check: Check[Schema]
) -> LoadedSettings[Schema]:
    """Read a settings file of any schema."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        return _fail(f"can't read {path}: {error.strerror or error}")
    return parse_document(raw, schema, check)


def parse_settings(raw: bytes) -> LoadedSettings[Settings]:
    """Check and build the settings of a file's content."""
    return parse_document(raw, Settings, check_settings)


def parse_document(
    raw: bytes, schema: type[Schema], check: Check[Schema]
) -> LoadedSettings[Schema]:
    """Check a file's content against a schema, then by a function, and build it."""
    import json5  # noqa: PLC0415

    if len(raw) > MAX_FILE_BYTES:
        return _fail(f"larger than {MAX_FILE_BYTES} bytes")
    try:
        document = json5.loads(raw.decode(), object_pairs_hook=Pairs)
    except UnicodeDecodeError as error:
        return _fail(f"not UTF-8: byte {error.start}")
    except RecursionError:
        return _fail("nested too deeply")
    except ValueError as error:
        return _fail(f"not JSON: {error}".split("\n", 1)[0][:200])
    reader = _Reader()
    settings = reader.read_section(schema, document, "")
    if reader.errors:
        return LoadedSettings(None, tuple(reader.errors))
    errors, warnings = check(settings)
    return LoadedSettings(None if errors else settings, tuple(errors), tuple(warnings))


def _fail(text: str) -> LoadedSettings[Any]:
    return LoadedSettings(None, (Problem("$", text),))


def list_options(section: type) -> Iterator[tuple[Field[Any], Any]]:
    """Yield each option of a section with its type."""
    hints = _find_hints(section)
    for option in fields(section):
        yield option, hints[option.name]


@cache
def _find_hints(section: type) -> dict[str, Any]:
    return get_type_hints(section)


class _Reader:
    """Walks the document beside the schema and gathers every error."""

    def __init__(self) -> None:
        self.errors: list[Problem] = []

    def read_section(self, section: type, value: Any, path: str) -> Any:
        """Build a section, or return None after an error."""
        if not isinstance(value, Pairs):
            self._note(path, f"expected an object, got {name_type(value)}")
            return None
        given = self._gather_names(section, value, path)
        found: dict[str, Any] = {}
        for option, kind in list_options(section):
            place = join_path(path, option.name)
            if option.name in given:
                found[option.name] = self.read_value(
                    option, kind, given[option.name], place
                )
            elif option.metadata["required"]:
                self._note(place, f"is missing. {option.metadata['description']}")
            else:
                found[option.name] = get_default(option)
        return None if self.errors else section(**found)

    def _gather_names(self, section: type, value: Pairs, path: str) -> dict[str, Any]:
        known = [option.name for option in fields(section)]
        given: dict[str, Any] = {}
        for name, item in value:
            if name not in known:
                self._note(join_path(path, name), describe_unknown(name, known))
            elif name in given:
                self._note(join_path(path, name), "is given twice")
            else:
                given[name] = item
        return given

    def read_value(self, option: Field[Any], kind: Any, value: Any, path: str) -> Any:
        """Build one value and check it against its option."""
        if is_dataclass(kind):
            return self.read_section(kind, value, path)  # type: ignore[arg-type]
        if get_origin(kind) is tuple:
            return self._read_items(option, get_args(kind)[0], value, path)
        return self._read_plain(option, kind, value, path)

    def _read_items(
        self, option: Field[Any], kind: Any, value: Any, path: str
    ) -> tuple[Any, ...]:
        if not isinstance(value, list) or isinstance(value, Pairs):
            self._note(path, f"expected a list, got {name_type(value)}")
            return ()
        return tuple(
            self.read_value(option, kind, item, f"{path}[{place}]")
            for place, item in enumerate(value)
        )

    def _read_plain(self, option: Field[Any], kind: type, value: Any, path: str) -> Any:
        if kind is float and type(value) is int:
            value = _widen(value)
        if type(value) is not kind:
            self._note(path, f"expected {NAMES[kind]}, got {name_type(value)}")
            return None
        self._check_bounds(option, value, path)
        return value

    def _check_bounds(self, option: Field[Any], value: Any, path: str) -> None:
        low, high = option.metadata["low"], option.metadata["high"]
        unit = f" {option.metadata['unit']}" if option.metadata["unit"] else ""
        choices = option.metadata["choices"]
        if isinstance(value, float) and not math.isfinite(value):
            self._note(path, "is not a finite number")
        elif low is not None and value < low:
            self._note(path, f"{value} is below {low:g}{unit}")
        elif high is not None and value > high:
            self._note(path, f"{value} is above {high:g}{unit}")
        elif choices and value not in choices:
            self._note(path, f"is none of {', '.join(choices)}")

    def _note(self, path: str, text: str) -> None:
        self.errors.append(Problem(path or "$", text))


NAMES = {str: "a string", int: "a whole number", float: "a number", bool: "true/false"}
"""How a type is called towards people."""


def name_type(value: Any) -> str:
    """Say what a value is, without the value: it may be a secret."""
    if value is None:
        return "null"
    if isinstance(value, Pairs):
        return "an object"
    if isinstance(value, list):
        return "a list"
    return NAMES.get(type(value), type(value).__name__)


def describe_unknown(name: str, known: list[str]) -> str:
    """Say that a name is unknown and which known one is nearest."""
    near = difflib.get_close_matches(name, known, n=1)
    return f"unknown name; did you mean `{near[0]}`?" if near else "unknown name"


def join_path(path: str, name: str) -> str:
    """Return the path of a name inside a place, both safe to print."""
    shown = name if name.isidentifier() and name.isascii() else ascii(name[:64])
    return f"{path}.{shown}" if path else shown


def get_default(option: Field[Any]) -> Any:
    """Return the value of an option that the file does not name."""
    if option.default_factory is not MISSING:
        return option.default_factory()
    return option.default


def _widen(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        return math.inf
