"""Work on the pieces of stages: one scheduler for each service gathers those of all entries."""

from marigoldtrail.pieces.client import PieceClient
from marigoldtrail.pieces.runner import PieceCall
from marigoldtrail.pieces.scheduler import Piece, PieceJob, PieceResult, PieceScheduler, Worker
from marigoldtrail.pieces.service import PieceService

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
