"""Membership of the fleet, and the partitions that each entry holds."""
