"""The gateway: accepts callers' requests and sends them directly to backend servers."""
