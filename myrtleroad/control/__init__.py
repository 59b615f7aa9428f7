"""The control service: distributes configuration versions to fronts, ring by ring, and halts a rollout
that fails."""
