"""Steps about graceful shutdown."""

import threading
import time

from behave import given
from behave import then
from behave import when

from features import builders
from features import request_fleet
from features.standins import answers
from features.standins import caller
from features.standins import process

CHAT = "/v1/chat/completions"
OK = 200
STOP_S = 60.0
PAUSE_S = 0.02


class Client:
    """A caller that asks for the entries and keeps the answer a while.

    Parameters
    ----------
    fleet : features.fleet.Fleet
    index : int
        An odd one keeps its connections open.
    """

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.key = builders.key_of(request_fleet.CUSTOMER)
        self.entries = [e.gateways[0] for e in fleet.entries.values()]
        self.until = 0.0
        self.conn = None
        self.ended = threading.Event()
        self.failed = []
        self.served = 0
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        """Send one request after the other until ended."""
        turn = 0
        while not self.ended.is_set():
            turn += 1
            self.refresh()
            self.one(turn)
            time.sleep(PAUSE_S)

    def refresh(self):
        """Ask for the entries anew once the answer has run out."""
        if time.monotonic() < self.until:
            return
        begun = time.monotonic()
        for address in self.entries:
            reply = caller.Caller(address).get("/v1/entries")
            if reply.status == OK:
                found = reply.json["entries"]
                shift = self.index % len(found)
                self.entries = found[shift:] + found[:shift]
                self.until = begun + reply.json["lifetime_s"]
                self.drop()
                return
        self.failed.append(("entries", self.entries, reply))

    def one(self, turn):
        """Send a request: an answer, a stream or an order in turn."""
        prompt = f"load {self.index} {turn} tokens=12"
        body = caller.chat_body("spec", prompt, stream=turn % 3 == 1)
        path = CHAT
        headers = {}
        if turn % 3 == 2:
            body = {"order": f"{self.index}-{turn}"}
            path = "/services/orders/orders"
            headers = {"Idempotency-Key": f"{self.index}-{turn}"}
        reply = self.send(path, body, headers)
        right = reply.status == OK and reply.done
        if right and path == CHAT:
            right = reply.text == answers.expected(body).text
        self.served += right
        if not right:
            self.failed.append((self.entries[0], path, reply))

    def send(self, path, body, headers):
        who = caller.Caller(self.entries[0], self.key)
        if self.index % 2 == 0:
            return who.request("POST", path, body, headers)
        self.conn = self.conn or who.connect()
        reply = caller.Reply(begun=time.monotonic())
        who.exchange(self.conn, reply, "POST", path, body, headers)
        if reply.error or reply.headers.get("connection") == "close":
            self.drop()
        return reply

    def drop(self):
        """Close the kept connection."""
        if self.conn is not None:
            self.conn.close()
            self.conn = None


@given("{count:d} callers keep to the answers of GET /v1/entries")
def step_clients(context, count):
    context.clients = [Client(context.fleet, i) for i in range(count)]
    for client in context.clients:
        client.thread.start()
    process.wait_for(
        lambda: all(client.served for client in context.clients),
        STOP_S,
        "each caller served once",
    )


@given('a long answer is under way at entry "{name}"')
def step_long(context, name):
    for endpoint in ("w0", "w1"):
        context.fleet.endpoints[endpoint].ctl.call("set", pace_s=0.02)
    who = context.fleet.entries[name].caller(
        builders.key_of(request_fleet.CUSTOMER)
    )
    context.long_body = caller.chat_body("spec", "long tokens=700")
    context.long = []

    def ask():
        reply = who.chat(
            "spec",
            "long tokens=700",
            headers={"X-Deadline-Ms": "60000"},
            stream=True,
        )
        context.long.append(reply)

    context.long_thread = threading.Thread(target=ask, daemon=True)
    context.long_thread.start()
    process.wait_for(
        lambda: any(
            "long" in event["prompt"]
            for endpoint in ("w0", "w1")
            for event in context.fleet.endpoints[endpoint].events("request")
        ),
        STOP_S,
        "the long answer at an engine",
    )


def stop(context, name):
    """Stop all programs of an entry and keep their exit codes."""
    procs = context.fleet.entries[name].procs
    for proc in procs:
        proc.terminate()
    return [proc.wait(STOP_S) for proc in procs]


@when('all programs of entry "{name}" are stopped by SIGTERM')
def step_stop(context, name):
    context.codes = stop(context, name)


@when("all programs of each entry in turn are stopped and started again")
def step_rolling(context):
    context.codes = []
    for name, entry in context.fleet.entries.items():
        context.codes += stop(context, name)
        entry.start()
        context.fleet.wait_ready([entry])


@when('all programs of entry "{name}" begin to stop')
def step_begin(context, name):
    context.stopping = context.fleet.entries[name]
    for proc in context.stopping.procs:
        proc.terminate()


@then("each of them ends with the exit code 0")
def step_codes(context):
    assert set(context.codes) == {0}, context.codes


@then("no caller had a request cut or refused")
def step_none_failed(context):
    assert all(client.thread.is_alive() for client in context.clients)
    for client in context.clients:
        client.ended.set()
    for client in context.clients:
        client.thread.join(STOP_S)
    failed = [f for client in context.clients for f in client.failed]
    served = sum(client.served for client in context.clients)
    assert not failed, (len(failed), served, failed[:3])


@then("the long answer came whole")
def step_long_whole(context):
    context.long_thread.join(STOP_S)
    reply = context.long[0]
    want = answers.expected(context.long_body).text
    assert reply.done and reply.text == want, reply.body[-300:]


def named(entry):
    """Return the addresses that an entry names to callers."""
    return entry.caller().get("/v1/entries").json["entries"]


@then('entry "{name}" names itself no more')
def step_off(context, name):
    address = context.stopping.gateways[0]
    process.wait_for(
        lambda: address not in named(context.stopping), 1.0, "off the list"
    )


@then('within {bound:d} s no entry names entry "{name}"')
def step_off_everywhere(context, bound, name):
    address = context.stopping.gateways[0]
    for entry in context.fleet.entries.values():
        process.wait_for(
            lambda: address not in named(entry), bound, "off each list"
        )


@then('entry "{name}" still serves, closing each connection')
def step_still_serves(context, name):
    who = context.stopping.caller(builders.key_of(request_fleet.CUSTOMER))
    reply = who.chat("spec")
    assert reply.status == OK, reply
    assert reply.headers["connection"] == "close", reply.headers


@then("in the end it refuses as not run, then ends with the exit code 0")
def step_ends(context):
    who = context.stopping.caller(builders.key_of(request_fleet.CUSTOMER))
    gateway = context.stopping.procs[1]
    replies = []

    def ended():
        replies.append(who.chat("spec"))
        return not gateway.running()

    process.wait_for(ended, STOP_S, "the gateway to end")
    seen = [r for r in replies if r.status not in (0, OK)]
    assert all(r.run == "not_run" for r in seen), seen
    assert [p.wait(STOP_S) for p in context.stopping.procs] == [0, 0]
