"""Interfaces of the storage services of coordinators and gateways."""
