"""Following the fleet: how far the list can be trusted, when to ask again, whose word holds.

Nothing here does I/O or reads a clock: times (float ms) and chance are passed in. ``call_backoff`` says how
soon to ask again, ``stream_follower`` which streams stand and how fresh their word is, ``server_list`` what a
list changes."""
