"""Attempts of repeatable requests: candidates, order and limits."""

import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import trio

from foxtailcourse.config import ConfigStore, Vm
from foxtailcourse.entry._call import Call
from foxtailcourse.entry._probe import LivenessProbes
from foxtailcourse.entry._servers import ServerDirectory
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.entry._upstream import (
    Answer,
    AttemptBroken,
    AttemptError,
    AttemptRefused,
    Outgoing,
    open_attempt,
)
from foxtailcourse.http import ConnectionPool, HttpError, RequestOptions
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.protocol import Attempt, Reply, Verdict
from foxtailcourse.routing import Choice, Placement, ServerReply
from foxtailcourse.sharing import RetryBudget

RETRY_AFTER_MS = 1000
HEAD_MARGIN_S = 1.0


@attrs.frozen(kw_only=True)
class Target:
    """A backend server and the weights version it is expected to serve."""

    vm: Vm
    version: str


@attrs.define
class Tries:
    """What the attempts of one request have shown so far.

    Parameters
    ----------
    made : int
        Number of attempts.
    avoid : set of str
        VMs that are not to be tried again.
    failures : list of AttemptError
        In order.
    """

    made: int = 0
    avoid: set[str] = attrs.field(factory=set)
    failures: list[AttemptError] = attrs.field(factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return any(each.verdict is not Verdict.NOT_RUN for each in self.failures)

    def error(self) -> HttpError:
        """Return the answer to a request that no attempt has served."""
        refused = [each for each in self.failures if isinstance(each, AttemptRefused)]
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN
        if refused:
            last = refused[-1]
            waits = [each.reply.retry_after_ms for each in refused]
            return HttpError(
                last.status,
                last.code,
                last.message,
                verdict=verdict,
                retry_after_ms=min(waits) if last.elsewhere else 0,
            )
        if self.failures:
            return HttpError(
                502 if self.may_have_run else 503,
                "backend_failed" if self.may_have_run else "backend_unreachable",
                "no backend server completed the request",
                verdict=verdict,
                retry_after_ms=RETRY_AFTER_MS,
            )
        return HttpError(
            503,
            "no_backend_server",
            "no backend server is in service",
            retry_after_ms=RETRY_AFTER_MS,
        )


class Dispatcher:
    """Chooses backend servers and sends attempts to them.

    Parameters
    ----------
    cfg : EntrySettings
        Times and number of attempts.
    store : ConfigStore
        The configuration.
    placement : Placement
        Ranks the backend servers.
    pool : ConnectionPool
        Connections to agents.
    events : EventLog
        Told of failed attempts.
    metrics : Metrics
        Counts attempts.
    saw_revision : callable
        Told of a configuration revision above ours and the VM that has it.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        store: ConfigStore,
        placement: Placement,
        pool: ConnectionPool,
        events: EventLog,
        metrics: Metrics,
        saw_revision: Callable[[int, str], None],
    ) -> None:
        self._saw_revision = saw_revision
        self.cfg = cfg
        self.store = store
        self.placement = placement
        self.pool = pool
        self.events = events
        self.metrics = metrics
        self.servers = ServerDirectory()
        self.retries = RetryBudget()
        self.probes = LivenessProbes(pool, cfg.probe_after_s, cfg.probe_timeout_s)

    def saw_reply(self, reply: Reply) -> None:
        """Take note of what a reply says about its sender."""
        self.servers.replied(reply, trio.current_time())
        self.events.clock.receive(reply.clock)
        if reply.config_revision > self.store.revision:
            self._saw_revision(reply.config_revision, reply.backend_server)

    def next_target(
        self, call: Call, tries: Tries, version: str | None = None
    ) -> Target | None:
        """Return the backend server for the next attempt, or None to give up.

        Parameters
        ----------
        call : Call
            The request.
        tries : Tries
            Its attempts so far.
        version : str
            Weights version that the server must serve; None for any.
        """
        now = trio.current_time()
        if tries.made >= self.cfg.max_attempts:
            return None
        target = self._best(call, tries.avoid, version, now)
        if target is None:
            return None
        if not tries.made:
            self.first_attempt(call)
        elif not self.may_retry(call, continued=version is not None):
            return None
        tries.made += 1
        return target

    def first_attempt(self, call: Call) -> None:
        """Note a first attempt for the retry budget."""
        account = call.contract.client_account
        self.retries.first_attempt(account, trio.current_time())

    def may_retry(self, call: Call, *, continued: bool = False) -> bool:
        """Spend one retry if the budget and the deadline allow it."""
        now = trio.current_time()
        # A stream that has begun met its deadline with the first token.
        deadline = now + 1.0 if continued else call.deadline
        account = call.contract.client_account
        return self.retries.allow_retry(account, now, deadline)

    def _best(
        self, call: Call, avoid: set[str], version: str | None, now: float
    ) -> Target | None:
        view = self.store.view
        groups = self.servers.groups(view, call.serves, call.desired_version, now)
        best: tuple[Choice, str] | None = None
        for each, servers in groups.items():
            if version is not None and each != version:
                continue
            choice = self._choose(call, each, servers, avoid, now)
            if choice and (best is None or choice.cost_s < best[0].cost_s):
                best = (choice, each)
        if best is None:
            return None
        choice, served = best
        return Target(vm=view.vms[choice.backend_server], version=served)

    def _choose(
        self,
        call: Call,
        version: str,
        servers: tuple[str, ...],
        avoid: set[str],
        now: float,
    ) -> Choice | None:
        prompt = call.prompt(version)
        ranked = self.placement.rank(prompt, servers, call.request_class, now)
        left = [each for each in ranked if each.backend_server not in avoid]
        if not left and avoid:
            # All candidates were tried; only then the rest of the fleet is ranked.
            others = tuple(each for each in servers if each not in avoid)
            left = self.placement.rank(prompt, others, call.request_class, now)
        return left[0] if left else None

    @asynccontextmanager
    async def attempt(
        self,
        call: Call,
        target: Target,
        outgoing: Outgoing,
        options: RequestOptions,
        *,
        resume_from: int = 0,
    ) -> AsyncIterator[tuple[Attempt, Answer]]:
        """Send one attempt and yield its answer; takes note of how it ends."""
        prompt = call.prompt(target.version)
        vm, now = target.vm.vm, trio.current_time()
        attempt = Attempt(
            request_id=call.request_id,
            attempt_id=secrets.token_hex(12),
            client_account=call.contract.client_account,
            request_class=call.request_class,
            prefix_keys=prompt.keys,
            prompt_tokens=prompt.tokens,
            max_tokens=call.max_tokens,
            deadline_ms=max(0, int((call.deadline - now) * 1000)),
            config_revision=self.store.revision,
            clock=str(self.events.clock.tick()),
            weights_version=target.version,
            cache_salt=prompt.salt,
            resume_from=resume_from,
        )
        self.placement.sent(prompt, vm, now)
        self.events.emit(
            "attempt_sent",
            request_id=call.request_id,
            attempt_id=attempt.attempt_id,
            client_account=attempt.client_account,
            backend_server=vm,
            resume_from=resume_from or None,
        )
        result = "cancelled"
        try:
            async with open_attempt(
                self.pool,
                target.vm,
                attempt,
                outgoing,
                options,
                self.probes.wait_frozen,
            ) as answer:
                self._note_reply(call, target, answer.reply, refused=False)
                self._count_tokens(call, prompt.tokens, answer.reply)
                _check_version(target, answer.reply)
                yield attempt, answer
            result = "whole"
        except AttemptRefused as exc:
            result = "refused"
            self._note_reply(call, target, exc.reply, refused=True)
            raise
        except AttemptBroken as exc:
            result = exc.code
            self._note_broken(call, target, exc)
            raise
        finally:
            self.placement.finished(prompt, vm, trio.current_time())
            self.metrics.count("foxtail_entry_attempts_total", result=result, server=vm)
            self.events.emit(
                "attempt_ended",
                request_id=call.request_id,
                attempt_id=attempt.attempt_id,
                backend_server=vm,
                result=result,
            )

    def _note_reply(
        self, call: Call, target: Target, reply: Reply, *, refused: bool
    ) -> None:
        noted = ServerReply(
            backend_server=reply.backend_server,
            engine_incarnation=reply.engine_incarnation,
            matched_blocks=reply.matched_blocks,
            queued_s=reply.load.queued_ms / 1000,
            running=reply.load.running,
            waiting=reply.load.waiting,
            refused=refused,
        )
        prompt = call.prompt(target.version)
        self.placement.replied(prompt, noted, trio.current_time())
        self.saw_reply(reply)

    def _count_tokens(self, call: Call, tokens: int, reply: Reply) -> None:
        if tokens:
            model = call.serves
            cached = min(tokens, reply.cached_tokens)
            count = self.metrics.count
            count("foxtail_entry_prompt_tokens_total", tokens, model=model)
            count("foxtail_entry_cached_tokens_total", cached, model=model)

    def _note_broken(self, call: Call, target: Target, exc: AttemptBroken) -> None:
        now = trio.current_time()
        if exc.code in {"unreachable", "wrong_server", "frozen"}:
            self.servers.unreachable(target.vm.vm, now)
            self.placement.lost(target.vm.vm, now)
        self.events.emit(
            "attempt_broken",
            request_id=call.request_id,
            backend_server=target.vm.vm,
            code=exc.code,
            reason=exc.message,
        )

    def note_failure(self, tries: Tries, target: Target, exc: AttemptError) -> bool:
        """Take note of a failed attempt; return whether another may be made."""
        tries.failures.append(exc)
        if isinstance(exc, AttemptRefused) and not exc.elsewhere:
            return False
        served = self.servers.version(target.vm.vm, target.version)
        if served != target.version and len(tries.failures) == 1:
            # The reply told which version the server has; the next attempt sends
            # the keys of that version.
            return True
        tries.avoid.add(target.vm.vm)
        return True

    def head_wait_s(self, call: Call) -> float:
        """Return how long to wait for the head of a streamed answer.

        Somewhat longer than until the deadline, at which the agent refuses a request
        that has not started.
        """
        return max(0.0, call.deadline - trio.current_time()) + HEAD_MARGIN_S


def _check_version(target: Target, reply: Reply) -> None:
    """Reject an answer by other weights than the prefix keys were computed for."""
    if target.version and reply.weights_version != target.version:
        message = f"expected {target.version}, got {reply.weights_version}"
        raise AttemptBroken("wrong_version", message)
