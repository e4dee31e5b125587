"""Names, formats and calls of the users' platform, decoded into our own types.

Nothing in this package decides anything, and no other package knows these names.
"""
