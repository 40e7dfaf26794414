"""An entry that makes each decision from its own, possibly stale, state."""
