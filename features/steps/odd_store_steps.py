"""Steps about replies of the store that cannot be read."""

import json
import types

from behave import then
import trio

from dogwoodwheel import exceptions
from dogwoodwheel.platform import store as store_module
from dogwoodwheel.platform import versions

SOUND = {"table": "t", "part": "", "key": "a", "value": "YQ==", "ver": 3}
ODD_REPLIES = (
    b"",
    b"\xff",
    b"[]",
    b"null",
    b"[" * 100_000,
    b'{"ver": 1e400, "rows": []}',
    b'{"ver": -1, "rows": []}',
    b'{"ver": "7", "rows": []}',
    b'{"ver": 1e300, "rows": []}',
    b'{"rows": []}',
    b'{"ver": 7, "rows": 5}',
)
ODD_ROWS = (
    None,
    [],
    "a",
    {},
    {**SOUND, "ver": 1e300},
    {**SOUND, "ver": None},
    {**SOUND, "key": 7},
    {**SOUND, "key": None},
    {**SOUND, "value": 7},
    {**SOUND, "value": "no base64 !"},
    {**SOUND, "value": "é"},
    {**SOUND, "deleted": "yes"},
)


class HttpClient:
    """Gives the same reply to each call."""

    def __init__(self, body):
        self.body = body

    async def call(self, address, req, timeout_s, max_bytes, on_reply):
        await trio.lowlevel.checkpoint()
        on_reply(types.SimpleNamespace(header=lambda name: b"2"))
        return 200, self.body


def calls(body):
    """Return the calls to a store that gives a reply, by name."""
    store = store_module.Store("store:1", HttpClient(body))
    row = store_module.Row("t", "a", 0, b"a")
    return {
        "scan": lambda: store.scan("t"),
        "poll": lambda: store.poll_changes("t", versions.era_start(2) + 1, 1),
        "commit": lambda: store.commit([], [row]),
    }


@then("each odd reply of the store is an error of the platform")
def step_odd_replies(context):
    for body in ODD_REPLIES:
        for name, call in calls(body).items():
            try:
                trio.run(call)
            except exceptions.PlatformError:
                continue
            raise AssertionError((name, body[:40]))


@then("each odd row of a reply is left out, and the sound one is returned")
def step_odd_rows(context):
    for odd in ODD_ROWS:
        body = json.dumps({"ver": 7, "rows": [odd, SOUND]}).encode()
        for name in ("scan", "poll"):
            snapshot = trio.run(calls(body)[name])
            keys = [(row.key, row.value) for row in snapshot.rows]
            assert keys == [("a", b"a")], (name, odd, keys)
