"""Every decision of a front: no I/O, no protocol, no clock of its own."""
