"""Options, exit codes and error handling of all operators' commands."""

import dataclasses
import functools
import pathlib
import sys
from typing import Annotated
from typing import Optional

import cyclopts
import trio

from dogwoodwheel.declaration import check
from dogwoodwheel import exceptions
from dogwoodwheel.programs import cli_entries
from dogwoodwheel.programs import cli_show
from dogwoodwheel.programs import cli_store
from dogwoodwheel.programs import settings as settings_module

__all__ = [
    "CONFLICT",
    "FAULTS",
    "NOT_IN_FORCE",
    "OK",
    "CommandContext",
    "Options",
    "UNREACHABLE",
    "USAGE",
    "read_text",
    "run_command",
]

OK = 0
FAULTS = 1
USAGE = 2
CONFLICT = 3
UNREACHABLE = 4
NOT_IN_FORCE = 5
SETTINGS_VARIABLE = "DOGWOODWHEEL_SETTINGS"


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Options:
    """Options of every command.

    Parameters
    ----------
    settings
        YAML file with the address of the platform's store.  The settings
        file of a coordinator or a gateway can be used too.
    json
        Print one JSON object, for results and errors alike.
    """

    settings: Annotated[
        Optional[pathlib.Path], cyclopts.Parameter(env_var=SETTINGS_VARIABLE)
    ] = None
    json: Annotated[bool, cyclopts.Parameter(negative=())] = False


@dataclasses.dataclass(frozen=True)
class CommandContext:
    """The settings and the version store that a command uses.

    Parameters
    ----------
    cfg : dogwoodwheel.programs.settings.OperatorSettings
    store : dogwoodwheel.programs.cli_store.VersionStore
    """

    cfg: settings_module.OperatorSettings
    store: cli_store.VersionStore

    @classmethod
    def from_options(cls, options):
        """Return the context for some options; raises SettingsError."""
        if options.settings is None:
            raise exceptions.SettingsError(
                f"the platform's address is missing; give --settings FILE "
                f"or set {SETTINGS_VARIABLE}"
            )
        cfg = settings_module.OperatorSettings.from_file(options.settings)
        return cls(cfg, cli_store.VersionStore.from_settings(cfg))

    async def coordinator_addresses(self):
        """Return the ``IP:PORT`` of each coordinator by name of its entry."""
        return await cli_entries.coordinator_addresses(
            self.cfg, self.store.table_store
        )


def read_text(path):
    """Return the contents of a text file; raises DeclarationError."""
    try:
        return path.read_bytes().decode()
    except OSError as exc:
        message = f"cannot be read ({exc.strerror}); name a file that can"
    except UnicodeDecodeError:
        message = "is not UTF-8; save it as UTF-8"
    raise exceptions.DeclarationError([check.Fault(0, str(path), message)])


def run_command(command, options, *args):
    """Run a command and return its exit code.

    Parameters
    ----------
    command : callable
        ``await command(options, *args)`` returns an exit code.
    options : Options
    """
    try:
        return trio.run(command, options, *args)
    except exceptions.DogwoodwheelError as exc:
        code = exit_code(exc)
        cli_show.print_error(exc, code, options.json)
        return code
    except BrokenPipeError:
        # A reader such as head closed the pipe early, which is no error.
        # Closing stderr suppresses the message about the broken pipe that
        # Python prints at exit.
        sys.stderr.close()
        return OK


@functools.singledispatch
def exit_code(exc):
    """Return the exit code of a command that raised an exception."""
    return UNREACHABLE


@exit_code.register
def _(exc: exceptions.DeclarationError):
    return FAULTS


@exit_code.register
def _(exc: exceptions.SettingsError):
    return USAGE


@exit_code.register
def _(exc: exceptions.ConflictError):
    return CONFLICT
