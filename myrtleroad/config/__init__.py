"""Versions of what operators set: the document, its rules, the ledger of versions, and how they travel.

Everything here is free of I/O, clocks and sockets; time (float ms) and chance are passed in. ``net/`` and
``control/`` carry it out."""
