"""An entry that decides from its own, possibly outdated, copy of the state."""
