"""Randomized soak test: the real programs as processes, with injected faults."""
