"""Attempts of repeatable requests: candidates, order and limits."""

import secrets
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

import trio

from foxtailcourse.config import ConfigStore
from foxtailcourse.entry._agent_client import (
    Answer,
    AttemptBroken,
    AttemptError,
    AttemptRefused,
    Outgoing,
    open_attempt,
)
from foxtailcourse.entry._attempt_history import Target, Tries
from foxtailcourse.entry._call import Call
from foxtailcourse.entry._liveness import LivenessProbes
from foxtailcourse.entry._server_directory import ServerDirectory
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.http import ConnectionPool, RequestOptions
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.protocol import Attempt, Reply
from foxtailcourse.routing import Placement, RankedServer, ServerReply
from foxtailcourse.sharing import FeasibilityTable, Refusal, RetryBudget

HEAD_MARGIN_S = 1.0
CAPACITY_CODES = frozenset({"deadline", "queue_full", "account_queue_full"})


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
        self.feasibility = FeasibilityTable(cfg.refusal_memory_s)
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
        if version is not None:
            # The deadline was for the first token; an agent would refuse a request
            # whose deadline has passed.
            limit_s = call.contract.deadline_ms(call.request_class) / 1000
            call.deadline = max(call.deadline, now + limit_s)
        target = self._best(call, tries, version, now)
        if target is None:
            return None
        if not tries.made:
            self.first_attempt(call)
        elif version is not None:
            if not self._may_continue(call, tries):
                return None
        elif not self.may_retry(call):
            return None
        tries.made += 1
        return target

    def _may_continue(self, call: Call, tries: Tries) -> bool:
        """Whether a stream that has begun may be continued.

        The first continuation is free of the retry budget, so that all streams of a
        lost backend server complete; that at most doubles the attempts of a fleet
        whose streams begin and then fail.
        """
        tries.continued += 1
        return tries.continued == 1 or self.may_retry(call)

    def first_attempt(self, call: Call) -> None:
        """Note a first attempt for the retry budget."""
        account = call.contract.client_account
        self.retries.record_first_attempt(account, trio.current_time())

    def may_retry(self, call: Call) -> bool:
        """Spend one retry if the budget and the deadline allow it."""
        account = call.contract.client_account
        return self.retries.allow_retry(account, trio.current_time(), call.deadline)

    def _best(
        self, call: Call, tries: Tries, version: str | None, now: float
    ) -> Target | None:
        view = self.store.view
        groups = self.servers.groups(view, call.serves, call.desired_version, now)
        best: tuple[RankedServer, str] | None = None
        for each, servers in groups.items():
            if version is not None and each != version:
                continue
            choice = self._choose(call, each, servers, tries, now)
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
        tries: Tries,
        now: float,
    ) -> RankedServer | None:
        prompt, avoid = call.prompt(version), tries.avoid
        ranked = self.placement.rank(prompt, servers, call.request_class, now)
        left = [each for each in ranked if each.backend_server not in avoid]
        if not left and avoid:
            # All candidates were tried; only then the rest of the fleet is ranked.
            others = tuple(each for each in servers if each not in avoid)
            left = self.placement.rank(prompt, others, call.request_class, now)
        return self._first_feasible(call, left, tries, now)

    def _first_feasible(
        self, call: Call, ranked: Sequence[RankedServer], tries: Tries, now: float
    ) -> RankedServer | None:
        """Return the best candidate that did not just refuse such a request.

        An account above its share is then refused here instead of by each candidate
        in turn. Only its own refusals count, so others lose nothing.
        """
        feasible = self.feasibility.feasible_servers(
            [each.backend_server for each in ranked],
            call.contract.client_account,
            call.request_class,
            max(0.0, call.deadline - now),
            now,
        )
        if isinstance(feasible, Refusal):
            tries.shed = feasible
            return None
        kept = (each for each in ranked if each.backend_server in feasible)
        return next(kept, None)

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
        self.placement.record_sent(prompt, vm, now)
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
            self.placement.record_finished(prompt, vm, trio.current_time())
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
        self.placement.record_reply(prompt, noted, trio.current_time())
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
            self.placement.record_unreachable(target.vm.vm, now)
        self.events.emit(
            "attempt_broken",
            request_id=call.request_id,
            backend_server=target.vm.vm,
            code=exc.code,
            reason=exc.message,
        )

    def note_failure(
        self, call: Call, tries: Tries, target: Target, exc: AttemptError
    ) -> bool:
        """Take note of a failed attempt; return whether another may be made."""
        tries.failures.append(exc)
        if isinstance(exc, AttemptRefused) and not exc.elsewhere:
            return False
        if exc.code in CAPACITY_CODES and isinstance(exc, AttemptRefused):
            self.feasibility.record_refusal(
                target.vm.vm,
                call.contract.client_account,
                call.request_class,
                exc.reply.retry_after_ms,
                trio.current_time(),
            )
        served = self.servers.version(target.vm.vm, target.version)
        if served != target.version and target.vm.vm not in tries.corrected:
            # The reply told which version the server has; the next attempt sends
            # the keys of that version. During a change of weights this server may be
            # the only one in service, whatever the attempts before it met.
            tries.corrected.add(target.vm.vm)
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
