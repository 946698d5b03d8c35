"""What several modules of tests of the soak use."""

from bench.soak.ledger import Ledger

SECONDS = 5.0
SERVICES = {"desk-0": "desk", "desk-1": "desk", "llm-2": "llm"}


def make_ledger():
    return Ledger(account="acme", key="secret")
