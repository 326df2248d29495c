"""What one run of the emulator is judged by."""

from collections import defaultdict

import attrs

from foxtailcourse.emulator._engine import Job
from foxtailcourse.emulator._entry import Outcome
from foxtailcourse.emulator._workload import Deployment
from foxtailcourse.protocol import RequestClass

WINDOW_S = 5.0


@attrs.frozen(kw_only=True)
class Result:
    """Figures of one run.

    Parameters
    ----------
    hit_rate : float
        Prompt tokens served from cache over prompt tokens.
    waste_ratio : float
        Prefix tokens computed although some server of the model held them, over
        prompt tokens.
    short_ttft_s : dict of int to float
        Percentiles of the time to first token over all offered short requests; a
        refused one counts with its deadline, an unanswered one with its age.
    long_done_per_s : float
        Completed long requests per second.
    refused_ratio : dict of str to float
        Refused over offered requests, by class.
    least_share : float
        Least ratio of received to contracted service of any client account, over the
        windows in which it had a request waiting all the time.
    """

    hit_rate: float
    waste_ratio: float
    short_ttft_s: dict[int, float]
    long_done_per_s: float
    refused_ratio: dict[str, float]
    least_share: float


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
        counted = [each for each in outcomes if each.request.at >= cfg.warm_up_s]
        by_class = {
            each: [o for o in counted if o.request.request_class is each]
            for each in RequestClass
        }
        end = cfg.duration_s + cfg.long_deadline_s
        ttft = sorted(_ttft_s(each, end) for each in by_class[RequestClass.SHORT])
        done = [
            each
            for each in outcomes
            if each.request.request_class is RequestClass.LONG
            and each.done_at is not None
            and cfg.warm_up_s <= each.done_at < cfg.duration_s
        ]
        return Result(
            hit_rate=self._hit / max(1, self._tokens),
            waste_ratio=self._wasted / max(1, self._tokens),
            short_ttft_s={p: _percentile(ttft, p) for p in (50, 95, 99)},
            long_done_per_s=len(done) / (cfg.duration_s - cfg.warm_up_s),
            refused_ratio={
                each.value: _refused_ratio(group) for each, group in by_class.items()
            },
            least_share=min(self._share_ratios().values(), default=float("inf")),
        )

    def _spread(self, account: str, service_s: float, now: float) -> None:
        """Credit the service to the windows in which it was given."""
        start = max(0.0, now - service_s)
        window = int(start / WINDOW_S)
        while start < now:
            end = min(now, (window + 1) * WINDOW_S)
            self._service[window][account] += end - start
            start, window = end, window + 1

    def _share_ratios(self) -> dict[str, float]:
        total_share = sum(self._accounts.values())
        received: dict[str, float] = defaultdict(float)
        entitled: dict[str, float] = defaultdict(float)
        first = int(self._cfg.warm_up_s / WINDOW_S) + 2
        last = int(self._cfg.duration_s / WINDOW_S) - 2
        for window in range(first, last):
            service = self._service[window]
            total = sum(service.values())
            for account in self._accounts.keys() - self._idle[window]:
                share = self._accounts[account] / total_share
                received[account] += service[account]
                entitled[account] += total * share
        return {a: received[a] / entitled[a] for a in entitled if entitled[a] > 0}


def _ttft_s(outcome: Outcome, end: float) -> float:
    req = outcome.request
    if outcome.first_at is not None:
        return outcome.first_at - req.at
    return req.deadline_s if outcome.refused else end - req.at


def _percentile(ordered: list[float], percent: int) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def _refused_ratio(outcomes: list[Outcome]) -> float:
    refused = sum(each.refused for each in outcomes)
    return refused / max(1, len(outcomes))
