"""Builders of entries and answers, for what endpoints say of themselves."""

import h11

from dogwoodwheel.engines import http
from dogwoodwheel.engines import reply_memory
from dogwoodwheel.entry import components as components_module
from dogwoodwheel.entry import endpoint_selection
from dogwoodwheel.platform import http_headers
from dogwoodwheel.platform import operator_table
from dogwoodwheel.programs import metrics
from features import entry_builders

__all__ = ["components", "register", "reply", "requirements"]

DIGITS = 5000


def header_value(text):
    """Return the bytes of a header: ``%XX`` is a byte, ``digits`` many."""
    if text == f"{DIGITS} digits":
        return b"9" * DIGITS
    if text.startswith("%"):
        return bytes.fromhex(text[1:])
    return text.encode()


def reply(status=200, **headers):
    """Return a reply of an endpoint; names have underscores for hyphens."""
    raw = [(name.replace("_", "-"), value) for name, value in headers.items()]
    head = h11.Response(status_code=status, headers=raw)
    return http.Reply(None, head, "GET", reply_memory.ReplyMemory())


def components(name="entry-1"):
    """Return the components of an entry with a configuration."""
    built = components_module.Components.from_settings(
        entry_builders.settings(name), http.HttpClient(), metrics.Metrics()
    )
    built.fleet_state.set_configuration(
        operator_table.decode(entry_builders.config_body())
    )
    return built


def register(entry, endpoints, now, version):
    """Let an entry read the registrations of endpoints."""
    entry.fleet_state.apply_scan(
        {endpoint.id: (endpoint, version) for endpoint in endpoints}, now
    )


def requirements(entry, deadline, target_latency_s=0.4, deadline_s=None):
    """Return what a request for the plain service requires."""
    return endpoint_selection.Requirements(
        entry.fleet_state.config.services["plain"],
        http_headers.RequestHeaders(
            "r", entry_builders.HOST, deadline_s=deadline_s
        ),
        deadline,
        target_latency_s,
    )
