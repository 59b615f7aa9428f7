"""Which number a version gets, and whether it travels as a text or as a difference. Free of I/O."""

from myrtleroad.config.entries import Delta

FIRST_EPOCH = 1
BYTES_PER_ENTRY = (
    40  # bytes that an entry takes in a text, about: a difference as long as the text saves nothing
)


class NumberTaken(Exception):
    """The number was given out before; its text says which is free."""


def next_number(wanted: int | None, last: int) -> int:
    """The number of a version: the one its text wants, or for a roll-back (None) the next. Raises Taken where
    that does not go up."""
    if wanted is None:
        return last + 1
    if wanted <= last:
        raise NumberTaken(f"version {wanted}, but {last} has been published; number it {last + 1}")
    return wanted


def worth_as_difference(delta: Delta, text_bytes: int) -> bool:
    """Whether a difference is worth sending in place of a text of so many bytes."""
    return BYTES_PER_ENTRY * len(delta) < text_bytes
