"""Configuration versions that operators publish: the document format, its rules, the ledger of versions and
the frames in which they travel.

Nothing here does I/O or uses clocks and sockets; time (float ms) and randomness are passed in. ``net/``
and ``control/`` carry out the results."""
