"""Batched execution of stage pieces: one scheduler per service collects those of all entries."""

from typing import TYPE_CHECKING

from marigoldtrail.lazy_exports import make_lazy_getattr
from marigoldtrail.pieces.call import PieceCall
from marigoldtrail.pieces.client import PieceClient
from marigoldtrail.pieces.job import Piece, PieceJob, PieceResult

if TYPE_CHECKING:
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

# Only control hosts schedule.
__getattr__ = make_lazy_getattr(
    __name__,
    {"PieceScheduler": "scheduler", "PieceService": "service", "Worker": "worker"},
)
