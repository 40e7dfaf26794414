"""A worker in trouble sends the body of an answer without end.

One of eight model workers begins to send bytes without end in every third of
its answers, as chunks of 32 bytes each, until the caller closes or the trouble
is over.  Beside it clients send purchase orders, which go to sound workers of
another service.  The rule: of the orders that have no answer at their route's
time-out, at least half have one half a second later.
"""

import time

from review import fleet as fleet_module

MODEL_WORKERS = 8
APP_WORKERS = 4
# Orders a second over four entries; each takes its worker 80 ms.
ORDER_INTERVAL_S = 1 / 12
# Every so many orders, a client asks for a review of a lot.
ORDERS_PER_REVIEW = 6
SOUND_S = 4.0
TROUBLE_S = 6.0
# Clients go on after the trouble.
AFTER_S = 6.0
ORDER_TIMEOUT_S = 1.2
SLACK_S = 0.5
ORDER_DEADLINE_MS = 2500
REVIEW_TIMEOUT_MS = 11000
# Fewer orders past the time-out show nothing.
MIN_ORDERS = 8


def send_for(fleet, seconds):
    """Let clients send orders and reviews to all entries."""
    entries = list(fleet_module.ENTRIES)
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        entry = entries[number % len(entries)]
        fleet.send_soon(
            entry, "POST", "/orders/1", b"order", ORDER_DEADLINE_MS
        )
        if number % ORDERS_PER_REVIEW == 0:
            fleet.send_soon(
                entries[number // ORDERS_PER_REVIEW % len(entries)],
                "POST",
                "/draft/1",
                b"prompt",
                REVIEW_TIMEOUT_MS,
                X_Model="m0",
                X_Token_Count="2890,52",
                X_Prompt_Prefix=f"ab01:6300,{number:08x}:2890",
            )
        number += 1
        time.sleep(ORDER_INTERVAL_S)


def count_run_after_close(fleet, orders):
    """Return how many orders workers began after their clients had left."""
    began_at = {e["id"]: e["at"] for e in fleet.events(what="run")}
    return sum(
        began_at.get(order.request_id, 0.0)
        > order.sent_at + order.took_s + SLACK_S
        for order in orders
    )


def case(fleet, has_trouble):
    """Run the case; return what broke the rule."""
    fleet.configure(
        routes=[
            fleet_module.route(
                "draft",
                maxAttempts=1,
                timeoutMs=REVIEW_TIMEOUT_MS,
                targetLatencyMs=2000,
            ),
            fleet_module.route(
                "orders",
                kind="unsafe",
                service="app",
                maxAttempts=1,
                timeoutMs=int(ORDER_TIMEOUT_S * 1000),
                targetLatencyMs=150,
            ),
        ]
    )
    for number in range(MODEL_WORKERS):
        zone = fleet_module.ZONES[number % len(fleet_module.ZONES)]
        options = ("--events", 8, "--pace-ms", 20, "--endless-every", 3)
        fleet.add_worker(f"i-{number}", "models", zone, f"m{number}", options)
    for number in range(APP_WORKERS):
        zone = fleet_module.ZONES[number % len(fleet_module.ZONES)]
        fleet.add_worker(f"j-{number}", "app", zone)
    fleet.start_entries()
    send_for(fleet, SOUND_S)
    if has_trouble:
        fleet.set_odd("i-0", TROUBLE_S)
    send_for(fleet, TROUBLE_S)
    send_for(fleet, AFTER_S)
    fleet.join(REVIEW_TIMEOUT_MS / 1000 + 5)
    orders = [a for a in fleet.answers if a.path == "/orders/1"]
    late = [a for a in orders if a.took_s > ORDER_TIMEOUT_S]
    very_late = [a for a in late if a.took_s > ORDER_TIMEOUT_S + SLACK_S]
    unanswered = [a for a in orders if not a.status]
    print(
        f"{len(orders)} orders, {len(late)} without an answer after "
        f"{ORDER_TIMEOUT_S} s, {len(very_late)} of them {SLACK_S} s later; "
        f"{len(unanswered)} never answered; "
        f"{count_run_after_close(fleet, orders)} were begun by a worker over "
        f"{SLACK_S} s after their client had closed its connection"
    )
    if len(late) >= MIN_ORDERS and 2 * len(very_late) > len(late):
        return [f"{a.request_id}: {a.took_s:.1f} s" for a in very_late]
    return []


if __name__ == "__main__":
    fleet_module.run_case(case, __file__)
