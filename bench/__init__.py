"""Benchmarks; each prints the figures that the documentation cites."""
