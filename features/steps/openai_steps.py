"""Steps that use OpenAI's published client library."""

from behave import given
from behave import then
from behave import when
import openai

from features import builders
from features import request_fleet
from features.standins import answers
from features.standins import caller
from features.standins import process

TIMEOUT_S = 40.0
TAKE_OVER_MS = 30_000
LISTED_S = 5.0


def client(address, key=None):
    """Return a client of the library for an entry's address."""
    return openai.OpenAI(
        base_url=f"http://{address}/v1",
        api_key=key or builders.key_of(request_fleet.CUSTOMER),
        max_retries=0,
        timeout=TIMEOUT_S,
    )


def chat(context, model, prompt="hello", **fields):
    """Return the library's answer, and the body that was asked for."""
    body = caller.chat_body(model, prompt)
    reply = context.client.chat.completions.create(
        model=model, messages=body["messages"], **fields
    )
    return reply, answers.expected(body)


def raises(kind, func, *args, **fields):
    """Check that a call raises an error of the library; return it."""
    try:
        func(*args, **fields)
    except kind as exc:
        return exc
    raise AssertionError(f"no {kind.__name__}")


@given('the adapter "{name}" on the model "{base}" of the request fleet')
def step_adapter(context, name, base):
    context.builder.adapter(name, base)


@when("the client library is given the entry's address and a key")
def step_client(context):
    context.client = client(context.fleet.entries["e0"].gateways[0])


@then('it lists the models "{first}" and "{second}"')
def step_models(context, first, second):
    names = [item.id for item in context.client.models.list()]
    assert names == [first, second], names
    assert context.client.models.retrieve(first).id == first


@then('it gets a whole answer of "{model}"')
def step_whole(context, model):
    reply, want = chat(context, model)
    assert reply.choices[0].message.content == want.text, reply
    assert reply.usage.completion_tokens == len(want.tokens), reply


@then('it gets a streamed answer of "{model}" with its usage')
def step_streamed(context, model):
    chunks, want = chat(
        context, model, stream=True, stream_options={"include_usage": True}
    )
    text = ""
    usage = None
    for chunk in chunks:
        usage = chunk.usage or usage
        for choice in chunk.choices:
            text += choice.delta.content or ""
    assert text == want.text, text
    assert usage.completion_tokens == len(want.tokens), usage


@then('it gets a completion of "{model}"')
def step_completion(context, model):
    reply = context.client.completions.create(model=model, prompt="hello")
    want = answers.expected({"model": model, "prompt": "hello"})
    assert reply.choices[0].text == want.text, reply


@then("an unknown model raises its NotFoundError")
def step_not_found(context):
    exc = raises(openai.NotFoundError, chat, context, "none")
    assert exc.code == "model_not_found", exc.body
    assert exc.body["run"] == "not_run", exc.body


@then("a wrong key raises its AuthenticationError")
def step_wrong_key(context):
    other = client(context.fleet.entries["e0"].gateways[0], "dw-grower-x")
    exc = raises(openai.AuthenticationError, other.models.list)
    assert exc.code == "invalid_api_key", exc.body


@then("a priority that is not declared raises its BadRequestError")
def step_bad_request(context):
    headers = {"X-Priority": "none"}
    exc = raises(
        openai.BadRequestError, chat, context, "spec", extra_headers=headers
    )
    assert exc.code == "bad_priority", exc.body


@then("a deadline that cannot be met raises its InternalServerError")
def step_late(context):
    headers = {"X-Deadline-Ms": "100"}
    exc = raises(
        openai.InternalServerError,
        chat,
        context,
        "spec",
        "long tokens=5000",
        extra_headers=headers,
    )
    assert exc.body["run"] == "unknown", exc.body


def listed(context, count):
    """Return the addresses to use, once there are as many."""
    found = context.fleet.entries["e0"].caller().get("/v1/entries").json
    return found["entries"] if len(found["entries"]) == count else None


@when("the first address of GET /v1/entries is killed")
def step_kill_first(context):
    count = len(context.fleet.entries)
    context.addresses = process.wait_for(
        lambda: listed(context, count), LISTED_S, f"{count} addresses"
    )
    for entry in context.fleet.entries.values():
        if entry.gateways[0] == context.addresses[0]:
            entry.kill()


@then("the client library streams an answer from the second one")
def step_second(context):
    context.client = client(context.addresses[0])
    raises(openai.APIConnectionError, chat, context, "spec", stream=True)
    context.client = client(context.addresses[1])
    headers = {"X-Deadline-Ms": str(TAKE_OVER_MS)}
    chunks, want = chat(context, "spec", stream=True, extra_headers=headers)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert text == want.text, text
