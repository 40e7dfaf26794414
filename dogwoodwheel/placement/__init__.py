"""Placement of models on endpoint VMs."""
