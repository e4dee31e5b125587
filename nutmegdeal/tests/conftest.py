"""Test configuration: hypothesis explores the same examples on every run."""

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile("search", deadline=None, max_examples=2_000, print_blob=True)
settings.load_profile(os.environ.get("NUTMEGDEAL_PROFILE", "ci"))
