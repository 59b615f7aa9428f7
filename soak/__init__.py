"""Seeded soak test: real front processes on loopback run against stand-ins for their peers, under faults.

``python -m soak`` runs seeds. ``deployment`` builds the settings and node configuration of a front;
``servers``, ``discovery``, ``platform`` and ``clients`` are the stand-ins; ``fronts`` starts and signals the
processes; ``shim`` makes their system calls fail and manipulates their clocks; ``run`` puts one run together;
``faults`` defines the faults that can be injected into it. ``records`` holds the observations, and
``checker`` checks the rules against these records alone."""
