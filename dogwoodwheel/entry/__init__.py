"""An entry that decides alone, from what it knows and how old that is."""
