"""Benchmarks: policies in simulated time, and the real processes under load."""
