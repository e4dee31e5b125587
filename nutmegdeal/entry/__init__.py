"""The entry process: accepts callers' requests and routes them to replicas."""
