"""The command that checks a configuration: output, positions and exit codes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from marigoldtrail.cli.tests.pages import run_program
from marigoldtrail.demo.deployments import TSVETANOV, build_manifest
from marigoldtrail.platform.standin import encode_config, make_engine_route, make_route

MANIFEST = json.dumps(build_manifest(TSVETANOV), indent=1).encode()
ROUTES = (make_route("orders", "/orders", "unsafe", "desk"), make_engine_route("ask", "/ask"))


def encode_routes(version: int = 1, **changes) -> bytes:
    return encode_config(version, routes=list(ROUTES), accounts={"x": ["k"]}, **changes)


def check(folder: Path, data: bytes, *options: str):
    path = folder / "new.json"
    path.write_bytes(data)
    return run_program(["config", "check", str(path), *options])


def test_sound_documents_pass(tmp_path):
    """Guards against errors or false warnings about the documents of the demo and the stand-in."""
    result = check(tmp_path, encode_routes(), "--strict")
    assert (result.exit_code, result.output.count("\n")) == (0, 1), result.output
    assert "routes 1 is valid" in result.output
    report = json.loads(check(tmp_path, MANIFEST, "--json").output)
    # No pipeline of the demo uses billing, tracking or alerts.
    assert report["valid"] and {item["code"] for item in report["findings"]} == {"unused-pool"}
    assert len(report["findings"]) == 3


MALFORMED = {
    "colon": (b'{"version": 1,\n "routes" []}', "2:11"),
    "colon in a manifest": (b'{"number": 1,\n "pipelines" []}', "2:14"),
    "end": (b'{"number": 1,\n', "2:1"),
    "empty": (b"", "1:1"),
    "encoding": (b'{"number": 1,\n "\xc3\xa9\xff": 1}', "2:4"),
    "not a number": (b'{"version": 1,\n "routes": [NaN]}', "2:13"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_json_gives_line_and_column(tmp_path, name):
    """Guards against a stack trace, or a fault that can't be found in a long file."""
    data, position = MALFORMED[name]
    result = check(tmp_path, data)
    assert result.exit_code == 2 and isinstance(result.exception, SystemExit)
    assert f"new.json:{position}: error: " in result.output
    found = json.loads(check(tmp_path, data, "--json").output)["findings"][0]
    assert f"{found['line']}:{found['column']}" == position and found["code"] == "malformed"


@pytest.mark.parametrize(
    "data",
    [b"[" * 100_000, b"[]", b"null", b'{"number": ' + b"1" * 5000 + b"}", b'{"version": 1}'],
    ids=["deep", "list", "null", "digits", "fields"],
)
def test_odd_documents_give_an_error(tmp_path, data):
    """Guards against a stack trace for a document that is JSON and no configuration."""
    result = check(tmp_path, data)
    assert result.exit_code == 2 and isinstance(result.exception, SystemExit)
    assert "error: " in result.output


def test_exit_codes_and_json(tmp_path, monkeypatch):
    """Guards against a script that takes an error, a conflict or a warning for success."""
    monkeypatch.delenv("MARIGOLDTRAIL_API", raising=False)
    current, old_manifest = tmp_path / "current.json", tmp_path / "manifest.json"
    current.write_bytes(encode_routes())
    old_manifest.write_bytes(MANIFEST)
    against = ("--against", str(current))
    extra = {"limits": {"max_body_bytes": 10}}
    unused = {"services": [*json.loads(encode_routes())["services"], {"name": "spare"}]}
    cases = [
        (encode_routes(), against, 0),
        (encode_routes(2, **extra), against, 0),
        (encode_routes(1, **extra), against, 6),
        (encode_routes(2, services=[]), against, 2),
        (encode_routes(**unused), (), 0),
        (encode_routes(**unused), ("--strict",), 2),
        (MANIFEST, against, 2),
        (MANIFEST, ("--against", str(old_manifest)), 0),
        (MANIFEST, ("--against", str(tmp_path / "missing.json")), 2),
        (MANIFEST, (*against, "--in-force", "--api", "127.0.0.1:1"), 2),
        (MANIFEST, ("--in-force",), 2),
        (MANIFEST, ("--in-force", "--api", "127.0.0.1:1"), 5),
    ]
    for data, options, code in cases:
        assert check(tmp_path, data, *options).exit_code == code, (data[:80], options)
    report = json.loads(check(tmp_path, encode_routes(2, **extra), *against, "--json").output)
    assert (report["kind"], report["version"], report["valid"]) == ("routes", 2, True)
    assert report["differences"] == [
        {
            "entry": "limits",
            "change": "changed",
            "field": "max_body_bytes",
            "before": "4194304",
            "after": "10",
        }
    ]


def test_malformed_version_in_force_is_named(tmp_path):
    """Guards against a fault of the version in force that is looked for in the new one."""
    current = tmp_path / "current.json"
    current.write_bytes(b"{")
    result = check(tmp_path, MANIFEST, "--against", str(current))
    assert result.exit_code == 2 and "current.json:1:2: error: " in result.output
