"""Adapter between the decision module and the simulator's line protocol."""
