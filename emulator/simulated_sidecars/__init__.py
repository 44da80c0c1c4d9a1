"""Processes of simulated sidecars: the real proxy, decision module and discovery client, without clients.

What a simulated sidecar lacks of a real one: the server and its clients, the connections to endpoints, and a
process of its own. Synthetic requests reach the decision module directly, and a response comes by a timer.
"""
