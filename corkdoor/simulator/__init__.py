"""The adapter to the simulator's wire: lines in, decisions of the balancer, lines out.

Only this package names the messages and codes of the wire.
"""
