"""Processes of simulated sidecars: the real proxy, decision module and discovery client, without clients.

A simulated sidecar has no server for clients, no connections to endpoints, and no process of its own.
Synthetic requests go directly to the decision module, and a timer stands for each response.
"""
