"""Small stand-ins for the review's cases: standard library only, loopback addresses only."""
