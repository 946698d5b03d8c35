"""Fixtures of the tests of the soak."""

import pytest

from bench.soak.networks import claim_network


@pytest.fixture
def network():
    """Provide loopback addresses that no other run on this machine uses."""
    with claim_network() as claimed:
        yield claimed
