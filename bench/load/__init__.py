"""
An open-loop load driver: ``python -m bench.load PLAN``.

Requests are sent at times drawn from a seeded ``Random``, whether or not earlier ones
have been answered, so that a slow system does not reduce its own load. The results are
printed as one JSON object that contains each answer.
"""
