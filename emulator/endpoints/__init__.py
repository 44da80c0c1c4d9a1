"""Emulated endpoints, many in one process of their own: HTTP/1.1 as sidecars speak it to endpoints.

An endpoint keeps to the outcomes of the protocol: 200 served, 500 error, 503 and 504 with `Srv-Declined: 1`
declined, a refused connection, a reset, and silence. It doesn't drop repeats of a request with an idempotency
key, and one core of this machine carries all endpoints of a process.
"""
