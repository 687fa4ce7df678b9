"""The settings file: all errors are reported at once, each with its path."""

import hashlib
import json
import re
from pathlib import Path
from typing import Any

import json5
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dewridge.settings.loading import (
    LoadedSettings,
    ObjectPairs,
    _decode_document,
    load_settings,
    parse_settings,
)
from dewridge.settings.schema import Settings

EXAMPLES = Path(__file__).parents[3] / "examples"
DIGEST = hashlib.sha256(b"a token").hexdigest()


def make_document() -> dict[str, Any]:
    return {
        "host": {"id": "h", "region": "r", "failure_domain": "zona-a"},
        "platform": {
            "key_value": "http://127.0.0.1:1",
            "host_list": "http://127.0.0.1:2",
            "cloud": "http://127.0.0.1:3",
        },
        "accounts": [{"name": "auditor", "token_sha256": DIGEST}],
    }


def load(document: Any) -> LoadedSettings[Settings]:
    return parse_settings(json.dumps(document).encode())


def find_errors(document: Any) -> dict[str, str]:
    return {problem.path: problem.text for problem in load(document).errors}


def test_all_errors_are_reported_at_once_with_their_paths() -> None:
    # A file contains several mistakes. Reported one at a time, each would cost the
    # operator a restart.
    document = make_document()
    document["host"].pop("region")
    document["host"]["failure_domian"] = "zona-a"
    document["frontend"] = {"port": 70000, "heartbeat": "2", "body_limit": True}
    document["log"] = {"format": "xml"}
    document["accounts"].append({"name": 3})
    errors = find_errors(document)
    assert set(errors) == {
        "host.region",
        "host.failure_domian",
        "frontend.port",
        "frontend.heartbeat",
        "frontend.body_limit",
        "log.format",
        "accounts[1].name",
        "accounts[1].token_sha256",
    }
    assert "did you mean `failure_domain`" in errors["host.failure_domian"]
    assert errors["frontend.port"] == "70000 is above 65535"


def test_a_name_given_twice_is_an_error() -> None:
    # Otherwise the later of two values would silently apply.
    text = json.dumps(make_document())[:-1] + ', "log": {}, "log": {}}'
    loaded = parse_settings(text.encode())
    assert [str(problem) for problem in loaded.errors] == ["log: is given twice"]


def test_checks_across_settings() -> None:
    # Two accounts with the same token can't be distinguished and could read each
    # other's answers. With a retention below the deadline, a key could be removed
    # while its caller still waits, and a retry would run the call twice.
    document = make_document()
    document["accounts"].append({"name": "auditor", "token_sha256": DIGEST.upper()})
    document["operators"] = [{"name": "olga", "token_sha256": "abc"}]
    document["requests"] = {"retention": 300}
    document["frontend"] = {"address": "0.0.0.0"}
    document["peers"] = {"seeds": ["host:1"]}
    errors = find_errors(document)
    assert set(errors) == {
        "accounts[1].name",
        "accounts[1].token_sha256",
        "operators[0].token_sha256",
        "frontend.deadline_limit",
        "frontend.advertised",
        "peers.seeds[0]",
    }
    assert all(DIGEST not in text for text in errors.values())


def test_warnings_do_not_prevent_loading() -> None:
    loaded = load(make_document())
    assert loaded.settings is not None
    assert {problem.path for problem in loaded.warnings} == {"operators", "peers.seeds"}


@pytest.mark.parametrize("name", ["sello-verde", "karoo"])
def test_the_example_settings_are_valid(name: str) -> None:
    loaded = load_settings(EXAMPLES / f"{name}.json")
    assert (loaded.errors, loaded.warnings) == ((), ())


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)
sections = st.sampled_from(
    ["host", "platform", "frontend", "peers", "requests", "accounts", "log", "x"]
)
options = st.sampled_from(["id", "address", "port", "seeds", "retention", "name"])


@given(st.dictionaries(sections, values | st.dictionaries(options, values)))
def test_no_document_breaks_the_loader(changes: dict[str, Any]) -> None:
    loaded = load({**make_document(), **changes})
    assert (loaded.settings is None) == bool(loaded.errors)


@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_no_bytes_break_the_loader(raw: bytes) -> None:
    assert parse_settings(raw).errors


def test_deep_nesting_is_an_error() -> None:
    assert parse_settings(b"[" * 50_000).errors


@given(
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.text()
        | st.floats(allow_nan=False),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=8,
    )
)
@settings(max_examples=50, deadline=None)
def test_plain_json_means_the_same_as_json5(document: Any) -> None:
    # Plain JSON is decoded by another parser than JSON5. If the two differed, a comma
    # at the end of a list could change what the other settings mean.
    # Escaped surrogate pairs are left out: the JSON5 parser does not join them.
    text = json.dumps(document, ensure_ascii=False)
    with_comma = text.join("[]")[:-1] + ",]"
    assert _decode_document(text) == json5.loads(text, object_pairs_hook=ObjectPairs)
    assert _decode_document(with_comma) == [_decode_document(text)]


@pytest.mark.parametrize("has_options", [True, False])
def test_the_deployed_template_renders_to_plain_json(has_options: bool) -> None:
    # Only plain JSON is decoded without importing the JSON5 parser, which delayed the
    # first answer of a process that starts on half a core by a tenth of a second.
    template = (EXAMPLES.parent / "deploy" / "settings.json").read_text()
    shown = r"\2" if has_options else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", shown, template)
    text = re.sub(r"\{\{[\w.]+\|json\}\}", "1", text)
    text = re.sub(r"\{\{[\w.]+\}\}", "1", text)
    document = json.loads(text)
    assert ("directory" in document["listen"]) == has_options
    assert ("usage_due" in document["bounds"]) == has_options
