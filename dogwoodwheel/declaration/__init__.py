"""Parse, check and compare the operators' text."""
