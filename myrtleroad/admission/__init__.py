"""Admission control and request accounting, so that each request gets one final response by its deadline.

No I/O and no clock: times are arguments in ms. See ``docs/design/answers.md``.
"""
