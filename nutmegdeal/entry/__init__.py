"""The entry: receives callers' requests, chooses replicas and answers."""
