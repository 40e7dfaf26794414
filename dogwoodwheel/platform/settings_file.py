"""Reads the settings file that the platform writes for an entry process."""

import os
import pathlib

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.platform import decoding

__all__ = ["path", "read"]

PATH_VARIABLE = "DOGWOODWHEEL_BOOT"
# Field portRange gives a range of ports that are free on each VM.  An entry
# uses the ports at these offsets from the first port of the range.
PEERS_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
MS_PER_S = 1000.0
BYTES_PER_MB = 1024 * 1024


def path():
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If environment variable `PATH_VARIABLE` is not set.
    """
    try:
        return pathlib.Path(os.environ[PATH_VARIABLE])
    except KeyError:
        raise exceptions.SettingsError(
            f"environment variable {PATH_VARIABLE} is not set; "
            f"set it to the path of the settings file"
        ) from None


def read(file):
    """Return the settings that a settings file contains.

    Parameters
    ----------
    file : pathlib.Path

    Returns
    -------
    dogwoodwheel.entry.datatypes.Settings

    Raises
    ------
    SettingsError
        If the file cannot be read, or a field is missing or malformed.
    """
    try:
        fields = _parse_fields(file.read_text())
        return _build_settings(fields)
    except OSError as exc:
        raise exceptions.SettingsError(f"{file}: {exc}") from exc
    except KeyError as exc:
        raise exceptions.SettingsError(
            f"{file}: field {exc} is missing; the platform must write it"
        ) from exc
    except ValueError as exc:
        raise exceptions.SettingsError(f"{file}: {exc}") from exc


def _parse_fields(text):
    fields = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            fields[name.strip()] = value.strip()
    return fields


def _build_settings(fields):
    first_port = decoding.parse_digits(
        fields["portRange"].partition(",")[0].strip(),
        decoding.MAX_PORT - METRICS_PORT_OFFSET,
    )
    if not first_port:
        raise ValueError("field portRange is no range of ports")
    ip = fields["ip"]
    return datatypes.Settings(
        name=fields["node"],
        zone=fields["zone"],
        region=fields["region"],
        front=_address(fields, "listen.front"),
        readiness=_address(fields, "listen.readiness"),
        directory=_address(fields, "listen.directory"),
        peers=f"{ip}:{first_port + PEERS_PORT_OFFSET}",
        metrics=f"{ip}:{first_port + METRICS_PORT_OFFSET}",
        store=_address(fields, "platform.address"),
        first_start=fields.get("bootstrap") == "true",
        drain_s=_ms_field_in_s(fields, "bounds.drainMs", 2000),
        grace_s=_number(fields, "bounds.graceS", 8),
        lease_s=_ms_field_in_s(fields, "bounds.leaseMs", 3000),
        retry_ratio=_number(fields, "bounds.retryBudgetRatio", 0.2),
        retry_slack=_number(fields, "bounds.budgetSlack", 50),
        retry_window_s=_number(fields, "bounds.budgetWindowS", 10),
        quota_slack=_number(fields, "bounds.quotaSlack", 0),
        directory_ttl_s=_number(fields, "bounds.ttl_max_s", 5),
        link_mbps=_number(fields, "limits.linkMbps", 0),
        memory_bytes=int(_number(fields, "limits.memoryMb", 0) * BYTES_PER_MB),
    )


def _address(fields, name):
    value = fields[name]
    if not decoding.is_address(value):
        raise ValueError(f"field {name} is {value[:50]!r}, no IP:PORT")
    return value


def _number(fields, name, default):
    value = float(fields.get(name, default))
    if not 0 <= value <= decoding.MAX_NUMBER:
        raise ValueError(f"field {name} is {value}, no number of at least 0")
    return value


def _ms_field_in_s(fields, name, default_ms):
    return _number(fields, name, default_ms) / MS_PER_S
