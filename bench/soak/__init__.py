"""
Randomised soak test of a site of real processes on loopback addresses.

Faults are injected from outside the processes, and the promises to callers, operators and upstreams
are checked during the run; see docs/SOAK.md.
"""
