"""Builders of test data: keys, the operators' text, settings."""

import base64
import hashlib
import json

import yaml

__all__ = [
    "TextBuilder",
    "coordinator_settings",
    "digest_of",
    "gateway_settings",
    "kept",
    "key_of",
    "stored",
]

SALT = "5a17"


def key_of(name, secret="secret"):
    """Return the key that a caller sends."""
    return f"dw-{name}-{secret}"


def digest_of(salt, secret):
    """Return the digest of a key's secret, as the text declares it."""
    data = bytes.fromhex(salt) + secret.encode()
    return hashlib.sha256(data).hexdigest()


class TextBuilder:
    """Builds the operators' text, field by field.

    Examples
    --------
    >>> text = TextBuilder().zone("zone-a").text()
    >>> "zone-a" in text
    True
    """

    def __init__(self):
        self.maps = {
            name: {}
            for name in (
                "zones",
                "services",
                "endpoints",
                "models",
                "adapters",
                "customers",
                "classes",
            )
        }
        self.rest = {}

    def zone(self, name, **fields):
        """Declare an availability zone."""
        fields = {"region": "region-a", "state": "in", **fields}
        return self._put("zones", name, fields)

    def models(self, name, **fields):
        """Declare a service of model engines."""
        return self._put("services", name, {"kind": "models", **fields})

    def plain(self, name, **fields):
        """Declare a plain service."""
        return self._put("services", name, {"kind": "plain", **fields})

    def endpoint(self, name, service, zone, address, **fields):
        """Declare an endpoint VM."""
        place = {"service": service, "zone": zone, "address": address}
        return self._put("endpoints", name, {**place, **fields})

    def model(self, name, service, **fields):
        """Declare a model."""
        fields = {"version": "1", "size_mb": 100, **fields}
        return self._put("models", name, {"service": service, **fields})

    def adapter(self, name, base, **fields):
        """Declare an adapter."""
        fields = {"version": "1", "size_mb": 1, **fields}
        return self._put("adapters", name, {"base": base, **fields})

    def customer(self, name, keys=None, **fields):
        """Declare a customer; its one key is named as it, by default.

        Parameters
        ----------
        name : str
        keys : dict of str to str, optional
            Secrets by the key's name.
        """
        secrets = {name: "secret"} if keys is None else keys
        shown = [
            {"name": key, "salt": SALT, "digest": digest_of(SALT, secret)}
            for key, secret in secrets.items()
        ]
        fields = {"rate": 100_000, "burst": 100_000, **fields}
        return self._put("customers", name, {**fields, "keys": shown})

    def priority(self, name, rank):
        """Declare a priority class."""
        return self._put("classes", name, {"rank": rank})

    def weight_store(self, **fields):
        """Declare the weight store's limits."""
        self.rest["weight_store"] = fields
        return self

    def partitions(self, count):
        """Declare the number of partitions."""
        self.rest["partitions"] = count
        return self

    def change(self, kind, name, **fields):
        """Change fields of what was declared."""
        self.maps[kind][name].update(fields)
        return self

    def drop(self, kind, name):
        """Take a declaration out."""
        del self.maps[kind][name]
        return self

    def text(self):
        """Return the text."""
        maps = {name: items for name, items in self.maps.items() if items}
        return yaml.safe_dump({**maps, **self.rest}, sort_keys=False)

    def _put(self, kind, name, fields):
        self.maps[kind][name] = fields
        return self


def stored(value, change="test"):
    """Return a row's value as it goes to the platform's store."""
    data = json.dumps({"change": change, "value": value}).encode()
    return base64.b64encode(data).decode()


def kept(data):
    """Return the value of a row that the platform's store keeps."""
    return json.loads(base64.b64decode(data))["value"]


def coordinator_settings(entry, platform, dial):
    """Return the settings of an entry's coordinator.

    Parameters
    ----------
    entry : features.fleet.Entry
    platform : str
        ``IP:PORT`` of the platform's store.
    dial : dict of str to str
        Addresses that are reached by another one.
    """
    return {
        "name": entry.name,
        "zone": entry.zone,
        "peer": {"bind": entry.peer, "address": entry.peer},
        "public": entry.gateways,
        "admin": entry.admin,
        **_common(platform, dial),
        **entry.extra,
    }


def gateway_settings(entry, index, platform, dial):
    """Return the settings of one of an entry's gateways."""
    return {
        "name": f"{entry.name}-gateway-{index}",
        "zone": entry.zone,
        "bind": entry.gateways[index],
        "coordinator": entry.peer,
        "admin": entry.admins[index],
        **_common(platform, dial),
        **entry.extra,
    }


def _common(platform, dial):
    return {
        "platform": {"store": platform},
        "dial": dial,
        "log": {"format": "text", "level": "debug"},
    }
