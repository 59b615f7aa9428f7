"""The control service: hands versions out to fronts, ring by ring, and halts by itself."""
