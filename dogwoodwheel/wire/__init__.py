"""Messages between the programs."""
