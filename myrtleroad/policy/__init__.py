"""All decisions of a front. No I/O, no protocol and no clock of its own: times are arguments."""
