"""Decide which endpoint VM holds which model."""
