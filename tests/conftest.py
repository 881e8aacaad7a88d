"""Generated cases are the same in every run: a failure is the change's, never the day's. HYPOTHESIS=any draws anew."""

import os

from hypothesis import settings

settings.register_profile("same", derandomize=True)
settings.register_profile("any", print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS", "same"))
