"""Quotas of tenants, which all gateways share through rows of the store."""
