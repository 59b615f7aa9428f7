"""Membership: which upstream servers exist, how current that list is, and when to call discovery again.

All modules are free of I/O and never read a clock: times (float ms) and random draws are passed in.
``call_backoff`` computes the pauses between calls, ``stream_follower`` decides which streams to keep and how
fresh their data is, ``server_list`` resolves what a received list changes, ``lease`` bounds how long an
unconfirmed list may be acted on, and ``start_clock`` corrects server start times for a wrong wall clock."""
