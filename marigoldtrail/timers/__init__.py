"""Timer service: the only place that reads clocks."""

from marigoldtrail.timers.service import Ticks, Timers

__all__ = ["Ticks", "Timers"]
