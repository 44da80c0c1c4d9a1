"""Faults for real sidecars on loopback: failing system calls, a fault proxy, and a soak with a test oracle.

The sidecar imports nothing from this package.
"""
