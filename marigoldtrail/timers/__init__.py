"""Timer service; all other modules read clocks through it."""

from marigoldtrail.timers.guard import run_guarded
from marigoldtrail.timers.notifier import Notifier
from marigoldtrail.timers.service import Ticks, Timers

__all__ = ["Notifier", "Ticks", "Timers", "run_guarded"]
