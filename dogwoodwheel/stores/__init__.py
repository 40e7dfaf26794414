"""Interfaces of the storage that coordinators and gateways use."""
