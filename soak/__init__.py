"""A seeded soak: real fronts as processes on loopback, between stand-ins of all they meet, under faults.

``python -m soak`` plays seeds. Each module has one job: ``deployment`` says what a front is told;
``servers``, ``discovery``, ``platform`` and ``clients`` are the stand-ins; ``fronts`` starts and signals the
processes; ``play`` puts one run together; ``records`` holds what was seen, and ``judge`` decides on the rules
from these records alone."""
