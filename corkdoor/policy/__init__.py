"""The decisions of a sidecar, one concern a module; `corkdoor/balancer.py` puts them together."""
