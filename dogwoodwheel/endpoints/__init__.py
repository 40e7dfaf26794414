"""Limits, health and orders of endpoint VMs."""
