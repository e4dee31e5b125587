"""Quantiles of measured values."""


def percentile(values, percent):
    """Return the nearest-rank percentile of a sequence of numbers, 0.0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(index)]
