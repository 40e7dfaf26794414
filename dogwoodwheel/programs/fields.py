"""Typed access to the fields of a YAML settings file."""

import pathlib

import yaml

from dogwoodwheel.declaration import scalars
from dogwoodwheel import exceptions

__all__ = ["Fields"]

MAX_FILE_BYTES = 1024 * 1024


class Fields:
    """A map of settings, which records the fields that were read.

    The methods ``read_...`` take the name of a field and raise a
    `SettingsError` if its value is missing or invalid.

    Parameters
    ----------
    path : str
        Path of the file, for error messages.
    values : dict
        The values of the fields by name.
    prefix : str
        Names of the enclosing maps, each with a dot at the end, for
        error messages.
    """

    def __init__(self, path, values, prefix=""):
        self.path = path
        self.values = values
        self.prefix = prefix
        self.unread_names = set(values)
        self.nested_fields = []

    @classmethod
    def from_file(cls, path):
        """Return the fields of a YAML file; raises SettingsError."""
        try:
            data = pathlib.Path(path).read_bytes()
        except OSError as exc:
            raise exceptions.SettingsError(
                f"{path}: cannot be read ({exc.strerror}); "
                f"name a file that can"
            ) from exc
        if len(data) > MAX_FILE_BYTES:
            raise exceptions.SettingsError(
                f"{path}: is above {MAX_FILE_BYTES} bytes; shorten it"
            )
        try:
            values = yaml.safe_load(data)
        except (yaml.YAMLError, RecursionError, ValueError) as exc:
            problem = " ".join(str(exc).split())
            raise exceptions.SettingsError(
                f"{path}: is no YAML: {problem}"
            ) from exc
        if not _is_map(values):
            raise exceptions.SettingsError(
                f"{path}: is not a map; write name: value lines"
            )
        return cls(path, values)

    def error(self, name, message):
        """Return a `SettingsError` whose message names a field."""
        return exceptions.SettingsError(
            f"{self.path}: {self.prefix}{name}: {message}"
        )

    def _read_value(self, name, default=None):
        self.unread_names.discard(name)
        value = self.values.get(name)
        value = default if value is None else value
        if value is None:
            raise self.error(name, "is missing; add it")
        return value

    def map(self, name, default=None):
        """Return the `Fields` of a nested map."""
        value = self._read_value(name, default)
        if not _is_map(value):
            raise self.error(name, "is not a map; write name: value lines")
        fields = Fields(self.path, value, f"{self.prefix}{name}.")
        self.nested_fields.append(fields)
        return fields

    def read_string(self, name, default=None, choices=()):
        """Return a string; one of ``choices`` if there are any."""
        value = self._read_value(name, default)
        if not isinstance(value, str):
            raise self.error(name, f"{value!r} is no text; put it in quotes")
        if choices and value not in choices:
            raise self.error(
                name, f"{value!r} is not one of {', '.join(choices)}"
            )
        if not value and default is None:
            raise self.error(name, "is empty; give a text")
        return value

    def read_name(self, name):
        """Return a name that is valid in table keys and metric labels."""
        value = self.read_string(name)
        if not scalars.has_format(value, "name"):
            raise self.error(
                name, f"{value!r} is malformed; {scalars.FORMAT_HINTS['name']}"
            )
        return value

    def read_address(self, name, default=None):
        """Return an address ``IP:PORT``."""
        return self.check_address(name, self._read_value(name, default))

    def check_address(self, name, value):
        """Return the value if it is an ``IP:PORT``; raises SettingsError."""
        if not isinstance(value, str) or not scalars.is_address(value):
            raise self.error(
                name, f"{value!r} is not IP:PORT; write such as 10.0.0.5:7000"
            )
        return value

    def read_addresses(self, name):
        """Return a non-empty tuple of addresses ``IP:PORT``."""
        value = self._read_value(name)
        if not isinstance(value, list) or not value:
            raise self.error(name, "is not a list; write [IP:PORT, ...]")
        return tuple(self.check_address(name, item) for item in value)

    def read_positive_int(self, name, default):
        """Return an integer of 1 or more."""
        value = self._read_value(name, default)
        if type(value) is not int or value < 1:
            raise self.error(
                name, f"{value!r} is no whole number of 1 or more; mend it"
            )
        return value

    def check_all_read(self):
        """Raise a `SettingsError` for the first field that was not read."""
        for name in sorted(self.unread_names):
            raise self.error(name, "is not known; remove it")
        for fields in self.nested_fields:
            fields.check_all_read()


def _is_map(value):
    return isinstance(value, dict) and all(isinstance(k, str) for k in value)
