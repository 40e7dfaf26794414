"""Clients of the services that gateways and coordinators build on."""
