"""Settings that all tests share."""

from hypothesis import settings

# The same examples in every run and no limit on their time, so that a busy machine or another
# seed does not change the verdict.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.register_profile("search", max_examples=3000, deadline=None, database=None)
settings.load_profile("repeatable")
