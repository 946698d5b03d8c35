"""Configurations with values that hosts could not use or send."""

import copy
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldtrail.control.commands import PutManifest, decode_command, encode_command
from marigoldtrail.platform.documents import parse_config
from marigoldtrail.platform.tests.standin import KEY, Site, config
from marigoldtrail.platform.tests.test_formats import CONFIG
from marigoldtrail.registry.operator_changes import check_document
from marigoldtrail.routing import RouteTable
from marigoldtrail.routing.bounds import clamp_table

encode = msgspec.json.encode
# Values that no number of a configuration may have.
HUGE = ["1" + "0" * 30, "-1" + "0" * 30, "1e300", "-1e300", "1e999", "1" + "0" * 400, "NaN",
        "1" + "0" * 5000]  # fmt: skip


def find_numbers(value, path=()):
    """Yield the paths of all numbers in a JSON value that the configuration reads."""
    if isinstance(value, dict):
        for key, field in value.items():
            if key not in ("field_of_a_later_release", "link_mbps"):
                yield from find_numbers(field, (*path, key))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from find_numbers(item, (*path, number))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


def replace(path, value):
    """Return a configuration with another value at a path."""
    cfg = copy.deepcopy(CONFIG)
    target = cfg
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return encode(cfg)


@pytest.mark.parametrize(
    "path", list(find_numbers(CONFIG)), ids=lambda path: ".".join(map(str, path))
)
def test_numbers_that_are_too_large_are_refused(path):
    """Guards against an accepted number that stops the leader, the scheduler, or an entry."""
    for text in HUGE:
        document = replace(path, msgspec.Raw(text.encode()))
        checked = check_document(parse_config, document)
        if path[-1] == "max_attempts" and text.startswith("-10"):
            assert checked.routes[0].max_attempts == 1
        else:
            assert isinstance(checked, list) and len(str(checked)) < 1000


@given(st.sampled_from(list(find_numbers(CONFIG))), st.integers() | st.floats(allow_nan=False))
def test_accepted_configuration_can_be_sent_and_read_back(path, value):
    """Guards against a configuration that is acknowledged and then can't be stored or sent."""
    document = replace(path, value)
    checked = check_document(parse_config, document)
    if isinstance(checked, list):
        return
    assert clamp_table(checked) == checked
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(checked), type=RouteTable) == checked
    command = PutManifest(
        number=checked.version, digest="", document=zlib.compress(document), concurrent_loads=0,
        operator="", wall_ms=0,
    )  # fmt: skip
    assert decode_command(encode_command(command)) == command


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), 0),
        (("version",), -1),
        (("version",), 2**53 + 1),
        (("services", 0, "engine", "slots"), 0),
        (("services", 2, "pieces", "batch"), 0),
        (("services", 2, "pieces", "slots"), -1),
        (("services", 2, "pieces", "call_ms"), -1.0),
        (("services", 0, "max_connections"), 0),
        (("limits", "idle_timeout_ms"), 0),
        (("limits", "max_header_bytes"), 0),
        (("routes", 0, "split", 0, "weight"), -1),
        (("routes", 0, "stages", 0, "bytes"), -1),
        (("routes", 0, "stages", 0, "after"), [-1]),
        (("routes", 0, "stages", 0, "after"), [10**30]),
        (("routes", 0, "stages"), [{"service": "p"}] * 257),
        (("routes", 0, "name"), ""),
        (("tenants", 0, "name"), "x\r\ny: z"),
        (("tenants", 0, "name"), " x"),
        (("services", 1, "name"), "t\0"),
        (("services", 1, "name"), msgspec.Raw(b'"\\ud800"')),
        (("tenants", 0, "api_keys"), [msgspec.Raw(b'"\\ud800"')]),
        (("routes", 0, "host"), msgspec.Raw(b'"\xff"')),
    ],
    ids=lambda value: ascii(value)[:24],
)
def test_values_that_no_host_can_use_are_refused(path, value):
    """Guards against a value that divides by zero, waits for ever, or breaks a header."""
    assert isinstance(check_document(parse_config, replace(path, value)), list)


def test_refusal_of_many_faults_can_be_sent():
    """Guards against an invalid configuration that gets 503, since its faults are too large."""
    route = {**CONFIG["routes"][0], "name": "\n" * 1_000_000}
    for routes in ([route] * 3, [{**CONFIG["routes"][0], "timeout_ms": 0}] * 5000):
        faults = check_document(parse_config, encode({**CONFIG, "routes": routes}))
        assert isinstance(faults, list) and 0 < len(encode(faults)) < 65536


async def test_odd_configurations_get_400_and_change_nothing(autojump_clock, nursery):
    """Guards against a configuration that gets 5xx for ever, or ends or stops a host."""
    site = Site(nursery)
    await site.start()
    assert await site.put_config(config(1)) == 200
    sound = config(2)
    odd = [
        sound.replace(b'"version":2', b'"version":' + number)
        for number in (b"18446744073709551616", b"1" + b"0" * 30, b"-1", b"0", b"1e999")
    ]
    # Half of these depths are under the recursion limit of the interpreter.
    odd += [sound[:-1] + b',"x":' + b"[" * n + b"]" * n + b"}" for n in (70, 400, 900, 5000)]
    odd += [
        sound[:-1] + b',"x":' + text + b"}" for text in (b'"\\ud800"', b"NaN", b"\xff", b'"\xff"')
    ]
    for document in odd:
        assert await site.put_config(document) == 400, document[:80]
    status, _, body = await site.http(f"{site.control[0]}:8628", "GET", "/-/config")
    assert (status, body) == (200, config(1))
    accounts = [{"name": f"a-{n}", "api_keys": [f"k-{n}"]} for n in range(1000)]
    large = config(2, tenants=[*accounts, {"name": "acme", "api_keys": [KEY]}])
    assert await site.put_config(large) == 200
    status, _, body = await site.http(f"{site.control[1]}:8628", "GET", "/-/config")
    assert (status, body) == (200, large)

    async def is_served():
        reply = await site.send_request("/plain/1")
        return reply is not None and reply[0] == 200

    await site.wait(is_served)
