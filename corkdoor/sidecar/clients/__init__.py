"""The clients' side of the sidecar: their connections, requests and responses."""
