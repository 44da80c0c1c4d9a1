"""The sidecar: hosts one balancer on real sockets."""
