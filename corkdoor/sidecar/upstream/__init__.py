"""Connections to endpoints: HTTP/1.1 exchanges, connection pools, and the attempts that use them."""
