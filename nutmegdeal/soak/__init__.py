"""Randomized soak: the real programs as processes, and faults from outside them."""
