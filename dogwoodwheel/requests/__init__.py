"""Admit, dispatch and answer callers' requests."""
