"""Expect exactly the tests that KNOWN-RED.txt lists to fail."""

import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

# Each run tries the same examples, and a busy machine changes no verdict.
settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_LINE = re.compile(r"^\s*test: (\S+::\S+)$", re.MULTILINE)


def pytest_collection_modifyitems(items):
    """Mark listed tests as expected failures; one that passes fails the run."""
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    listed = set(TEST_LINE.findall(text))
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))
