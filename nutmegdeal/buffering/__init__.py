"""Bound on the bytes that a process holds for its callers and for servers."""
