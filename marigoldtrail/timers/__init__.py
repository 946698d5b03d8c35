"""Timer service: the only place that reads clocks."""

from marigoldtrail.timers.service import Ticks, Timers
from marigoldtrail.timers.signal import Signal

__all__ = ["Signal", "Ticks", "Timers"]
