"""Selection of backend servers, and the attempts that are sent to them."""

import secrets
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from functools import partial

import trio

from foxtailcourse.config import ConfigStore, Vm
from foxtailcourse.entry._agent_client import (
    AgentResponse,
    AttemptBroken,
    AttemptError,
    AttemptRefused,
    OutgoingRequest,
    open_attempt,
)
from foxtailcourse.entry._attempt_history import AttemptHistory, Target
from foxtailcourse.entry._call import Call
from foxtailcourse.entry._crash_exchange import CrashExchange
from foxtailcourse.entry._liveness import LivenessProbes
from foxtailcourse.entry._server_directory import ServerDirectory
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.http import ConnectionPool, RequestOptions
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.process import StopWindow
from foxtailcourse.protocol import Attempt, Reply
from foxtailcourse.routing import Placement, RankedServer, ServerReply
from foxtailcourse.sharing import FeasibilityTable, Refusal, RetryBudget

HEAD_MARGIN_S = 1.0
# Error codes of refusals by an agent for lack of capacity.
# A server that sends this many events of a stream does not crash at its beginning.
ANSWERED_EVENTS = 2
CAPACITY_CODES = frozenset({"deadline", "queue_full", "account_queue_full"})


class Dispatcher:
    """Selects backend servers and sends attempts to their agents.

    Parameters
    ----------
    cfg : EntrySettings
        Timeouts and maximum number of attempts.
    store : ConfigStore
        The configuration.
    placement : Placement
        Ranks the backend servers.
    pool : ConnectionPool
        Connections to agents.
    events : EventLog
        Log of attempts.
    metrics : Metrics
        Counts attempts and tokens.
    on_config_revision : callable
        Called with a configuration revision above the local one and the VM that
        reported it.
    crashes : CrashExchange
        Counts the crashes under each request.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        store: ConfigStore,
        placement: Placement,
        pool: ConnectionPool,
        events: EventLog,
        metrics: Metrics,
        on_config_revision: Callable[[int, str], None],
        crashes: CrashExchange,
    ) -> None:
        self.crashes = crashes
        self._on_config_revision = on_config_revision
        self.cfg = cfg
        self.store = store
        self.placement = placement
        self.pool = pool
        self.events = events
        self.metrics = metrics
        self.servers = ServerDirectory()
        self.retries = RetryBudget()
        self.feasibility = FeasibilityTable(cfg.refusal_memory_s)
        self.stop_window = StopWindow()
        self.probes = LivenessProbes(pool, cfg.probe_after_s, cfg.probe_timeout_s)

    def record_agent_state(self, reply: Reply) -> None:
        """Record the state that an agent reports about itself in a reply."""
        now = trio.current_time()
        self.servers.record_reply(reply, now)
        self.probes.record_response(reply.backend_server, now)
        self.events.clock.receive(reply.clock)
        if reply.config_revision > self.store.revision:
            self._on_config_revision(reply.config_revision, reply.backend_server)

    def next_target(
        self, call: Call, history: AttemptHistory, version: str | None = None
    ) -> Target | None:
        """Return the target of the next attempt, or None if no attempt may be made.

        The attempt is counted in the history. A retry uses the retry budget, except
        for the first continuation of a started stream.

        Parameters
        ----------
        call : Call
            The request. To continue a started stream, its deadline is extended.
        history : AttemptHistory
            The attempts made so far; updated.
        version : str or None
            Weights version of the stream to continue, which the server must serve;
            None for a request whose response has not started.
        """
        history.blocked_s = self.crashes.wait_s(call.crash_key)
        history.is_stopping = not self.has_time(call)
        if history.blocked_s > 0 or history.is_stopping:
            return None
        reserved, history.reserved = history.reserved, None
        if reserved is not None and version in (None, reserved.version):
            return reserved
        now = trio.current_time()
        if history.attempt_count >= self.cfg.max_attempts:
            return None
        if version is not None:
            # The deadline applies to the first token. Agents refuse requests whose
            # deadline has passed, so a continuation gets a new one.
            limit_s = call.contract.deadline_ms(call.request_class) / 1000
            call.deadline = max(call.deadline, now + limit_s)
        target = self._best_target(call, history, version, now)
        if target is None:
            return None
        if not history.attempt_count:
            self.record_first_attempt(call)
        elif version is not None:
            if not self._acquire_continuation(call, history):
                return None
        elif not self.acquire_retry(call):
            return None
        history.attempt_count += 1
        return target

    def has_time(self, call: Call) -> bool:
        """Return whether an attempt may begin, if this entry is stopping."""
        return self.stop_window.has_time(call.ends_by, trio.current_time())

    def reserve_other(
        self,
        call: Call,
        history: AttemptHistory,
        target: Target,
        version: str | None = None,
    ) -> bool:
        """Reserve an attempt at another server than that of the present attempt.

        Returns
        -------
        bool
            Whether there is one. If not, giving up the present attempt would lose the
            request.
        """
        vm = target.vm.vm
        history.excluded_vms.add(vm)
        history.reserved = self.next_target(call, history, version)
        if history.reserved is None:
            history.excluded_vms.discard(vm)
        return history.reserved is not None

    def _acquire_continuation(self, call: Call, history: AttemptHistory) -> bool:
        """Return whether a started stream may be continued.

        The first continuation does not use the retry budget, so that all streams of
        a failed backend server can complete. If all streams start and then fail, this
        at most doubles the number of attempts.
        """
        history.continuation_count += 1
        return history.continuation_count == 1 or self.acquire_retry(call)

    def record_first_attempt(self, call: Call) -> None:
        """Record a first attempt, which adds to the retry budget."""
        account = call.contract.client_account
        self.retries.record_first_attempt(account, trio.current_time())

    def acquire_retry(self, call: Call) -> bool:
        """Acquire a retry; return whether the budget and the deadline allow it."""
        account = call.contract.client_account
        return self.retries.allow_retry(account, trio.current_time(), call.deadline)

    def _best_target(
        self, call: Call, history: AttemptHistory, version: str | None, now: float
    ) -> Target | None:
        """Return the feasible server with the lowest cost.

        Servers are ranked separately for each weights version, since the prefix keys
        depend on the version.
        """
        view = self.store.view
        groups = self.servers.group_by_version(
            view, call.model_or_route, call.desired_version, now
        )
        best: tuple[RankedServer, str] | None = None
        for group_version, servers in groups.items():
            if version is not None and group_version != version:
                continue
            candidate = self._best_server(call, group_version, servers, history, now)
            if candidate and (best is None or candidate.cost_s < best[0].cost_s):
                best = (candidate, group_version)
        if best is None:
            return None
        candidate, served_version = best
        return Target(vm=view.vms[candidate.backend_server], version=served_version)

    def _best_server(
        self,
        call: Call,
        version: str,
        servers: tuple[str, ...],
        history: AttemptHistory,
        now: float,
    ) -> RankedServer | None:
        """Return the best feasible server among those of one weights version."""
        prompt, excluded_vms = call.prompt(version), history.excluded_vms
        ranked = self.placement.rank(prompt, servers, call.request_class, now)
        untried = [each for each in ranked if each.backend_server not in excluded_vms]
        if not untried and excluded_vms:
            # Rank the rest of the fleet only after all candidates were tried.
            remaining = tuple(each for each in servers if each not in excluded_vms)
            untried = self.placement.rank(prompt, remaining, call.request_class, now)
        return self._first_feasible(call, untried, history, now)

    def _first_feasible(
        self,
        call: Call,
        ranked: Sequence[RankedServer],
        history: AttemptHistory,
        now: float,
    ) -> RankedServer | None:
        """Return the best candidate without a recent refusal of such a request.

        A request of a client account that exceeds its share is then refused here
        instead of by each candidate in turn. Refusals are recorded per client account
        and class, so other accounts are not affected.
        """
        feasible = self.feasibility.feasible_servers(
            [each.backend_server for each in ranked],
            call.contract.client_account,
            call.request_class,
            max(0.0, call.deadline - now),
            now,
        )
        if isinstance(feasible, Refusal):
            history.local_refusal = feasible
            return None
        feasible_candidates = (
            each for each in ranked if each.backend_server in feasible
        )
        return next(feasible_candidates, None)

    @asynccontextmanager
    async def attempt(
        self,
        call: Call,
        target: Target,
        outgoing: OutgoingRequest,
        options: RequestOptions,
        *,
        reserve_other: Callable[[], bool],
        resume_from: int = 0,
        outcome_only: bool = False,
    ) -> AsyncIterator[tuple[Attempt, AgentResponse]]:
        """Send one attempt, yield it with its response, and record how it ends.

        Parameters
        ----------
        call : Call
            The request.
        target : Target
            Backend server and its expected weights version.
        outgoing : OutgoingRequest
            Request line, header fields and body.
        options : RequestOptions
            Timeouts.
        reserve_other : callable
            Returns whether another server takes the request if this attempt is given
            up; called while the agent is unresponsive.
        resume_from : int
            Identifier of the first stream event to send; above 0 to continue a stream.
        outcome_only : bool
            As for ``Attempt``.

        Raises
        ------
        AttemptRefused
            If the agent responded that the attempt did not run.
        AttemptBroken
            If the response failed, belongs to another attempt, or is of another
            weights version than expected.
        """
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
            outcome_only=outcome_only,
        )
        if not outcome_only:
            self.crashes.record_sent(call.crash_key)
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
        response: AgentResponse | None = None
        try:
            async with open_attempt(
                self.pool,
                target.vm,
                attempt,
                outgoing,
                options,
                partial(self._wait_given_up, call, reserve_other),
            ) as response:
                self._record_reply(call, target, response.reply, refused=False)
                self._count_tokens(call, prompt.tokens, response.reply)
                _check_version(target, response.reply)
                yield attempt, response
            result = "whole"
            if not outcome_only:
                self.crashes.record_answered(call.crash_key)
        except AttemptRefused as exc:
            result = "refused"
            self._record_reply(call, target, exc.reply, refused=True)
            raise
        except AttemptBroken as exc:
            result = exc.code
            self._record_broken(call, target, exc)
            began = response is not None and response.event_count >= ANSWERED_EVENTS
            if exc.is_crash and not began:
                await self.crashes.record_crashed(
                    vm, exc.crashed_run, call.crash_key, now
                )
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

    async def _wait_given_up(
        self, call: Call, reserve_other: Callable[[], bool], vm: Vm
    ) -> None:
        """Return when an unresponsive agent's response is no longer awaited.

        It is awaited for as long as the contract allows if no other server can take
        the request.
        """
        limit_s = call.contract.deadline_ms(call.request_class) / 1000
        logged = False
        while True:
            unresponsive_since = await self.probes.wait_unresponsive(vm)
            now = trio.current_time()
            if reserve_other() or now >= max(
                call.deadline, unresponsive_since + limit_s
            ):
                return
            self._record_unreachable(vm.vm, now)
            if not logged:
                logged = True
                self._log_awaited(call, vm.vm)

    def keeps_waiting(
        self,
        call: Call,
        target: Target,
        reserve_other: Callable[[], bool],
        silent_s: float,
    ) -> bool:
        """Return whether the rest of a response is still awaited.

        It is awaited for the time of the contract's deadline if no other server can
        take the request.

        Parameters
        ----------
        call, target, reserve_other
            As for ``attempt``.
        silent_s : float
            Time since the last data of the response, in seconds.
        """
        limit_s = call.contract.deadline_ms(call.request_class) / 1000
        if silent_s >= limit_s or reserve_other():
            return False
        self._log_awaited(call, target.vm.vm)
        return True

    def _log_awaited(self, call: Call, vm: str) -> None:
        self.events.emit("agent_awaited", request_id=call.request_id, backend_server=vm)

    def _record_unreachable(self, vm: str, now: float) -> None:
        self.servers.record_unreachable(vm, now)
        self.placement.record_unreachable(vm, now)

    def _record_reply(
        self, call: Call, target: Target, reply: Reply, *, refused: bool
    ) -> None:
        server_reply = ServerReply(
            backend_server=reply.backend_server,
            engine_incarnation=reply.engine_incarnation,
            matched_blocks=reply.matched_blocks,
            queued_s=reply.load.queued_ms / 1000,
            running=reply.load.running,
            waiting=reply.load.waiting,
            refused=refused,
        )
        prompt = call.prompt(target.version)
        self.placement.record_reply(prompt, server_reply, trio.current_time())
        self.record_agent_state(reply)

    def _count_tokens(self, call: Call, prompt_tokens: int, reply: Reply) -> None:
        if prompt_tokens:
            model = call.model_or_route
            cached = min(prompt_tokens, reply.cached_tokens)
            count = self.metrics.count
            count("foxtail_entry_prompt_tokens_total", prompt_tokens, model=model)
            count("foxtail_entry_cached_tokens_total", cached, model=model)

    def _record_broken(self, call: Call, target: Target, exc: AttemptBroken) -> None:
        now = trio.current_time()
        if exc.code in {"unreachable", "wrong_server", "frozen"}:
            self._record_unreachable(target.vm.vm, now)
        self.events.emit(
            "attempt_broken",
            request_id=call.request_id,
            backend_server=target.vm.vm,
            code=exc.code,
            reason=exc.message,
        )

    def record_failure(
        self, call: Call, history: AttemptHistory, target: Target, exc: AttemptError
    ) -> bool:
        """Record a failed attempt and return whether a retry makes sense."""
        history.failures.append(exc)
        history.blocked_s = 0.0
        if isinstance(exc, AttemptRefused) and not exc.retryable:
            return False
        vm = target.vm.vm
        is_stale = isinstance(exc, AttemptBroken) and exc.stale
        if is_stale and vm not in history.reconnected_vms:
            # The agent probably closed the connection before it read the request, so
            # the repetition uses neither an attempt nor the retry budget.
            history.reconnected_vms.add(vm)
            history.reserved = target
            return True
        if exc.code in CAPACITY_CODES and isinstance(exc, AttemptRefused):
            self.feasibility.record_refusal(
                vm,
                call.contract.client_account,
                call.request_class,
                exc.reply.retry_after_ms,
                trio.current_time(),
            )
        served_version = self.servers.served_version(vm, target.version)
        if served_version != target.version and vm not in history.version_updated_vms:
            # The reply reported the served version, so the next attempt sends the
            # keys of that version. During a change of weights this server may be the
            # only one in service, so it is not excluded after its first mismatch.
            history.version_updated_vms.add(vm)
            return True
        history.excluded_vms.add(vm)
        return True

    def head_timeout_s(self, call: Call) -> float:
        """Return the timeout for the head of a streamed response.

        It ends HEAD_MARGIN_S after the deadline, at which the agent refuses a request
        that has not started, so that the refusal can still arrive.
        """
        return max(0.0, call.deadline - trio.current_time()) + HEAD_MARGIN_S


def _check_version(target: Target, reply: Reply) -> None:
    """Reject a response of another weights version than the prefix keys are for."""
    if target.version and reply.weights_version != target.version:
        message = f"expected {target.version}, got {reply.weights_version}"
        raise AttemptBroken("wrong_version", message)
