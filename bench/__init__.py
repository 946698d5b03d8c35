"""Benchmarks; each prints its figures, which the documentation cites."""
