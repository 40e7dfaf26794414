"""Declared models, adapters and endpoints, as placement needs them."""

import dataclasses

__all__ = ["Catalog"]


class Catalog:
    """Models, adapters and endpoints of the declaration in force.

    Parameters
    ----------
    fleet : dogwoodwheel.membership.fleet.Fleet
    """

    def __init__(self, fleet):
        self.fleet = fleet

    def model(self, name):
        """Return a model or adapter by name, or None if not declared.

        Notes
        -----
        An adapter is returned as a model with the name, version and size
        of the adapter; all else, such as the maximum number of replicas,
        is that of its base model.
        """
        declaration = self.fleet.view.declaration
        if declaration is None:
            return None
        adapter = declaration.adapters.get(name)
        if adapter is None:
            return declaration.models.get(name)
        return dataclasses.replace(
            declaration.models[adapter.base],
            name=name,
            version=adapter.version,
            size_mb=adapter.size_mb,
        )

    def base(self, name):
        """Return the base model of an adapter; empty for a model."""
        adapter = self.fleet.view.declaration.adapters.get(name)
        return adapter.base if adapter else ""

    def usable(self, name):
        """Return whether an endpoint may receive new work."""
        view = self.fleet.view
        endpoint = view.declaration.endpoints.get(name)
        return endpoint is not None and view.usable(endpoint)

    def fits_any_endpoint(self, model):
        """Return whether a usable endpoint, if empty, could hold a model."""
        return any(
            endpoint.service == model.service
            and endpoint.memory_mb >= model.size_mb
            and self.usable(endpoint.name)
            for endpoint in self.fleet.view.declaration.endpoints.values()
        )
