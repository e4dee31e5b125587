"""Names, formats and calls of the users' platform, decoded into our own types.

This package makes no decisions, and no other package uses the platform's names.
"""
