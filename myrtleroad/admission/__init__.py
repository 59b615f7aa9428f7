"""One final answer in time for every req: the account of each, and who is refused at the door.

No I/O and no clock: times are arguments in ms. See ``docs/design/answers.md``.
"""
