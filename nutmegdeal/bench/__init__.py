"""Measurements: the policy in simulated time, and the real processes under load."""
