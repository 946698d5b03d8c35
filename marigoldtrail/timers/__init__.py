"""Timer service; all other modules read clocks through it."""

from marigoldtrail.timers.guard import run_guarded
from marigoldtrail.timers.service import Ticks, Timers
from marigoldtrail.timers.signal import Signal

__all__ = ["Signal", "Ticks", "Timers", "run_guarded"]
