"""The two users at their sizes of today, from their example texts."""

import dataclasses
import itertools
import pathlib

import yaml

from benchmarks import countedfleet
from features import builders

__all__ = ["NAMES", "Profile", "fill"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ("frostline", "kokosfaser")
ENTRIES = 8
PACE_S = 0.02
PARALLEL = 4
PULL_LIMITS = {"frostline": 1.5, "kokosfaser": 3.0}


@dataclasses.dataclass(frozen=True)
class Profile:
    """A user's declaration as data, read from its example.

    Parameters
    ----------
    name : str
    body : dict
        The example's text, parsed.
    """

    name: str
    body: dict

    @classmethod
    def from_name(cls, name):
        """Return the profile of a user."""
        path = ROOT / "examples" / f"{name}.yaml"
        return cls(name, yaml.safe_load(path.read_text()))

    @property
    def models(self):
        """Names of the models, as the example lists them."""
        return tuple(self.body["models"])

    @property
    def adapters(self):
        """Names of the adapters, as the example lists them."""
        return tuple(self.body["adapters"])

    @property
    def customers(self):
        """Declared customers by name."""
        return self.body["customers"]

    @property
    def loads_per_s(self):
        """Loads a second that the weight store allows."""
        return PULL_LIMITS[self.name]

    @property
    def mb_per_s(self):
        """Rate of one pull, so that four at once reach the store's."""
        sizes = [model["size_mb"] for model in self.body["models"].values()]
        mean_mb = sum(sizes) / len(sizes)
        return mean_mb * self.loads_per_s / PARALLEL

    def floor_s(self, model):
        """Return the seconds of one pull of a model, alone."""
        return self.body["models"][model]["size_mb"] / self.mb_per_s

    def key_of(self, customer):
        """Return the key that a customer's callers send."""
        return builders.key_of(_key_name(customer))


def fill(fleet, profile, entries=ENTRIES, idle_s=None):
    """Add a profile's endpoints and entries to a fleet.

    Parameters
    ----------
    fleet : features.fleet.Fleet
    profile : Profile
    entries : int
        Spread over the availability zones in turn.
    idle_s : float, optional
        Declared for every model in place of the example's.

    Returns
    -------
    benchmarks.countedfleet.Text
    """
    body = profile.body
    text = countedfleet.Text()
    text.maps.update(
        zones=body["zones"],
        services=body["services"],
        models=_models(body["models"], idle_s),
        adapters=body["adapters"],
        classes=body["classes"],
    )
    text.rest.update(
        vm_list_lag_s=3.0,
        partitions=body["partitions"],
        weight_store=body["weight_store"],
    )
    for name, fields in body["customers"].items():
        fields = {k: v for k, v in fields.items() if k != "keys"}
        text.customer(name, {_key_name(name): "secret"}, **fields)
    for name, fields in body["endpoints"].items():
        _add_endpoint(fleet, text, name, fields)
    zones = itertools.cycle(body["zones"])
    for index in range(entries):
        fleet.add_entry(f"e{index}", next(zones))
    fleet.platform.call(
        "weights",
        loads_per_s=profile.loads_per_s,
        parallel=PARALLEL,
        mb_per_s=profile.mb_per_s,
        parallel_adapters=body["weight_store"]["parallel_adapters"],
    )
    return text


def _key_name(customer):
    return customer.replace("-", "")


def _models(models, idle_s):
    if idle_s is None:
        return models
    return {name: {**one, "idle_s": idle_s} for name, one in models.items()}


def _add_endpoint(fleet, text, name, fields):
    if "memory_mb" not in fields:
        endpoint = fleet.add_service(name)
    else:
        endpoint = fleet.add_engine(
            name,
            memory_mb=fields["memory_mb"],
            concurrency=fields["concurrency"],
            fresh=fields["fresh_concurrency"],
            fencing=fields["fencing"],
            pace_s=PACE_S,
        )
    text.maps["endpoints"][name] = {**fields, "address": endpoint.address}
