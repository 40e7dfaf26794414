"""Reads the settings file that the platform writes for an entry process."""

import os
import pathlib

from dogwoodwheel.entry import datatypes
from dogwoodwheel import exceptions

__all__ = ["path", "read"]

PATH_VARIABLE = "DOGWOODWHEEL_BOOT"
# Field portRange gives a range of ports that are free on each VM.  An entry
# uses the ports at these offsets from the first port of the range.
PEERS_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
MS_PER_S = 1000.0


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
    first_port = int(fields["portRange"].split(",")[0])
    ip = fields["ip"]
    return datatypes.Settings(
        name=fields["node"],
        zone=fields["zone"],
        region=fields["region"],
        front=fields["listen.front"],
        readiness=fields["listen.readiness"],
        directory=fields["listen.directory"],
        peers=f"{ip}:{first_port + PEERS_PORT_OFFSET}",
        metrics=f"{ip}:{first_port + METRICS_PORT_OFFSET}",
        store=fields["platform.address"],
        first_start=fields.get("bootstrap") == "true",
        drain_s=_ms_field_in_s(fields, "bounds.drainMs", 2000),
        grace_s=float(fields.get("bounds.graceS", 8)),
        lease_s=_ms_field_in_s(fields, "bounds.leaseMs", 3000),
        retry_ratio=float(fields.get("bounds.retryBudgetRatio", 0.2)),
        retry_slack=float(fields.get("bounds.budgetSlack", 50)),
        retry_window_s=float(fields.get("bounds.budgetWindowS", 10)),
        quota_slack=float(fields.get("bounds.quotaSlack", 0)),
        directory_ttl_s=float(fields.get("bounds.ttl_max_s", 5)),
        link_mbps=float(fields.get("limits.linkMbps", 0)),
    )


def _ms_field_in_s(fields, name, default_ms):
    return float(fields.get(name, default_ms)) / MS_PER_S
