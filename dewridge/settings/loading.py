"""Loads the settings file and reports all errors and warnings at once."""

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import MISSING, Field, dataclass, fields, is_dataclass
from functools import cache
from pathlib import Path
from typing import (
    TYPE_CHECKING,
    Any,
    Generic,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

from dewridge.settings.problems import Problem

if TYPE_CHECKING:
    from dewridge.settings.schema import Settings

Schema = TypeVar("Schema")
Check = Callable[[Schema], tuple[list[Problem], list[Problem]]]
"""Returns the errors and the warnings of settings that fit their schema."""

MAX_FILE_BYTES = 1_000_000
"""Largest settings file. The parser is slow on large input, so the path of a large
unrelated file, given by mistake, would otherwise hang the start."""


@dataclass(frozen=True, slots=True)
class LoadedSettings(Generic[Schema]):
    """The result of loading; `settings` is None if there were errors."""

    settings: Schema | None
    errors: tuple[Problem, ...] = ()
    warnings: tuple[Problem, ...] = ()


class ObjectPairs(list[tuple[str, Any]]):
    """A JSON object as a list of pairs, so that duplicate names can be detected."""


def load_settings(path: Path | str) -> "LoadedSettings[Settings]":
    """Read and validate a settings file of an entry host."""
    from dewridge.settings.checks import check_settings  # noqa: PLC0415
    from dewridge.settings.schema import Settings  # noqa: PLC0415

    return load_file(path, Settings, check_settings)


def load_file(
    path: Path | str, schema: type[Schema], check: Check[Schema]
) -> LoadedSettings[Schema]:
    """Read and validate a settings file of any schema."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        return _make_error_result(f"can't read {path}: {error.strerror or error}")
    return parse_document(raw, schema, check)


def parse_settings(raw: bytes) -> "LoadedSettings[Settings]":
    """Validate the content of a settings file of an entry host."""
    from dewridge.settings.checks import check_settings  # noqa: PLC0415
    from dewridge.settings.schema import Settings  # noqa: PLC0415

    return parse_document(raw, Settings, check_settings)


def parse_document(
    raw: bytes, schema: type[Schema], check: Check[Schema]
) -> LoadedSettings[Schema]:
    """Validate a file's content against a schema and by a check function.

    Returns:
        The settings as an instance of the schema, or the errors.
    """
    if len(raw) > MAX_FILE_BYTES:
        return _make_error_result(f"larger than {MAX_FILE_BYTES} bytes")
    try:
        document = _decode_document(raw.decode())
    except UnicodeDecodeError as error:
        return _make_error_result(f"not UTF-8: byte {error.start}")
    except RecursionError:
        return _make_error_result("nested too deeply")
    except ValueError as error:
        return _make_error_result(f"not JSON: {error}".split("\n", 1)[0][:200])
    reader = _SectionReader()
    settings = reader.read_section(schema, document, "")
    if reader.errors:
        return LoadedSettings(None, tuple(reader.errors))
    errors, warnings = check(settings)
    return LoadedSettings(None if errors else settings, tuple(errors), tuple(warnings))


def _decode_document(text: str) -> Any:
    """Decode JSON5; raises ValueError if the text is invalid.

    Plain JSON is decoded by the standard library: importing the JSON5 parser and
    decoding a gateway's settings with it takes 20 to 50 ms of processor time per start.
    """
    try:
        return json.loads(text, object_pairs_hook=ObjectPairs)
    except json.JSONDecodeError:
        import json5  # noqa: PLC0415

        return json5.loads(text, object_pairs_hook=ObjectPairs)


def _make_error_result(text: str) -> LoadedSettings[Any]:
    return LoadedSettings(None, (Problem("$", text),))


def list_options(section: type) -> Iterator[tuple[Field[Any], Any]]:
    """Yield each option of a section with its resolved type."""
    hints = _get_type_hints(section)
    for option in fields(section):
        yield option, hints[option.name]


@cache
def _get_type_hints(section: type) -> dict[str, Any]:
    return get_type_hints(section)


class _SectionReader:
    """Converts a document by its schema and collects all errors."""

    def __init__(self) -> None:
        self.errors: list[Problem] = []

    def read_section(self, section: type, value: Any, path: str) -> Any:
        """Return a section, or None if the document has errors so far."""
        if not isinstance(value, ObjectPairs):
            self._add_error(path, f"expected an object, got {name_type(value)}")
            return None
        items_by_name = self._collect_names(section, value, path)
        values: dict[str, Any] = {}
        for option, value_type in list_options(section):
            option_path = join_path(path, option.name)
            if option.name in items_by_name:
                values[option.name] = self.read_value(
                    option, value_type, items_by_name[option.name], option_path
                )
            elif option.metadata["required"]:
                self._add_error(
                    option_path, f"is missing. {option.metadata['description']}"
                )
            else:
                values[option.name] = get_default(option)
        return None if self.errors else section(**values)

    def _collect_names(
        self, section: type, pairs: ObjectPairs, path: str
    ) -> dict[str, Any]:
        known_names = [option.name for option in fields(section)]
        items_by_name: dict[str, Any] = {}
        for name, item in pairs:
            if name not in known_names:
                self._add_error(
                    join_path(path, name), describe_unknown(name, known_names)
                )
            elif name in items_by_name:
                self._add_error(join_path(path, name), "is given twice")
            else:
                items_by_name[name] = item
        return items_by_name

    def read_value(
        self, option: Field[Any], value_type: Any, value: Any, path: str
    ) -> Any:
        """Convert one value and check it against its option."""
        if is_dataclass(value_type):
            return self.read_section(value_type, value, path)  # type: ignore[arg-type]
        if get_origin(value_type) is tuple:
            return self._read_list(option, get_args(value_type)[0], value, path)
        return self._read_scalar(option, value_type, value, path)

    def _read_list(
        self, option: Field[Any], value_type: Any, value: Any, path: str
    ) -> tuple[Any, ...]:
        if not isinstance(value, list) or isinstance(value, ObjectPairs):
            self._add_error(path, f"expected a list, got {name_type(value)}")
            return ()
        return tuple(
            self.read_value(option, value_type, item, f"{path}[{index}]")
            for index, item in enumerate(value)
        )

    def _read_scalar(
        self, option: Field[Any], value_type: type, value: Any, path: str
    ) -> Any:
        if value_type is float and type(value) is int:
            value = _convert_to_float(value)
        if type(value) is not value_type:
            self._add_error(
                path, f"expected {TYPE_NAMES[value_type]}, got {name_type(value)}"
            )
            return None
        self._check_bounds(option, value, path)
        return value

    def _check_bounds(self, option: Field[Any], value: Any, path: str) -> None:
        low, high = option.metadata["low"], option.metadata["high"]
        unit = f" {option.metadata['unit']}" if option.metadata["unit"] else ""
        choices = option.metadata["choices"]
        if isinstance(value, float) and not math.isfinite(value):
            self._add_error(path, "is not a finite number")
        elif low is not None and value < low:
            self._add_error(path, f"{value} is below {low:g}{unit}")
        elif high is not None and value > high:
            self._add_error(path, f"{value} is above {high:g}{unit}")
        elif choices and value not in choices:
            self._add_error(path, f"is none of {', '.join(choices)}")

    def _add_error(self, path: str, text: str) -> None:
        self.errors.append(Problem(path or "$", text))


TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true/false",
}
"""Names of the types in error messages."""


def name_type(value: Any) -> str:
    """Return the name of a value's type. The value is left out: it may be a secret."""
    if value is None:
        return "null"
    if isinstance(value, ObjectPairs):
        return "an object"
    if isinstance(value, list):
        return "a list"
    return TYPE_NAMES.get(type(value), type(value).__name__)


def describe_unknown(name: str, known_names: list[str]) -> str:
    """Return an error text for an unknown name, with the closest known name."""
    import difflib  # noqa: PLC0415

    matches = difflib.get_close_matches(name, known_names, n=1)
    return f"unknown name; did you mean `{matches[0]}`?" if matches else "unknown name"


def join_path(path: str, name: str) -> str:
    """Return the path of a name within a section; the name is escaped for printing."""
    shown = name if name.isidentifier() and name.isascii() else ascii(name[:64])
    return f"{path}.{shown}" if path else shown


def get_default(option: Field[Any]) -> Any:
    """Return the default value of an option."""
    if option.default_factory is not MISSING:
        return option.default_factory()
    return option.default


def _convert_to_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        return math.inf
