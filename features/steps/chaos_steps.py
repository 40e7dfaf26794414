"""Steps about the random run."""

from behave import then
from behave import when

from features.chaos import entries
from features.chaos import run as runs


@when("random failures with seed {seed:d} go on for {seconds:d} s")
def step_run(context, seed, seconds):
    run = runs.Run(seed)
    context.fleet = run.scene.fleet
    context.found = run.go(seconds)
    context.sent = run.sent
    context.failures = run.failures


@when("random failures of entries with seed {seed:d} go on for {seconds:d} s")
def step_entries(context, seed, seconds):
    run = entries.Run(seed)
    context.fleet = run.fleet
    context.found = run.go(seconds)
    context.sent = run.sent
    context.failures = run


@then("no promise was broken")
def step_kept(context):
    assert len(context.sent) > 100, "too little was sent to judge by"
    assert not context.found, (context.found, context.failures.log)
