"""Steps that compare docstrings and pages with the code."""

import doctest
import importlib
import pathlib
import pkgutil
import re
import tempfile

from behave import then

import dogwoodwheel
from dogwoodwheel.declaration import document
from dogwoodwheel.programs import cli_common
from dogwoodwheel.programs import metrics
from dogwoodwheel.programs import settings
from features import processes

READERS = {
    "coordinator": settings.CoordinatorSettings,
    "gateway": settings.GatewaySettings,
    "operator": settings.OperatorSettings,
}
CODES = ("OK", "FAULTS", "USAGE", "CONFLICT", "UNREACHABLE", "NOT_IN_FORCE")


@then("all doctests of the package pass")
def step_doctests(context):
    tried = 0
    for info in pkgutil.walk_packages(dogwoodwheel.__path__, "dogwoodwheel."):
        module = importlib.import_module(info.name)
        result = doctest.testmod(module)
        tried += result.attempted
        assert result.failed == 0, (info.name, result)
    assert tried > 0


@then('"{path}" is what the code writes')
def step_page(context, path):
    assert (processes.ROOT / path).read_text() == document.text(), (
        "run python -m dogwoodwheel.declaration.document > " + path
    )


@then('each settings file shown in "{path}" is read')
def step_settings(context, path):
    page = (processes.ROOT / path).read_text()
    shown = re.findall(r"```yaml\n(# (\w+)\.yaml\n.*?)```", page, re.S)
    assert {kind for _, kind in shown} == set(READERS), shown
    with tempfile.TemporaryDirectory() as folder:
        for text, kind in shown:
            file = pathlib.Path(folder) / f"{kind}.yaml"
            file.write_text(text)
            READERS[kind].from_file(file)


@then('"{path}" names every metric and every exit code')
def step_names(context, path):
    page = (processes.ROOT / path).read_text()
    names = [*metrics.HISTOGRAMS, *metrics.COUNTERS, *metrics.GAUGES]
    absent = [name for name in names if f"`{name}" not in page]
    assert not absent, absent
    for name in CODES:
        code = getattr(cli_common, name)
        assert f"| {code} |" in page, name
