"""Clients of the platform services: table, object store and host list."""
