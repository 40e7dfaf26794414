"""Steps about what a caller may send."""

from behave import then

from features import builders
from features import request_fleet
from features.standins import caller

CHAT = "/v1/chat/completions"


def _send(who, sent):
    body = caller.chat_body("spec")
    key = builders.key_of(request_fleet.CUSTOMER)
    return {
        "a body of 9000000 bytes": ("POST", CHAT, b"x" * 9_000_000, {}),
        "a header of 40000 bytes": ("POST", CHAT, body, {"X-A": "a" * 40_000}),
        "a body that is no JSON": ("POST", CHAT, b"{", {}),
        "an unknown model": ("POST", CHAT, caller.chat_body("none"), {}),
        "an unknown path": ("GET", "/v2", None, {}),
        "an unknown service": ("GET", "/services/none/a", None, {}),
        "a path with dot segments": (
            "GET",
            "/services/orders/stock/../orders",
            None,
            {},
        ),
        "an unknown key": (
            "POST",
            CHAT,
            body,
            {"Authorization": "Bearer dw-grower-wrong"},
        ),
        "no key": ("POST", CHAT, body, {"Authorization": ""}),
        "a key in the path": ("GET", f"/services/orders/a?k={key}", None, {}),
        "a malformed deadline": ("POST", CHAT, body, {"X-Deadline-Ms": "-1"}),
        "an unknown priority": ("POST", CHAT, body, {"X-Priority": "none"}),
    }[sent]


@then("these requests are refused, each as not run")
def step_refused(context):
    who = context.fleet.entries["e0"].caller(
        builders.key_of(request_fleet.CUSTOMER)
    )
    for row in context.table:
        reply = who.request(*_send(who, row["sent"]))
        assert reply.status == int(row["status"]), (row["sent"], reply)
        error = reply.json["error"]
        assert error["code"] == row["code"], (row["sent"], error)
        assert error["run"] == "not_run", (row["sent"], error)
        assert error["message"], (row["sent"], error)
