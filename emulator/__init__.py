"""Emulates the platform round the sidecars: stand-ins on loopback, real sidecars, and hollow ones.

The sidecar (`corkdoor`) imports nothing of this package; this package imports the sidecar as it is.
"""
