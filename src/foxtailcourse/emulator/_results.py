"""Results of a run of the emulator."""

from collections import Counter, defaultdict
from typing import Any

import attrs

from foxtailcourse.emulator._engine import Job
from foxtailcourse.emulator._entry import Outcome
from foxtailcourse.emulator._workload import Deployment
from foxtailcourse.protocol import RequestClass

# Length of the windows over which service is compared with the contracts.
WINDOW_S = 5.0


@attrs.define(kw_only=True)
class Result:
    """Results of one run, or of several runs added together.

    Parameters
    ----------
    measured_s : float
        Time without the warm-up, in seconds.
    prompt_tokens, hit_tokens, redundant_tokens : int
        Tokens of the prompts that ran, those found in the cache, and prefix tokens
        prefilled although another server of the model had them cached.
    short_ttft_s : list of float
        Time to first token of every offered short request, in seconds; a refused
        one counts with its deadline, one without a response with its age.
    long_done : int
        Completed long requests.
    offered, refused : dict of RequestClass to int
        Requests by class.
    received_s, entitled_s : dict of str to float
        Service that each client account received and that its contract entitles it
        to, in seconds, over the windows during which it always had a request queued.
    """

    measured_s: float = 0.0
    prompt_tokens: int = 0
    hit_tokens: int = 0
    redundant_tokens: int = 0
    short_ttft_s: list[float] = attrs.field(factory=list)
    long_done: int = 0
    offered: Counter[RequestClass] = attrs.field(factory=Counter)
    refused: Counter[RequestClass] = attrs.field(factory=Counter)
    received_s: dict[str, float] = attrs.field(factory=dict)
    entitled_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def hit_rate(self) -> float:
        """Fraction of the prompt tokens found in the cache."""
        return self.hit_tokens / max(1, self.prompt_tokens)

    @property
    def waste_ratio(self) -> float:
        """Fraction of the prompt tokens that were prefilled redundantly."""
        return self.redundant_tokens / max(1, self.prompt_tokens)

    @property
    def long_done_per_s(self) -> float:
        """Completed long requests per second."""
        return self.long_done / self.measured_s

    @property
    def least_share(self) -> float:
        """Minimum ratio of received to contracted service over the client accounts.

        It is 0 if no account ever had requests queued: under overload this means that
        requests were refused that should have been queued.
        """
        return min(self.share_ratios().values(), default=0.0)

    def share_ratios(self) -> dict[str, float]:
        """Return the ratio of received to contracted service by client account."""
        accounts = sorted(self.entitled_s)
        return {
            each: self.received_s[each] / self.entitled_s[each] for each in accounts
        }

    def short_percentile_s(self, percent: int) -> float:
        """Return a percentile of the time to first token of short requests."""
        ordered = sorted(self.short_ttft_s)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]

    def refused_ratio(self, request_class: RequestClass) -> float:
        """Return the fraction of the offered requests of a class that was refused."""
        return self.refused[request_class] / max(1, self.offered[request_class])

    def __add__(self, other: "Result") -> "Result":
        names = [each.name for each in attrs.fields(Result)]
        return Result(**{n: _add(getattr(self, n), getattr(other, n)) for n in names})


class ResultCollector:
    """Collects the results of one run after the warm-up.

    Parameters
    ----------
    deployment : Deployment
        Sizes.
    accounts : dict of str to float
        Contracted share by client account.
    """

    def __init__(self, deployment: Deployment, accounts: dict[str, float]) -> None:
        self._cfg, self._accounts = deployment, accounts
        self._prompt_tokens = self._hit_tokens = self._redundant_tokens = 0
        # Service in seconds by window and client account.
        self._service_s: dict[int, dict[str, float]] = defaultdict(
            lambda: dict.fromkeys(accounts, 0.0)
        )
        # Client accounts without a queued request at some poll, by window.
        self._idle: dict[int, set[str]] = defaultdict(set)

    def record_completed(self, job: Job, now: float) -> None:
        """Record a request that an engine completed."""
        if now < self._cfg.warm_up_s:
            return
        engine = self._cfg.engine
        self._prompt_tokens += job.prompt_tokens
        self._hit_tokens += job.matched_blocks * engine.block_tokens
        self._redundant_tokens += job.redundant_blocks * engine.block_tokens
        decode_s = job.output_tokens / engine.decode_tokens_per_s
        self._add_service(job.client_account, job.prefill_s + decode_s, now)

    def record_waiting(self, accounts: set[str], now: float) -> None:
        """Record which client accounts have a request queued at some agent."""
        self._idle[int(now / WINDOW_S)].update(self._accounts.keys() - accounts)

    def result(self, outcomes: list[Outcome]) -> Result:
        """Return the results."""
        cfg = self._cfg
        result = Result(
            measured_s=cfg.duration_s - cfg.warm_up_s,
            prompt_tokens=self._prompt_tokens,
            hit_tokens=self._hit_tokens,
            redundant_tokens=self._redundant_tokens,
        )
        for outcome in outcomes:
            self._add_outcome(outcome, result)
        self._add_shares(result)
        return result

    def _add_outcome(self, outcome: Outcome, result: Result) -> None:
        cfg, req = self._cfg, outcome.request
        short = req.request_class is RequestClass.SHORT
        done_at = outcome.done_at or 0.0
        if not short and cfg.warm_up_s <= done_at < cfg.duration_s:
            result.long_done += 1
        if req.arrived_at < cfg.warm_up_s:
            return
        result.offered[req.request_class] += 1
        result.refused[req.request_class] += outcome.refused
        if short:
            end = cfg.duration_s + cfg.long_deadline_s
            result.short_ttft_s.append(_ttft_s(outcome, end))

    def _add_service(self, account: str, service_s: float, now: float) -> None:
        """Add service that ends now to the windows that it overlaps."""
        start = max(0.0, now - service_s)
        window = int(start / WINDOW_S)
        while start < now:
            end = min(now, (window + 1) * WINDOW_S)
            self._service_s[window][account] += end - start
            start, window = end, window + 1

    def _add_shares(self, result: Result) -> None:
        total_share = sum(self._accounts.values())
        # Leaves out two windows after the warm-up, which lack the service of requests
        # that completed during it, and the last two.
        first = int(self._cfg.warm_up_s / WINDOW_S) + 2
        last = int(self._cfg.duration_s / WINDOW_S) - 2
        for window in range(first, last):
            service_s = self._service_s[window]
            total_s = sum(service_s.values())
            for account in sorted(self._accounts.keys() - self._idle[window]):
                share = self._accounts[account] / total_share
                received_s = {account: service_s[account]}
                result.received_s = _add(result.received_s, received_s)
                result.entitled_s = _add(result.entitled_s, {account: total_s * share})


def _ttft_s(outcome: Outcome, end: float) -> float:
    req = outcome.request
    if outcome.first_token_at is not None:
        return outcome.first_token_at - req.arrived_at
    return req.deadline_s if outcome.refused else end - req.arrived_at


def _add(one: Any, other: Any) -> Any:
    """Add two results; those of mappings are added by key."""
    if not isinstance(one, dict):
        return one + other
    keys = sorted(one.keys() | other.keys(), key=str)
    return type(one)({each: one.get(each, 0) + other.get(each, 0) for each in keys})
