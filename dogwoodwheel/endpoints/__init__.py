"""Concurrency limits, health, slots and model loads of endpoint VMs."""
