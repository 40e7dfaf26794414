"""Settings of one process, read from a YAML file."""

import dataclasses
import pathlib

from dogwoodwheel.programs import fields as fields_module

__all__ = ["CoordinatorSettings", "GatewaySettings", "OperatorSettings"]

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
LOG_LEVELS = ("trace", "debug", "info", "warning", "error")
LOG_FORMATS = ("text", "json")


class AddressOverrides:
    """Mixin that maps advertised addresses to those to connect to.

    The settings file lists an address in ``dial`` if the process that
    advertises it is only reachable at another, such as a tunnel's.
    """

    def dial_address(self, address):
        """Return the ``IP:PORT`` to connect to for an advertised address.

        Notes
        -----
        The two differ if a tunnel or the proxy of a test is in between.
        """
        return self.dial.get(address, address)


@dataclasses.dataclass(frozen=True)
class CoordinatorSettings(AddressOverrides):
    """Settings of a coordinator.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    zone : str
        Availability zone of the VM.
    peer_bind : str
        ``IP:PORT`` to listen on for peers and gateways.
    peer_address : str
        ``IP:PORT`` at which peers reach the coordinator.
    public_addresses : tuple of str
        ``IP:PORT`` of the entry's gateways, as callers reach them.
    admin : str
        ``IP:PORT`` to listen on for metrics and health checks.
    store : str
        ``IP:PORT`` of the platform's store.
    dial : dict of str to str
        ``IP:PORT`` to connect to by advertised address, where the two
        differ.
    log_format : str
        ``text`` or ``json``.
    log_level : str
        Minimum level of log lines that are written.
    secrets : dict of str to str
        Contents of the files that the map ``secrets`` lists, by name.
    """

    name: str
    zone: str
    peer_bind: str
    peer_address: str
    public_addresses: tuple
    admin: str
    store: str
    dial: dict = dataclasses.field(default_factory=dict)
    log_format: str = "text"
    log_level: str = "info"
    secrets: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_file(cls, path):
        """Read the settings from a YAML file.

        Parameters
        ----------
        path : str or pathlib.Path

        Returns
        -------
        CoordinatorSettings

        Raises
        ------
        SettingsError
            If the file is invalid; the message names the field and the
            remedy.
        """
        fields = fields_module.Fields.from_file(path)
        peer = fields.map("peer")
        bind = peer.read_address("bind")
        values = dict(
            name=fields.read_name("name"),
            zone=fields.read_name("zone"),
            peer_bind=bind,
            peer_address=peer.read_address("address", bind),
            public_addresses=fields.read_addresses("public"),
            admin=fields.read_address("admin"),
            **_platform_settings(fields),
            **_common_settings(fields),
        )
        fields.check_all_read()
        return cls(**values)


@dataclasses.dataclass(frozen=True)
class GatewaySettings(AddressOverrides):
    """Settings of a gateway.

    Parameters
    ----------
    name, zone, admin, store, dial
        As in `CoordinatorSettings`.
    log_format, log_level, secrets
        As in `CoordinatorSettings`.
    bind : str
        ``IP:PORT`` to listen on for callers.
    coordinator : str
        ``IP:PORT`` of the coordinator of this VM.
    max_body_bytes, max_header_bytes : int
        Maximum sizes of the body and of all headers of a request.
    certificate_file, key_file : str
        Files of the TLS certificate and its key; empty for plain HTTP.
    """

    name: str
    zone: str
    bind: str
    coordinator: str
    admin: str
    store: str
    dial: dict = dataclasses.field(default_factory=dict)
    log_format: str = "text"
    log_level: str = "info"
    secrets: dict = dataclasses.field(default_factory=dict)
    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    certificate_file: str = ""
    key_file: str = ""

    @classmethod
    def from_file(cls, path):
        """Read the settings from a YAML file.

        Parameters
        ----------
        path : str or pathlib.Path

        Returns
        -------
        GatewaySettings

        Raises
        ------
        SettingsError
            If the file is invalid; the message names the field and the
            remedy.
        """
        fields = fields_module.Fields.from_file(path)
        values = dict(
            name=fields.read_name("name"),
            zone=fields.read_name("zone"),
            bind=fields.read_address("bind"),
            coordinator=fields.read_address("coordinator"),
            admin=fields.read_address("admin"),
            max_body_bytes=fields.read_positive_int(
                "max_body_bytes", MAX_BODY_BYTES
            ),
            max_header_bytes=fields.read_positive_int(
                "max_header_bytes", MAX_HEADER_BYTES
            ),
            **_platform_settings(fields),
            **_common_settings(fields),
            **_tls_settings(fields),
        )
        fields.check_all_read()
        return cls(**values)


@dataclasses.dataclass(frozen=True)
class OperatorSettings(AddressOverrides):
    """Settings of the operators' command line.

    Parameters
    ----------
    store : str
        ``IP:PORT`` of the platform's store.
    dial : dict of str to str
        As in `CoordinatorSettings`.
    """

    store: str
    dial: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_file(cls, path):
        """Read the settings from a YAML file; raises SettingsError.

        Notes
        -----
        Fields that the command line does not use are allowed, so that
        the settings file of a coordinator or a gateway can be used.
        """
        fields = fields_module.Fields.from_file(path)
        return cls(**_platform_settings(fields), dial=_dial_overrides(fields))


def _platform_settings(fields):
    platform = fields.map("platform")
    return {"store": platform.read_address("store")}


def _dial_overrides(fields):
    dial = fields.map("dial", {})
    overrides = {}
    for address in list(dial.values):
        dial.check_address(address, address)
        overrides[address] = dial.read_address(address)
    return overrides


def _common_settings(fields):
    log = fields.map("log", {})
    secrets = fields.map("secrets", {})
    return {
        "dial": _dial_overrides(fields),
        "log_format": log.read_string("format", "text", LOG_FORMATS),
        "log_level": log.read_string("level", "info", LOG_LEVELS),
        "secrets": {
            name: _read_secret(secrets, name) for name in list(secrets.values)
        },
    }


def _read_secret(secrets, name):
    path = secrets.read_string(name)
    try:
        return pathlib.Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise secrets.error(
            name, f"file {path} cannot be read; name a file that can"
        ) from exc


def _tls_settings(fields):
    if "tls" not in fields.values:
        return {}
    tls = fields.map("tls")
    paths = {
        name: tls.read_string(name)
        for name in ("certificate_file", "key_file")
    }
    for name, path in paths.items():
        if not pathlib.Path(path).is_file():
            raise tls.error(name, f"{path} is no file; name one")
    return paths
