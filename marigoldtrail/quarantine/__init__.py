"""Quarantine of requests, and of parts of prompts, that crash the upstreams that answer them."""

from marigoldtrail.quarantine.attempt import PromptAttempt
from marigoldtrail.quarantine.evidence import PromptEvidence
from marigoldtrail.quarantine.fingerprint import (
    is_fingerprint,
    list_parts,
    make_fingerprint,
    make_stage_part,
)
from marigoldtrail.quarantine.guard import PromptGuard

__all__ = [
    "PromptAttempt",
    "PromptEvidence",
    "PromptGuard",
    "is_fingerprint",
    "list_parts",
    "make_fingerprint",
    "make_stage_part",
]
