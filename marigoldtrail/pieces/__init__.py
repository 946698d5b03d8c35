"""Batched execution of stage pieces: one scheduler per service collects those of all entries."""

from marigoldtrail.pieces.client import PieceClient
from marigoldtrail.pieces.job import Piece, PieceJob, PieceResult
from marigoldtrail.pieces.runner import PieceCall
from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.pieces.service import PieceService
from marigoldtrail.pieces.worker import Worker

__all__ = [
    "Piece",
    "PieceCall",
    "PieceClient",
    "PieceJob",
    "PieceResult",
    "PieceScheduler",
    "PieceService",
    "Worker",
]
