"""Interfaces of the storage services that coordinators and gateways use."""
