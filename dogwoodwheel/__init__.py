"""Serve rarely used models for small organisations."""

__version__ = "0.1.0"
