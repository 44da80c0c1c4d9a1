"""Emulates the platform around the sidecars: endpoints, clients and discovery, and many simulated sidecars.

Nothing of it is deployed: the sidecar imports nothing of this package, and this package imports the sidecar.
"""
