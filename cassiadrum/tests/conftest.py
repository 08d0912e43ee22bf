"""Settings that hold for all tests."""

from hypothesis import settings

# Random examples would let the same commit pass once and fail once.
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")
