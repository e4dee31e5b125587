"""Clients of backend servers: abstract base classes and HTTP implementations."""
