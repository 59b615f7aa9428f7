"""The number of a new version, and whether it is sent as a text or as a difference. Does no I/O."""

from myrtleroad.config.entries import Delta

FIRST_EPOCH = 1
BYTES_PER_ENTRY = 40  # approximate size of an entry in a text: a difference as long as the text saves nothing


class NumberTaken(Exception):
    """The number is already in use; the text names the next free one."""


def next_number(wanted: int | None, last: int) -> int:
    """The number of a new version: the one that its text requests, or the next for a rollback (None).
    Raises NumberTaken if the number does not increase."""
    if wanted is None:
        return last + 1
    if wanted <= last:
        raise NumberTaken(
            f"version {wanted} is not higher than the published version {last}; number it {last + 1}"
        )
    return wanted


def worth_as_difference(delta: Delta, text_bytes: int) -> bool:
    """Whether sending a difference takes less than a text of ``text_bytes`` bytes."""
    return BYTES_PER_ENTRY * len(delta) < text_bytes
