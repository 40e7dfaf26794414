"""Parse, validate, compare and edit the configuration text."""
