"""Emulates the platform around the sidecars: endpoints, clients, discovery, and many simulated sidecars.

This package is not deployed. It imports the sidecar, but the sidecar does not import this package.
"""
