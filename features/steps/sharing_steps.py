"""Steps of the sharing feature."""

import dataclasses
import itertools

import behave
import trio
import trio.testing

from benchmarks import memoryfleet
from dogwoodwheel.declaration import datatypes
from dogwoodwheel import exceptions
from dogwoodwheel.wire import messages
from features import sharing_model

CUSTOMER = "husk"


@behave.given("a model fleet that moves, loses, takes over, lends and settles")
def model_fleet(context):
    context.run = sharing_model.run
    context.error = None


@behave.when("{examples:d} runs of {steps:d} steps are drawn")
def draw_runs(context, examples, steps):
    try:
        context.run(examples, steps)
    except AssertionError as exc:
        context.error = exc


@behave.when("an entry borrows ahead, its lender dies and the share refills")
def lender_dies(context):
    fleet = sharing_model.Fleet()
    fleet.admit_all(entry=0)
    fleet.borrow_ahead(borrower=0, lender=1, tokens=40.0)
    fleet.crash(entry=1)
    fleet.take_over(entry=2)
    fleet.take_over(entry=2)
    fleet.time_passes(dt=100.0)
    fleet.spend_all()


@behave.when("an entry spends a loan and all it has, and dies before it tells")
def borrower_dies(context):
    fleet = sharing_model.Fleet()
    fleet.borrow(borrower=0, lender=1, tokens=40.0)
    fleet.spend_loan(pick=0, part=1.0, heard=0)
    fleet.admit_all(entry=0)
    fleet.crash(entry=0)
    fleet.spend_all()


@behave.when("a share is handed over and its tokens come {time:d} s later")
def late_hand_in(context, time):
    fleet = sharing_model.Fleet()
    fleet.hand_over(entry=1, part=1)
    fleet.take_handed_over(pick=0, entry=2, message_lost=False)
    fleet.time_passes(dt=time)
    fleet.spend_all()
    fleet.hand_in(pick=0)
    fleet.spend_all()


@behave.then("no window had more tokens than rate times time and burst")
def no_window_too_full(context):
    if context.error is not None:
        raise context.error


@behave.given(
    '{count:d} entries and customer "{name}" with rate {rate:d} '
    "and burst {burst:d}"
)
def ledgers(context, count, name, rate, burst):
    context.plan = []
    customer = datatypes.Customer(name, float(rate), float(burst))
    names = [f"e{number + 1}" for number in range(count)]
    context.make = lambda: memoryfleet.MemoryFleet(
        memoryfleet.declare(customer), names
    )


class Story:
    """What the steps of one scenario do, in one run of trio."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.charges = []
        self.admitted = 0
        self.refusal = None
        self.asked = None
        self.waits_s = []

    async def ask(self, entry, tokens):
        """Ask an entry to admit a call that counts some tokens."""
        self.asked = (entry, tokens)
        ledger = self.fleet.ledgers[f"e{entry}"]
        before = trio.current_time()
        call = memoryfleet.ask(CUSTOMER, tokens, name="")
        try:
            self.charges.append(await ledger.admit(call))
            self.admitted += tokens
        except exceptions.RefusedError as exc:
            self.refusal = exc.refusal
        self.waits_s.append(trio.current_time() - before)

    def lent(self):
        """Return the tokens lent, by entry."""
        return [state.lent for state in self.fleet.states(CUSTOMER)]

    def held(self):
        """Return the tokens that the fleet has to spend."""
        return sum(
            ledger.accounts.get(CUSTOMER).bucket.available
            for ledger in self.fleet.ledgers.values()
        )


def plan(context, action):
    """Do an action, after all before it again, in a new run of trio.

    A run of trio cannot be kept over steps; the clock is a mock.
    """
    context.plan.append(action)

    async def run():
        story = Story(context.make())
        async with trio.open_nursery() as nursery:
            await nursery.start(story.fleet.run)
            for act in context.plan:
                await act(story)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.when(
    "entry {entry:d} is asked for {tokens:d} tokens in calls of {size:d}"
)
def asked(context, entry, tokens, size):
    async def act(story):
        for _ in range(tokens // size):
            await story.ask(entry, size)

    plan(context, act)


@behave.when(
    "entry {entry:d} is asked for {tokens:d} tokens every {gap:g} s "
    "for {time:d} s"
)
def asked_steadily(context, entry, tokens, gap, time):
    async def act(story):
        for _ in range(round(time / gap)):
            await story.ask(entry, tokens)
            await trio.sleep(gap - story.waits_s[-1])

    plan(context, act)


@behave.then("9 of 10 calls of the last half waited for nobody")
def no_waits(context):
    async def act(story):
        late = story.waits_s[len(story.waits_s) // 2 :]
        assert sum(wait > 0 for wait in late) <= len(late) / 10, late

    plan(context, act)


@behave.then("{tokens:d} tokens are admitted")
def admitted(context, tokens):
    async def act(story):
        assert story.admitted == tokens, (story.admitted, story.refusal)

    plan(context, act)


@behave.then('it is refused as "{code}" with status {status:d}')
def refused(context, code, status):
    async def act(story):
        assert story.refusal is not None, "it was admitted"
        assert story.refusal.code == code, story.refusal
        assert story.refusal.status == status, story.refusal
        assert story.refusal.run == messages.NOT_RUN, story.refusal

    plan(context, act)


@behave.then("after the time that it names the same call is admitted")
def admitted_after(context):
    async def act(story):
        before = story.admitted
        await trio.sleep(story.refusal.retry_after_s)
        await story.ask(*story.asked)
        assert story.admitted == before + story.asked[1], story.refusal

    plan(context, act)


@behave.when(
    "replies to Borrow are lost while entry {entry:d} is asked for "
    "{tokens:d} tokens"
)
def replies_lost(context, entry, tokens):
    async def act(story):
        story.fleet.lose = lambda msg, is_reply: (
            is_reply and isinstance(msg, messages.Borrow)
        )
        await story.ask(entry, tokens)
        assert story.admitted == 0 and sum(story.lent()) > 0, story.lent()
        story.fleet.lose = lambda msg, is_reply: False

    plan(context, act)


@behave.when("{time:d} s pass")
def time_passes(context, time):
    async def act(story):
        await trio.sleep(time)

    plan(context, act)


@behave.then("no entry counts a loan")
def no_loan(context):
    async def act(story):
        assert sum(story.lent()) < 1e-6, story.lent()

    plan(context, act)


@behave.then("the fleet holds {tokens:d} tokens")
def fleet_holds(context, tokens):
    async def act(story):
        assert abs(story.held() - tokens) < 1e-3, story.held()

    plan(context, act)


@behave.when(
    "entry {borrower:d} borrows {tokens:d} tokens from entry {lender:d} "
    "and pauses"
)
def borrows(context, borrower, tokens, lender):
    async def act(story):
        name = f"e{borrower}"
        incarnation = story.fleet.view.entries[name].incarnation
        msg = messages.Borrow(1, name, incarnation, CUSTOMER, tokens)
        lent = story.fleet.ledgers[f"e{lender}"].on_borrow(msg)
        assert lent.tokens == tokens, lent
        story.fleet.down.add(name)

    plan(context, act)


@behave.then("entry {entry:d} counts {tokens:d} tokens as lent")
def counts_lent(context, entry, tokens):
    async def act(story):
        assert story.lent()[entry - 1] == tokens, story.lent()

    plan(context, act)


@behave.when("entry {entry:d} is proved gone")
def proved_gone(context, entry):
    async def act(story):
        name = f"e{entry}"
        incarnation = story.fleet.view.entries[name].incarnation
        story.fleet.gone.add((name, incarnation))

    plan(context, act)


@behave.when("entry {giver:d} hands its partitions over to entry {taker:d}")
def hands_over(context, giver, taker):
    async def act(story):
        shares = story.fleet.view.entries[f"e{giver}"].shares
        levels = story.fleet.take(f"e{giver}", list(shares))
        story.fleet.give(f"e{taker}", list(shares))
        story.fleet.ledgers[f"e{taker}"].add_transferred(levels)

    plan(context, act)


@behave.when("entry {lost:d} is proved gone and entry {taker:d} takes over")
def takes_over(context, lost, taker):
    async def act(story):
        name = f"e{lost}"
        shares = story.fleet.view.entries[name].shares
        story.fleet.start(name)
        story.fleet.give(f"e{taker}", list(shares))

    plan(context, act)


@behave.then('entry {entry:d} has {tokens:d} tokens of "{name}"')
def entry_has(context, entry, tokens, name):
    async def act(story):
        bucket = story.fleet.ledgers[f"e{entry}"].accounts.get(name).bucket
        assert abs(bucket.level - tokens) < 1e-3, bucket.level

    plan(context, act)


@behave.when("entry {entry:d} restarts and all others are cut off")
def restarts_alone(context, entry):
    async def act(story):
        story.fleet.start(f"e{entry}")
        story.fleet.down.update(set(story.fleet.ledgers) - {f"e{entry}"})

    plan(context, act)


@behave.when(
    "the clock of entry {entry:d} runs on by {step:g} s whenever it is read"
)
def clock_runs_on(context, entry, step):
    async def act(story):
        times = itertools.count(trio.current_time(), step)
        slow = story.fleet.ledgers[f"e{entry}"].borrower
        slow.clock = lambda: next(times)

    plan(context, act)


@behave.when("the same request is tried again")
def tried_again(context):
    async def act(story):
        entry, tokens = story.asked
        call = dataclasses.replace(
            memoryfleet.ask(CUSTOMER, tokens, name=""),
            charge=story.charges[-1],
        )
        charge = await story.fleet.ledgers[f"e{entry}"].admit(call)
        assert charge == story.charges[-1]

    plan(context, act)


@behave.when("it is settled twice at {tokens:d} tokens")
def settled(context, tokens):
    async def act(story):
        ledger = story.fleet.ledgers[f"e{story.asked[0]}"]
        msg = messages.Settle(0, story.charges[-1], CUSTOMER, "", tokens)
        for _ in range(2):
            ledger.settle(msg)

    plan(context, act)
