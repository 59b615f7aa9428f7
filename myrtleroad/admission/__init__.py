"""Admission of requests and the accounting of how they end, so that each gets one final response in time.

No I/O and no clock: times are arguments in ms. See ``docs/design/answers.md``.
"""
