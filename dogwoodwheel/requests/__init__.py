"""Admission, dispatch and answers of callers' requests."""
