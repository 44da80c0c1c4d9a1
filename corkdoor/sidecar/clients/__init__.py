"""The client side of the sidecar: connections, requests and responses."""
