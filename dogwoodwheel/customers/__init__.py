"""Customers' keys, rates and bursts, and fair queueing of their requests."""
