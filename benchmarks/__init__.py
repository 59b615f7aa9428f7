"""Measurements of the project's own parts. Ratios within one run; no figure here is a time to be expected."""
