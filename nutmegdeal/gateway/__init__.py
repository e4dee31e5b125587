"""The gateway: takes callers' requests and sends each to a backend server itself."""
