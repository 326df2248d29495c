"""What one run of the emulator is judged by."""

from collections import Counter, defaultdict
from typing import Any

import attrs

from foxtailcourse.emulator._engine import Job
from foxtailcourse.emulator._entry import Outcome
from foxtailcourse.emulator._workload import Deployment
from foxtailcourse.protocol import RequestClass

WINDOW_S = 5.0


@attrs.define(kw_only=True)
class Result:
    """Figures of one run, or of several runs together.

    Parameters
    ----------
    seconds : float
        Measured time.
    prompt_tokens, hit_tokens, wasted_tokens : int
        Tokens of the prompts that ran, those served from cache, and prefix tokens
        computed although some server of the model held them.
    short_ttft_s : list of float
        Time to first token of every offered short request, in seconds; a refused
        one counts with its deadline, an unanswered one with its age.
    long_done : int
        Completed long requests.
    offered, refused : dict of RequestClass to int
        Requests by class.
    received, entitled : dict of str to float
        Service by client account in seconds, and what its contract entitles it to,
        over the windows in which it had a request waiting all the time.
    """

    seconds: float = 0.0
    prompt_tokens: int = 0
    hit_tokens: int = 0
    wasted_tokens: int = 0
    short_ttft_s: list[float] = attrs.field(factory=list)
    long_done: int = 0
    offered: Counter[RequestClass] = attrs.field(factory=Counter)
    refused: Counter[RequestClass] = attrs.field(factory=Counter)
    received: dict[str, float] = attrs.field(factory=dict)
    entitled: dict[str, float] = attrs.field(factory=dict)

    @property
    def hit_rate(self) -> float:
        """Prompt tokens served from cache over prompt tokens."""
        return self.hit_tokens / max(1, self.prompt_tokens)

    @property
    def waste_ratio(self) -> float:
        """Needlessly computed prefix tokens over prompt tokens."""
        return self.wasted_tokens / max(1, self.prompt_tokens)

    @property
    def long_done_per_s(self) -> float:
        """Completed long requests per second."""
        return self.long_done / self.seconds

    @property
    def least_share(self) -> float:
        """Least ratio of received to contracted service of any client account.

        It is 0 if no account ever waited: in an overload that means that work was
        refused which should have waited.
        """
        return min(self.shares().values(), default=0.0)

    def shares(self) -> dict[str, float]:
        """Return the ratio of received to contracted service by client account."""
        entitled = sorted(self.entitled)
        return {each: self.received[each] / self.entitled[each] for each in entitled}

    def short_percentile_s(self, percent: int) -> float:
        """Return a percentile of the short requests' time to first token."""
        ordered = sorted(self.short_ttft_s)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]

    def refused_ratio(self, request_class: RequestClass) -> float:
        """Return refused over offered requests of a class."""
        return self.refused[request_class] / max(1, self.offered[request_class])

    def __add__(self, other: "Result") -> "Result":
        names = [each.name for each in attrs.fields(Result)]
        return Result(**{n: _sum(getattr(self, n), getattr(other, n)) for n in names})


class Meter:
    """Collects what happens in one run after the warm-up."""

    def __init__(self, deployment: Deployment, accounts: dict[str, float]) -> None:
        self._cfg, self._accounts = deployment, accounts
        self._tokens = self._hit = self._wasted = 0
        self._service: dict[int, dict[str, float]] = defaultdict(
            lambda: dict.fromkeys(accounts, 0.0)
        )
        self._idle: dict[int, set[str]] = defaultdict(set)

    def served(self, job: Job, now: float) -> None:
        """Note a request that an engine completed."""
        if now < self._cfg.warm_up_s:
            return
        engine = self._cfg.engine
        self._tokens += job.tokens
        self._hit += job.matched * engine.block_tokens
        self._wasted += job.elsewhere * engine.block_tokens
        decode_s = job.output_tokens / engine.decode_tokens_per_s
        self._spread(job.client_account, job.prefill_s + decode_s, now)

    def waiting(self, accounts: set[str], now: float) -> None:
        """Note which client accounts have a request waiting anywhere."""
        self._idle[int(now / WINDOW_S)].update(self._accounts.keys() - accounts)

    def result(self, outcomes: list[Outcome]) -> Result:
        """Return the figures."""
        cfg = self._cfg
        result = Result(
            seconds=cfg.duration_s - cfg.warm_up_s,
            prompt_tokens=self._tokens,
            hit_tokens=self._hit,
            wasted_tokens=self._wasted,
        )
        for outcome in outcomes:
            self._count(outcome, result)
        self._add_shares(result)
        return result

    def _count(self, outcome: Outcome, result: Result) -> None:
        cfg, req = self._cfg, outcome.request
        short = req.request_class is RequestClass.SHORT
        done_at = outcome.done_at or 0.0
        if not short and cfg.warm_up_s <= done_at < cfg.duration_s:
            result.long_done += 1
        if req.at < cfg.warm_up_s:
            return
        result.offered[req.request_class] += 1
        result.refused[req.request_class] += outcome.refused
        if short:
            end = cfg.duration_s + cfg.long_deadline_s
            result.short_ttft_s.append(_ttft_s(outcome, end))

    def _spread(self, account: str, service_s: float, now: float) -> None:
        """Credit the service to the windows in which it was given."""
        start = max(0.0, now - service_s)
        window = int(start / WINDOW_S)
        while start < now:
            end = min(now, (window + 1) * WINDOW_S)
            self._service[window][account] += end - start
            start, window = end, window + 1

    def _add_shares(self, result: Result) -> None:
        total_share = sum(self._accounts.values())
        first = int(self._cfg.warm_up_s / WINDOW_S) + 2
        last = int(self._cfg.duration_s / WINDOW_S) - 2
        for window in range(first, last):
            service = self._service[window]
            total = sum(service.values())
            for account in sorted(self._accounts.keys() - self._idle[window]):
                share = self._accounts[account] / total_share
                gained = {account: service[account]}
                result.received = _sum(result.received, gained)
                result.entitled = _sum(result.entitled, {account: total * share})


def _ttft_s(outcome: Outcome, end: float) -> float:
    req = outcome.request
    if outcome.first_at is not None:
        return outcome.first_at - req.at
    return req.deadline_s if outcome.refused else end - req.at


def _sum(one: Any, other: Any) -> Any:
    """Add two figures; those of mappings are added by key."""
    if not isinstance(one, dict):
        return one + other
    keys = sorted(one.keys() | other.keys(), key=str)
    return type(one)({each: one.get(each, 0) + other.get(each, 0) for each in keys})
