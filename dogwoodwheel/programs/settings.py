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
    """Mixin that replaces addresses of other processes by those to dial."""

    def dial_address(self, address):
        """Return the address to dial for ``IP:PORT``.

        Notes
        -----
        The address to dial differs if a tunnel or the proxy of a test is
        in between.
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
    public : tuple of str
        ``IP:PORT`` of the entry's gateways, as callers reach them.
    admin : str
        ``IP:PORT`` to listen on for metrics and health checks.
    store : str
        ``IP:PORT`` of the platform's store.
    dial : dict of str to str
        Address to dial by advertised address, where they differ.
    log_format : str
        ``text`` or ``json``.
    log_level : str
    secrets : dict of str to str
        Contents of the files that the ``secrets`` map refers to.
    """

    name: str
    zone: str
    peer_bind: str
    peer_address: str
    public: tuple
    admin: str
    store: str
    dial: dict = dataclasses.field(default_factory=dict)
    log_format: str = "text"
    log_level: str = "info"
    secrets: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_file(cls, path):
        """Read settings.

        Parameters
        ----------
        path : str or pathlib.Path

        Returns
        -------
        CoordinatorSettings

        Raises
        ------
        SettingsError
            In one line, with the field and the remedy.
        """
        fields = fields_module.Fields.from_file(path)
        peer = fields.map("peer")
        bind = peer.address("bind")
        values = dict(
            name=fields.name("name"),
            zone=fields.name("zone"),
            peer_bind=bind,
            peer_address=peer.address("address", bind),
            public=fields.addresses("public"),
            admin=fields.address("admin"),
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
        Maximum size of a caller's request.
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
        """Read settings.

        Parameters
        ----------
        path : str or pathlib.Path

        Returns
        -------
        GatewaySettings

        Raises
        ------
        SettingsError
            In one line, with the field and the remedy.
        """
        fields = fields_module.Fields.from_file(path)
        values = dict(
            name=fields.name("name"),
            zone=fields.name("zone"),
            bind=fields.address("bind"),
            coordinator=fields.address("coordinator"),
            admin=fields.address("admin"),
            max_body_bytes=fields.positive_int(
                "max_body_bytes", MAX_BODY_BYTES
            ),
            max_header_bytes=fields.positive_int(
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
    """

    store: str
    dial: dict = dataclasses.field(default_factory=dict)

    @classmethod
    def from_file(cls, path):
        """Read settings; raises SettingsError.

        Notes
        -----
        Other fields are allowed, so that the settings file of a
        coordinator or a gateway can be used.
        """
        fields = fields_module.Fields.from_file(path)
        return cls(**_platform_settings(fields), dial=_dial_overrides(fields))


def _platform_settings(fields):
    platform = fields.map("platform")
    return {"store": platform.address("store")}


def _dial_overrides(fields):
    dial = fields.map("dial", {})
    overrides = {}
    for address in list(dial.values):
        dial.check_address(address, address)
        overrides[address] = dial.address(address)
    return overrides


def _common_settings(fields):
    log = fields.map("log", {})
    secrets = fields.map("secrets", {})
    return {
        "dial": _dial_overrides(fields),
        "log_format": log.text("format", "text", LOG_FORMATS),
        "log_level": log.text("level", "info", LOG_LEVELS),
        "secrets": {
            name: _read_secret(secrets, name) for name in list(secrets.values)
        },
    }


def _read_secret(secrets, name):
    path = secrets.text(name)
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
    paths = {name: tls.text(name) for name in ("certificate_file", "key_file")}
    for name, path in paths.items():
        if not pathlib.Path(path).is_file():
            raise tls.error(name, f"{path} is no file; name one")
    return paths
