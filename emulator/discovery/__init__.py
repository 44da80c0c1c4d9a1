"""The emulated discovery: endpoint lists, full or by watches, from a server that works through polls in turn.

The forms of polls and responses are those of the protocol's section on discovery. What the protocol leaves
open is a parameter: what a poll and a byte cost discovery, and how long a poll may wait.
"""
