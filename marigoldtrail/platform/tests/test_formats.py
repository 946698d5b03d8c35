"""Decoding and encoding of the platform's formats."""

import msgspec
import pytest

from marigoldtrail.platform.documents import parse_config, parse_instance, parse_page
from marigoldtrail.platform.headers import (
    build_request_headers,
    build_response_headers,
    parse_request,
    parse_response,
)
from marigoldtrail.relay import Forwarding
from marigoldtrail.routing import RouteKind, check_table

ROUTE = {
    "name": "r",
    "host": "A.example",
    "path_prefix": "/x/",
    "kind": "streaming",
    "timeout_ms": 8000,
    "target_latency_ms": 2000,
    "priority": 1,
    "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "max_attempts": 2,
    "stages": [{"service": "p", "after": [], "bytes": 3000000}],
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_aim_ms": 200,
}
SERVICES = [
    {"name": "s", "health_path": "/h", "max_connections": 9, "cold_start_s": 3.0, "cold_per_s": 6.6,
     "engine": {"slots": 64, "kv_capacity": 1000, "models": [{"name": "m"}]}},
    {"name": "t", "health_path": "/h", "max_connections": 9},
    {"name": "p", "max_connections": 9, "pieces": {"slots": 1, "queue": 2, "batch": 4,
     "call_ms": 150.0, "item_ms": 32.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 1}},
]  # fmt: skip
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": SERVICES,
    "limits": {"max_header_bytes": 100, "max_body_bytes": 200, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "x", "api_keys": ["k"], "priority": 1}],
    "field_of_a_later_release": 1,
}  # fmt: skip

encode = msgspec.json.encode


def test_config_is_decoded_into_route_table():
    """Guards against a field that is read under the wrong name or in the wrong unit."""
    table = parse_config(encode(CONFIG))
    assert check_table(table) == []
    route, engine, pieces = table.routes[0], table.services[0], table.services[2].pieces
    assert (table.version, route.hostname, route.kind) == (7, "a.example", RouteKind.STREAMING)
    assert (route.timeout_s, route.target_latency_s, route.max_gap_s) == (8.0, 2.0, 0.2)
    assert route.is_idempotent and [t.weight for t in route.targets] == [90, 10]
    assert (engine.engine.kv_cache_tokens, engine.max_cold_requests_per_s) == (1000, 6.6)
    assert (
        pieces.call_overhead_s,
        pieces.item_s,
        pieces.result_capacity_bytes,
        pieces.result_retention_s,
    ) == (
        0.15,
        0.032,
        18e6,
        4,
    )
    assert table.accounts[0].keys == ("k",) and table.limits.idle_timeout_s == 15.0


def test_malformed_configs_are_refused():
    """Guards against putting a truncated or malformed configuration in force."""
    document = encode(CONFIG)
    assert isinstance(parse_config(document[:-20]), str)
    assert isinstance(parse_config(b"[]"), str)
    assert isinstance(parse_config(b"\xff\xfe"), str)
    assert isinstance(parse_config(encode({**CONFIG, "version": "7"})), str)


def test_unknown_kind_is_never_repeated():
    """Guards against repeating a request whose kind this release does not know."""
    table = parse_config(encode({**CONFIG, "routes": [{**ROUTE, "kind": "new"}]}))
    assert table.routes[0].kind is RouteKind.UNSAFE and not table.routes[0].is_idempotent


def test_invalid_entries_of_the_list_are_left_out():
    """Guards against one invalid entry that makes the whole list unreadable."""
    valid = {"id": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 2,
            "state": "draining", "cold_remaining_ms": 12.5, "version": "v1", "born": 5}  # fmt: skip
    invalid = [
        {**valid, "id": 3},
        {**valid, "address": "nowhere"},
        {**valid, "state": "sleeping"},
        {"id": "i-2"},
        7,
    ]
    body = encode({"instances": [*invalid, valid], "next": "p-50"})
    entries, token = parse_page(body)
    assert [e.upstream for e in entries] == ["i-1"] and token == "p-50"
    assert (entries[0].state, entries[0].born_ms, entries[0].data_centre) == ("draining", 5, "z")
    assert isinstance(parse_page(b"{"), str)
    assert parse_instance(b"\xff") is None


def test_request_headers():
    """Guards against forwarding reserved headers with the caller's values."""
    headers = [
        (b"host", b"a"),
        (b"x-request-id", b"9c41"),
        (b"authorization", b"Token k"),
        (b"x-deadline-ms", b"1500"),
        (b"x-tenant", b"forged"),
        (b"x-hold", b"h"),
        (b"x-pin-ms", b"1"),
        (b"x-kv-backup", b"b"),
        (b"kv-from", b"f"),
        (b"connection", b"x-mine, keep-alive"),
        (b"x-mine", b"1"),
        (b"x-model", b"m"),
        (b"x-token-count", b"1460,80"),
        (b"x-prompt-prefix", b"5c1e:800,91bd:410"),
        (b"x-pieces", b"2,0,8"),
    ]
    info = parse_request(headers)
    assert (info.request_id, info.key, info.deadline_s) == ("9c41", "k", 1.5)
    assert (info.prompt_tokens, info.output_tokens, info.piece_counts) == (1460, 80, (2, 0, 8))
    assert info.prefix == (("5c1e", 800), ("91bd", 410))
    forwarding = Forwarding(
        upstream="i-1", left_s=0.25, account="x", removes_key=True, inputs=("h",)
    )
    sent = dict(build_request_headers(headers, forwarding))
    assert sent[b"x-tenant"] == b"x" and sent[b"x-deadline-ms"] == b"250"
    assert sent[b"x-expect-instance"] == b"i-1" and sent[b"x-inputs"] == b"h"
    assert sent[b"x-prompt-prefix"] == b"5c1e:800,91bd:410" and sent[b"x-request-id"] == b"9c41"
    hidden = {b"authorization", b"x-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from", b"x-mine"}
    assert not hidden & set(sent) and b"connection" not in sent


def test_account_sent_by_the_caller_is_dropped():
    """Guards against an account that a caller claims on a public route."""
    sent = build_request_headers([(b"x-tenant", b"forged")], Forwarding(upstream="i", left_s=1.0))
    assert b"x-tenant" not in dict(sent)


def test_answer_headers():
    """Guards against an undetected refusal, wrong upstream or unsigned answer."""
    refused = [(b"x-not-executed", b"1"), (b"retry-after", b"1.5"), (b"server-leaving", b"1")]
    info = parse_response(503, refused)
    assert info.is_refusal and info.pause_s == 1.5 and info.is_leaving and not info.is_signed
    assert parse_response(200, [(b"retry-after", b"1")]).pause_s is None
    assert not parse_response(200, [(b"server-leaving", b"0")]).is_leaving
    assert parse_response(421, []).is_misdirected
    assert parse_response(409, [(b"x-not-executed", b"1")]).is_missing_inputs
    signed = parse_response(200, [(b"x-response-seal", b"s"), (b"keep-alive", b"timeout=5, max=9")])
    assert signed.is_signed and signed.keep_alive_s == 5.0
    assert parse_response(200, [(b"content-encoding", b"gzip")]).is_encoded
    passed = build_response_headers(
        [(b"x-response-seal", b"s"), (b"content-length", b"3"), (b"te", b"x")]
    )
    assert passed == [(b"x-response-seal", b"s")]


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        (["2.0"], 2.0),
        (["0.5"], 0.5),
        ([" 50 "], 50.0),
        (["0"], 0.0),
        (["999999999"], 999999999.0),
        (["3", "1.5"], 1.5),
        (["soon", "4"], 4.0),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e3"], None),
        (["1,5"], None),
        (["9" * 40], None),
        ([""], None),
        ([], None),
    ],
)
def test_limit_of_an_upstream(values, expected):
    """Guards against a limit that is misread, or ignored beside an invalid one."""
    headers = [(b"server-limit", value.encode()) for value in values]
    assert parse_response(200, headers).requests_per_s == expected


def test_resumption_is_decoded_from_the_headers_of_a_request():
    """Guards against a resumed stream that is taken for a new one."""
    info = parse_request([(b"resumes", b" id-7 "), (b"last-event-id", b"3")])
    assert (info.resumed_id, info.resume_after) == ("id-7", "3")
    assert parse_request([]).resumed_id == ""
