"""Following the fleet: how far the list can be trusted, when to ask again, whose word holds.

Nothing here does I/O or reads a clock: times (float ms) and chance are passed in. ``asking`` says how soon
to ask again, ``following`` which streams stand and how fresh their word is, ``book`` what a list changes."""
