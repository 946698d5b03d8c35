"""Timer service: the only place that reads clocks."""

from marigoldtrail.timers.guard import run_guarded
from marigoldtrail.timers.service import Ticks, Timers
from marigoldtrail.timers.signal import Signal

__all__ = ["Signal", "Ticks", "Timers", "run_guarded"]
