"""Adapter that puts the decision module on the simulator's wire."""
