"""The emulated discovery: a server that responds to polls and watches with endpoint lists, one at a time.

Polls and responses have the format that the protocol's section on discovery states. What the protocol leaves
open is a parameter: the service time of a poll and of a byte, and how long a poll may wait in the queue.
"""
