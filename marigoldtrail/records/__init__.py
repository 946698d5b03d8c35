"""Replicated state machine of record groups: claims and result records."""

from marigoldtrail.records.claim import ClaimResult, ClaimState, Location, SettledBy
from marigoldtrail.records.claims import ClaimTable
from marigoldtrail.records.group import RecordGroup
from marigoldtrail.records.machine import RecordMachine, encode_command
from marigoldtrail.records.search import export_records, record_to_json
from marigoldtrail.records.segments import SegmentStore
from marigoldtrail.records.service import RecordService
from marigoldtrail.records.sweeper import LogGroup, Outcome, Sweeper

__all__ = [
    "ClaimResult",
    "ClaimState",
    "ClaimTable",
    "Location",
    "LogGroup",
    "Outcome",
    "RecordGroup",
    "RecordMachine",
    "RecordService",
    "SegmentStore",
    "SettledBy",
    "Sweeper",
    "encode_command",
    "export_records",
    "record_to_json",
]
