"""Uses the operators' platform through its HTTP calls and data formats."""
