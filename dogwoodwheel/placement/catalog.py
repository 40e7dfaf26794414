"""What the declaration says about models, for placement."""

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
        """Return what to place, or None where it is not declared.

        Notes
        -----
        An adapter takes the form of a small model with as many replicas
        as its base.
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
        """Tell whether an endpoint may receive new work."""
        view = self.fleet.view
        endpoint = view.declaration.endpoints.get(name)
        return endpoint is not None and view.usable(endpoint)

    def possible(self, model):
        """Tell whether an endpoint could hold a model if it were empty."""
        return any(
            endpoint.service == model.service
            and endpoint.memory_mb >= model.size_mb
            and self.usable(endpoint.name)
            for endpoint in self.fleet.view.declaration.endpoints.values()
        )
