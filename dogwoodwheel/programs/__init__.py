"""Command-line programs and the code that they share."""
