"""Steps about the fair queue and keys."""

import dataclasses
import random

import behave

from benchmarks import memoryfleet
from dogwoodwheel.customers import fair_queue
from dogwoodwheel.customers import keys
from dogwoodwheel.declaration import datatypes

CUSTOMER = "husk"


@behave.given("a fair queue")
def make_fair_queue(context):
    context.queue = fair_queue.FairQueue()


@behave.when("{count:d} random orders of pushes, removals and pops are drawn")
def random_orders(context, count):
    context.seeds = range(count)


@behave.then("every item came once and equal customers got equal tokens")
def queue_is_fair(context):
    for seed in context.seeds:
        check_each_item_once(random.Random(seed))
        check_equal_tokens(random.Random(seed))


def check_each_item_once(rng):
    """Check that nothing is lost or doubled, and ranks are kept."""
    queue = fair_queue.FairQueue(quantum=rng.choice([1, 64, 512]))
    waiting = {}
    for item in range(300):
        action = rng.random()
        if action < 0.5:
            place = (rng.choice("abc"), rng.randrange(3))
            queue.push(item, place[0], 1.0, place[1], rng.uniform(1, 5000))
            waiting[item] = place
        elif action < 0.6 and waiting:
            gone = rng.choice(sorted(waiting))
            assert queue.remove(gone) and not queue.remove(gone)
            del waiting[gone]
        else:
            check_pop(queue, waiting, rng.randrange(3))
        assert len(queue) == len(waiting)
    while waiting:
        check_pop(queue, waiting, 2)
    assert queue.pop() is None


def check_pop(queue, waiting, max_rank):
    """Check that what is popped goes first inside its customer."""
    item = queue.pop(max_rank)
    if item is None:
        assert all(rank > max_rank for _, rank in waiting.values())
        return
    assert waiting[item][1] <= max_rank
    customer, rank = waiting.pop(item)
    for other, (name, other_rank) in waiting.items():
        if name == customer:
            assert (rank, item) < (other_rank, other)


def check_equal_tokens(rng):
    """Check that backlogged customers get tokens by their weights."""
    queue = fair_queue.FairQueue(quantum=100)
    weights = {"a": 1.0, "b": 1.0, "c": rng.choice([0.5, 3.0])}
    costs = {}
    for name, weight in weights.items():
        most = rng.choice([10, 1000])
        for number in range(2000):
            costs[name, number] = rng.uniform(1, most)
            queue.push((name, number), name, weight, 1, costs[name, number])
    got = dict.fromkeys(weights, 0.0)
    # At least 5000 tokens wait for each, so none runs out before.
    while max(got.values()) < 4000:
        item = queue.pop()
        got[item[0]] += costs[item]
    shares = [got[name] / weights[name] for name in weights]
    lowest = min(weights.values())
    assert max(shares) - min(shares) <= 2 * (100 + 1000 / lowest), got


@behave.when(
    'customer "{name}" pushes {count:d} audits of {cost:d} tokens '
    "at rank {rank:d}"
)
def push_audits(context, name, count, cost, rank):
    for number in range(count):
        context.queue.push((name, "audit", number), name, 1, rank, cost)


@behave.when(
    'customer "{name}" pushes a question of {cost:d} tokens at rank {rank:d}'
)
def push_question(context, name, cost, rank):
    context.queue.push((name, "question", 0), name, 1, rank, cost)


@behave.then("both questions are among the first {count:d} popped")
def questions_first(context, count):
    popped = [context.queue.pop() for _ in range(count)]
    assert sum(item[1] == "question" for item in popped) == 2, popped


@behave.then("nothing of rank {rank:d} is popped and {count:d} still wait")
def nothing_popped(context, rank, count):
    assert context.queue.pop(rank) is None
    assert len(context.queue) == count


@behave.then('the question of "{name}" is popped at rank {rank:d}')
def question_popped(context, name, rank):
    assert context.queue.pop(rank) == (name, "question", 0)


@behave.given('an issued key of customer "{name}"')
def issued_key(context, name):
    context.key_text, key = keys.issue("shop1")
    customer = datatypes.Customer(name, 1.0, 1.0, keys=(key,))
    context.declaration = memoryfleet.declare(customer)


@behave.then('its text finds "{name}"')
def key_finds(context, name):
    found = keys.find_customer(
        context.declaration, f"Bearer {context.key_text}"
    )
    assert found.name == name


@behave.then("a wrong secret, another name and another scheme find nobody")
def wrong_keys(context):
    secret = context.key_text.split("-", 2)[2]
    wrong = [
        f"Bearer {context.key_text}x",
        f"Bearer {context.key_text[:-1]}",
        f"Bearer dw-shop2-{secret}",
        f"Basic {context.key_text}",
        context.key_text,
        "Bearer dw-shop1-",
        "Bearer " + "x" * 5000,
        "Bearer dw-shop1-\u00fc",
        "",
        None,
    ]
    for header in wrong:
        assert keys.find_customer(context.declaration, header) is None, header


@behave.then("neither text nor secret is in the declaration")
def secret_kept(context):
    presented = keys.parse(f"Bearer {context.key_text}")
    assert presented.secret not in repr(context.declaration)
    assert presented.secret not in repr(presented)


@behave.when("the key is withdrawn")
def withdraw_key(context):
    customer = dataclasses.replace(
        context.declaration.customers[CUSTOMER], keys=()
    )
    context.declaration = memoryfleet.declare(customer)


@behave.then("its text finds nobody")
def key_finds_nobody(context):
    header = f"Bearer {context.key_text}"
    assert keys.find_customer(context.declaration, header) is None
