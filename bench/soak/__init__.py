"""
Randomised soak of a site of real processes on loopback addresses.

Faults are injected from outside of the processes, and the promises to callers, operators and
upstreams are checked while it runs; see docs/SOAK.md.
"""
