"""Adapters to the operators' platform: its HTTP calls and data formats."""
