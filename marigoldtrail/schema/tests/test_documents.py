"""Test the strict parsing of settings and manifests."""

import json

from marigoldtrail.schema import parse_manifest, parse_settings

SETTINGS = {
    "host": "a",
    "data_centre": "nbo-1",
    "roles": ["entry", "control"],
    "peer_address": "127.0.0.1:7000",
    "api_address": "127.0.0.1:8000",
    "data_folder": "data",
    "control_hosts": [{"host": "a", "data_centre": "nbo-1", "peer_address": "127.0.0.1:7000"}],
}


def encode(**changes: object) -> bytes:
    return json.dumps({**SETTINGS, **changes}).encode()


def test_valid_settings_get_their_defaults():
    settings = parse_settings(encode())
    assert not isinstance(settings, list)
    assert settings.max_body_bytes == 1048576
    assert settings.telemetry.log_level == "info"


def test_unknown_setting_is_refused():
    """Guards against a misspelt setting that is silently ignored."""
    (fault,) = parse_settings(encode(colour="red"), "node.json")
    assert str(fault).startswith("node.json: $: ") and "colour" in fault.message


def test_fault_names_path_and_value():
    (fault,) = parse_settings(encode(max_body_bytes=0), "node.json")
    assert fault.path == "$.max_body_bytes" and fault.value == "0"


def test_rules_across_settings_are_checked():
    (fault,) = parse_settings(encode(data_folder=""))
    assert fault.path == "$.data_folder"
    (fault,) = parse_settings(encode(host="z"))
    assert fault.path == "$.control_hosts"


def test_malformed_json_gives_one_fault():
    """Guards against crashes on duplicate keys, deep nesting, truncation, bad UTF-8 and NaN."""
    for data in (b'{"host": 1, "host": 2}', b"[" * 100_000, b'{"host":', b"\xff", b"NaN"):
        (fault,) = parse_settings(data)
        assert fault.path == "$" and fault.message
    (fault,) = parse_manifest(b'{"a":' * 40 + b"1" + b"}" * 40)
    assert "levels deep" in fault.message
