"""Documentation pages generated from declarations in the code.

`python -m dewridge.commands.pages` writes them. A test checks that the committed
pages are up to date.
"""

from collections.abc import Iterator
from dataclasses import is_dataclass
from pathlib import Path
from typing import Any, get_args, get_origin

from dewridge.codes import CODE_TABLE
from dewridge.commands.options import ExitStatus
from dewridge.settings.loading import get_default, list_options
from dewridge.settings.schema import Settings

DOCS = Path(__file__).parents[2] / "docs"
GENERATED_NOTICE = (
    "<!-- Made by `python -m dewridge.commands.pages`; edit the code instead. -->\n"
)

STATUS_MEANINGS = {
    ExitStatus.DONE: "Done as asked.",
    ExitStatus.FAILED: "It ran and failed.",
    ExitStatus.USAGE: "A wrong call: an option, a file or the settings.",
    ExitStatus.NOT_RUN: "Refused: nothing was run or changed. Come back later.",
    ExitStatus.UNKNOWN: "The outcome is unknown. Ask again by the key, or read back.",
    ExitStatus.UNREACHABLE: "No entry host could be reached.",
    ExitStatus.CONFLICT: "Someone changed it first. Read it again and redo.",
    ExitStatus.REFUSED: "The token does not allow this, or there is none.",
}


def render_codes_page() -> str:
    """Return the Markdown page of result codes and exit statuses."""
    lines = [
        "# Result codes",
        "",
        GENERATED_NOTICE,
        "Every error of the HTTP interface is a problem document (RFC 9457) with one",
        "of these numbers in `code`, what is known of the request in `outcome`, and",
        "the seconds until it makes sense to come back in `retry_after`.",
        "`dewridge codes 204` shows one of them.",
        "",
        "An answer may carry a more careful `outcome` than the table: a host without",
        "room asks nobody about the key and says `unknown`.",
        "",
        "| Code | Name | HTTP | Outcome | Meaning | What to do |",
        "| ---: | --- | ---: | --- | --- | --- |",
    ]
    for code, entry in CODE_TABLE.items():
        cells = [
            str(int(code)),
            f"`{code.name}`",
            str(entry.http_status),
            f"`{entry.outcome.value}`",
            entry.title,
            entry.advice,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    lines += ["", "## Exit statuses", "", "| Status | Meaning |", "| ---: | --- |"]
    lines += [
        f"| {int(status)} | {meaning} |" for status, meaning in STATUS_MEANINGS.items()
    ]
    return "\n".join([*lines, ""])


def render_settings_page() -> str:
    """Return the Markdown page of settings."""
    lines = [
        "# Settings",
        "",
        GENERATED_NOTICE,
        "The settings file is JSON with comments. `dewridge check-settings FILE` shows",
        "all errors and warnings at once, each with its path in the file.",
        "",
    ]
    for option, value_type in list_options(Settings):
        section = get_section_type(value_type)
        suffix = "[]" if get_origin(value_type) is tuple else ""
        needed = " Required." if option.metadata["required"] else ""
        lines += [f"## `{option.name}{suffix}`", ""]
        lines += [f"{option.metadata['description']}{needed}", ""]
        lines += ["| Setting | Type | Default | Bounds | Meaning |"]
        lines += ["| --- | --- | --- | --- | --- |"]
        lines += list(_render_rows(section))
        lines.append("")
    return "\n".join(lines)


def get_section_type(value_type: Any) -> Any:
    """Return the dataclass of a section, or of the items if it is a list."""
    return value_type if is_dataclass(value_type) else get_args(value_type)[0]


def _render_rows(section: Any) -> Iterator[str]:
    for option, value_type in list_options(section):
        cells = [
            f"`{option.name}`",
            _format_type(value_type),
            _format_default(option),
            _format_bounds(option.metadata),
            option.metadata["description"],
        ]
        yield f"| {' | '.join(cells)} |"


def _format_type(value_type: Any) -> str:
    names = {str: "string", int: "whole number", float: "number", bool: "true/false"}
    if get_origin(value_type) is tuple:
        return f"list of {names[get_args(value_type)[0]]}s"
    return names[value_type]


def _format_default(option: Any) -> str:
    if option.metadata["required"]:
        return "required"
    default = get_default(option)
    if default in ("", ()):
        return "empty"
    unit = option.metadata["unit"]
    number = f"{default:g}" if isinstance(default, float) else str(default)
    return f"{number} {unit}".strip()


def _format_bounds(metadata: Any) -> str:
    if metadata["choices"]:
        return ", ".join(f"`{choice}`" for choice in metadata["choices"])
    if metadata["low"] is None and metadata["high"] is None:
        return ""
    return f"{metadata['low']:,} to {metadata['high']:,} {metadata['unit']}".strip()


PAGES = {"result-codes.md": render_codes_page, "settings.md": render_settings_page}


def write_pages() -> None:
    """Write all generated pages to the documentation folder."""
    DOCS.mkdir(exist_ok=True)
    for name, render_page in PAGES.items():
        (DOCS / name).write_text(render_page())


if __name__ == "__main__":
    write_pages()
