"""Settings files of hosts on the platform."""

import errno
import json
import re
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from marigoldtrail.cli.app import app
from marigoldtrail.schema import load_schema, parse_site_settings
from marigoldtrail.schema.generated.site import Bounds, SiteSettings
from marigoldtrail.site.settings_file import SettingsFile

GOOD = {
    "host": "front-1",
    "role": "entry",
    "data_centre": "a",
    "region": "r",
    "ip": "10.0.0.1",
    "request_address": "10.0.0.1:80",
    "ready_address": "10.0.0.1:81",
    "internal_ports": [7740, 7755],
    "seeds": ["10.0.0.2:8628"],
    "upstream_list": {"address": "10.9.0.1:80"},
    "bounds": {},
}
TEMPLATE = Path(__file__).parents[3] / "deploy" / "host.json"


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"role": "cook"}, "$.role"),
        ({"request_address": ""}, "$.request_address"),
        ({"role": "control", "data_folder": "/d", "lookup_address": "10.0.0.1:1"}, "$.operator"),
        ({"seeds": ["nowhere"]}, "$.seeds[0]"),
        ({"internal_ports": [1]}, "$.internal_ports"),
        ({"colour": 1}, "colour"),
        ({"ready_address": "10.0.0.1:99999"}, "$.ready_address"),
        ({"ip": "10.0.0.1.1"}, "$.ip"),
        ({"metrics_address": "10.0.0.1:0"}, "$.metrics_address"),
        ({"upstream_list": {"address": "nowhere"}}, "$.upstream_list.address"),
        ({"internal_ports": [7740, 70000]}, "$.internal_ports[1]"),
        ({"bounds": {"grace_s": -1}}, "$.bounds.grace_s"),
        ({"bounds": {"drain_ms": 10**400}}, "$.bounds.drain_ms"),
        ({"bounds": {"grace_s": 10**400}}, "$.bounds.grace_s"),
        ({"host": "\ud800"}, "surrogate"),
    ],
)
def test_faults_of_settings_are_reported(tmp_path, change, path):
    """Guards against a host that starts with invalid settings."""
    file = tmp_path / "node.json"
    file.write_text(json.dumps({**GOOD, **change}))
    faults = SettingsFile(path=str(file)).read()
    assert isinstance(faults, str) and path in faults and str(file) in faults
    result = CliRunner().invoke(app, ["settings", "check", str(file)])
    assert result.exit_code == 2 and path in result.output


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"\xff",
        b"[" * 100_000,
        b'{"seeds":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"x":' * 100_000,
        b'{"bounds":{"grace_s":NaN}}',
        json.dumps({**GOOD, "bounds": {"grace_s": 1}}).replace("1}", "1e999}").encode(),
        json.dumps({**GOOD, "bounds": {"grace_s": 1}}).replace("1}", "9" * 5000 + "}").encode(),
    ],
    ids=lambda text: text[:20].decode("latin-1"),
)
def test_odd_file_is_reported(tmp_path, text):
    """Guards against a reload that ends the process because of a file that can't be decoded."""
    file = tmp_path / "node.json"
    file.write_bytes(text)
    assert isinstance(SettingsFile(path=str(file)).read(), str)


def test_valid_settings_are_accepted(tmp_path):
    """Guards against valid settings being refused."""
    file = tmp_path / "node.json"
    file.write_text(json.dumps(GOOD))
    assert SettingsFile(path=str(file)).read().host == "front-1"
    result = CliRunner().invoke(app, ["settings", "check", str(file), "--json"])
    assert result.exit_code == 0 and json.loads(result.output)["role"] == "entry"
    assert isinstance(SettingsFile(path=str(tmp_path / "none.json")).read(), str)
    assert isinstance(SettingsFile(path="").read(), str)


@pytest.mark.parametrize("name", [f.name for f in msgspec.structs.fields(SiteSettings)])
def test_null_counts_as_left_out(name):
    """Guards against an optional value that a deployment leaves out and that stops the start."""
    without = {key: value for key, value in GOOD.items() if key != name}
    expected = parse_site_settings(json.dumps(without).encode())
    found = parse_site_settings(json.dumps({**GOOD, name: None}).encode())
    assert found == expected
    is_optional = name not in load_schema("site")["required"]
    is_needed = name in ("request_address", "ready_address")
    assert isinstance(found, SiteSettings) == (is_optional and not is_needed)


@pytest.mark.parametrize("name", Bounds.__struct_fields__)
def test_null_bound_counts_as_left_out(name):
    """Guards against a bound that a deployment leaves out and that stops the start."""
    found = parse_site_settings(json.dumps({**GOOD, "bounds": {name: None}}).encode())
    assert found == parse_site_settings(json.dumps(GOOD).encode())


@pytest.mark.parametrize("name", Bounds.__struct_fields__)
def test_fraction_is_accepted_for_a_bound(name):
    """Guards against a host that does not start because a bound is no whole number."""
    found = parse_site_settings(json.dumps({**GOOD, "bounds": {name: 2.5}}).encode())
    assert getattr(found.bounds, name) == 2.5


@pytest.mark.parametrize("text", [b"null", b"[null]", b'{"seeds": [null]}'])
def test_null_that_is_no_member_is_reported(text):
    """Guards against nulls that are dropped where they stand for a value."""
    assert isinstance(parse_site_settings(text), list)


def test_template_has_only_known_fields():
    """Guards against unknown or missing fields in the template of the settings."""
    text = TEMPLATE.read_text()
    filled = re.sub(r'"\{\{[^}]*\}\}(:\d+)?"', '"10.0.0.1:80"', text)
    filled = re.sub(r"\{\{(internal_ports)\|json\}\}", "[1, 2]", filled)
    filled = re.sub(r"\{\{seeds\|json\}\}", '["10.0.0.1:1"]', filled)
    filled = re.sub(r"\{\{bootstrap\|json\}\}", "true", filled)
    filled = re.sub(r"\{\{role\|json\}\}", '"entry"', filled)
    filled = re.sub(r"\{\{(node_name|zone|region|ip)\|json\}\}", '"10.0.0.1"', filled)
    filled = re.sub(r"\{\{[^}]*\|json\}\}", "1", filled)
    settings = parse_site_settings(filled.encode())
    assert not isinstance(settings, list), settings
    assert set(json.loads(filled)) == set(settings.__struct_fields__)


def test_change_that_could_not_be_read_is_read_again(tmp_path, monkeypatch):
    """Guards against changed seeds that are never applied because the disk failed for a moment."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(GOOD))
    file = SettingsFile(path=str(path))
    assert file.read().host == "front-1"
    path.write_text(json.dumps({**GOOD, "host": "front-other"}))

    def fail(path):
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(Path, "read_bytes", fail)
    assert isinstance(file.read(), str)
    monkeypatch.undo()
    assert file.has_changed()
    assert file.read().host == "front-other"


def test_changes_of_the_file_are_detected(tmp_path):
    """Guards against changed seeds that are never applied because no signal was sent."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(GOOD))
    file = SettingsFile(path=str(path))
    assert file.read().host == "front-1"
    assert not file.has_changed()
    path.write_text(json.dumps({**GOOD, "host": "front-other"}))
    assert file.has_changed()
    assert file.read().host == "front-other"
    assert not file.has_changed()
    path.unlink()
    # While the file is being replaced, the current settings stay in force.
    assert not file.has_changed()
