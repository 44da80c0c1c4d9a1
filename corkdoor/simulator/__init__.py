"""The adapter between the balancer and the simulator's line protocol.

It reads events of the simulator as lines, and writes the balancer's actions as lines. Only this package names
the messages and codes of the protocol.
"""
