"""Entries, their peers and what each one owns."""
