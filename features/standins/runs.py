"""One request that runs at a stand-in engine."""

import functools
import time

import trio

from features.standins import answers
from features.standins import replies

__all__ = ["Run"]

GRACE_S = 0.002


class Run:
    """One request that runs."""

    def __init__(self, engine, exchange, body, replica):
        self.engine = engine
        self.exchange = exchange
        self.body = body
        self.replica = replica
        self.life = engine.life
        self.open = True
        name = exchange.headers.get("x-request-id", "")
        self.event = engine.history.add(
            "request",
            request=name,
            model=body["model"],
            path=exchange.path,
            headers=exchange.headers,
            prompt=answers.prompt_of(body),
            prompt_tokens=answers.expected(body).prompt_tokens,
            incarnation=self.life.incarnation,
            outcome="running",
            tokens=0,
            ended=None,
        )

    async def run(self, fault):
        """Judge the load, then reply."""
        engine = self.engine
        engine.counts["requests"] += 1
        self.life.in_flight += 1
        self.replica.running += 1
        engine.peak = max(engine.peak, self.life.in_flight)
        try:
            await self._judge()
            if engine.life is not self.life:
                return
            await self._reply(fault).send()
        finally:
            self._end("cancelled" if self.exchange.gone else "cut")

    async def _judge(self):
        limit = self.life.warmth.limit
        if self.life.in_flight > limit:
            # Disconnects that are on their way are read first.
            await trio.sleep(GRACE_S)
        if self.life.in_flight <= limit:
            return
        self.engine.history.violate(
            "overload", in_flight=self.life.in_flight, bears=limit
        )
        if self.engine.args.fragile and self.engine.life is self.life:
            self.engine.history.add("fell_over")
            self.engine.restart()

    def _reply(self, fault):
        return replies.Reply(
            exchange=self.exchange,
            body=self.body,
            request_id=self.event["request"],
            fault=fault,
            pace=self._pace,
            on_token=self._token,
            on_end=functools.partial(self._end, "ok"),
            begin=int(self.exchange.headers.get("x-resume-from", 0)),
        )

    def _pace(self):
        engine = self.engine
        return engine.pace_s * engine.slow / self.life.warmth.speed

    def _token(self):
        self.event["tokens"] += 1
        self.engine.counts["tokens"] += 1

    def _end(self, outcome):
        if not self.open:
            return
        self.open = False
        self.event["outcome"] = outcome
        self.event["ended"] = time.monotonic()
        self.life.in_flight -= 1
        self.replica.running -= 1
        if outcome == "ok":
            self.life.warmth.complete()
        self.engine.sample()
