"""Hooks of behave: every scenario ends the processes that it started."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
if str(ROOT) not in sys.path:
    sys.path.insert(0, str(ROOT))


def before_scenario(context, scenario):
    """Begin without a fleet."""
    context.fleet = None


def after_scenario(context, scenario):
    """End the fleet; show its logs after a failure."""
    if context.fleet is None:
        return
    if scenario.status.has_failed():
        print(context.fleet.tails())
    context.fleet.stop()
