"""The programs and what they share."""
