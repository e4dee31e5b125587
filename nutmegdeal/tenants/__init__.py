"""API keys of callers, and the tenants that hold them."""
