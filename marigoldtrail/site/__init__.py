"""Hosts of a fleet that finds its members by seeds: settings, start, drain, stop."""

from marigoldtrail.site.adapter import Adapter
from marigoldtrail.site.launch import run_site

__all__ = ["Adapter", "run_site"]
