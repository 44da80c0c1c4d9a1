"""Emulated endpoints, many of them in one process. Sidecars send them requests over HTTP/1.1.

An endpoint has the outcomes that the protocol states: 200 for a served request, 500 for an error, 503 or 504
with `Srv-Declined: 1` for a declined request, a refused connection, a reset, and no response. It doesn't
deduplicate requests with the same idempotency key. All endpoints of a process share one core of the machine.
"""
