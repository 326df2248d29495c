"""State that the parts of an agent share."""

import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import trio

from foxtailcourse.agent._scheduler import Scheduler
from foxtailcourse.agent._settings import AgentSettings
from foxtailcourse.cache import BlockIndex
from foxtailcourse.config import ConfigStore
from foxtailcourse.crashes import RunTracker
from foxtailcourse.http import Exchange, HttpError
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.protocol import (
    Attempt,
    FieldError,
    LoadReport,
    Reply,
    RequestClass,
    Verdict,
)

NEW_WORK_RETRY_AFTER_MS = 1000


@attrs.define(kw_only=True)
class AgentContext:
    """State of one agent, and the replies and refusals derived from it.

    Parameters
    ----------
    vm : str
        Name of the VM, which also identifies the backend server.
    cfg : AgentSettings
        Settings.
    events, metrics : EventLog, Metrics
        Event log and metrics of the agent.
    store : ConfigStore
        Local copy of the configuration.
    configured : callable
        Returns whether the copy contains a configuration.
    index : BlockIndex
        Index of the blocks in the engine's cache.
    scheduler : Scheduler
        Requests that wait for or run on the backend server.
    weights_version : str
        Weights version that the engine serves; empty if unknown.
    stopping : bool
        Whether a planned stop has begun.
    loading : bool
        Whether the engine is out of service while it loads weights.
    background_tasks : int
        Number of spawned tasks in progress. They must end before the process stops,
        whether or not a caller waits for them.
    on_config_revision : callable or None
        Called with the configuration revision in each attempt.
    nursery : trio.Nursery or None
        Runs the spawned tasks, which continue after their caller disconnects.
    runs : RunTracker
        Tells the runs of the backend server apart.
    """

    vm: str
    cfg: AgentSettings
    events: EventLog
    metrics: Metrics
    store: ConfigStore
    configured: Callable[[], bool]
    index: BlockIndex
    scheduler: Scheduler
    weights_version: str = ""
    stopping: bool = False
    loading: bool = False
    background_tasks: int = 0
    on_config_revision: Callable[[int], None] | None = None
    nursery: trio.Nursery | None = None
    runs: RunTracker = attrs.field(factory=lambda: RunTracker(_wall_ms()))

    @property
    def leaving(self) -> bool:
        """Whether the agent is leaving (accepts no new requests)."""
        return self.stopping or self.store.view.is_leaving(self.vm)

    def now(self) -> float:
        """Return the monotonic time that decisions use, in seconds."""
        return trio.current_time()

    def record_broken_off(self, sent_at: float) -> int:
        """Return the run of the backend server that ended under a request."""
        return self.runs.record_broken_off(sent_at, self.now(), _wall_ms())

    def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Start a task that continues after its caller disconnects."""
        if self.nursery is None:
            raise RuntimeError("the agent is not running")
        self.background_tasks += 1
        self.nursery.start_soon(self._run_counted, function, args)

    async def _run_counted(
        self, function: Callable[..., Awaitable[None]], args: tuple[Any, ...]
    ) -> None:
        try:
            await function(*args)
        finally:
            self.background_tasks -= 1

    def account_share(self, client_account: str) -> float:
        """Return the contracted share of a client account; 1 without a contract."""
        contract = self.store.view.contracts.get(client_account)
        return contract.share if contract is not None else 1.0

    def load_report(self) -> LoadReport:
        """Return the current load of the backend server."""
        queue = self.scheduler.queue
        wait_s = queue.predicted_wait_s(RequestClass.SHORT, self.now())
        return LoadReport(
            queued_ms=int(wait_s * 1000),
            running=queue.running,
            waiting=queue.waiting,
            leaving=self.leaving,
        )

    def make_reply(
        self,
        attempt_id: str,
        verdict: Verdict,
        *,
        matched_blocks: int = 0,
        cached_tokens: int = 0,
        retry_after_ms: int = 0,
        crashed_run: int = 0,
    ) -> Reply:
        """Return the reply fields for an attempt, with the agent's current state."""
        return Reply(
            verdict=verdict,
            attempt_id=attempt_id,
            backend_server=self.vm,
            engine_incarnation=self.index.incarnation,
            weights_version=self.weights_version,
            matched_blocks=matched_blocks,
            cached_tokens=cached_tokens,
            load=self.load_report(),
            config_revision=self.store.revision,
            clock=str(self.events.clock.tick()),
            retry_after_ms=retry_after_ms,
            crashed_run=crashed_run,
        )

    def refusal(
        self,
        attempt_id: str,
        status: int,
        code: str,
        message: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        matched_blocks: int = 0,
        retry_after_ms: int = 0,
        crashed_run: int = 0,
    ) -> HttpError:
        """Log and count a refusal; return the HttpError for the caller to raise.

        The error response carries the reply fields. ``code`` names the error in the
        response body, in the log and in the metric.
        """
        reply = self.make_reply(
            attempt_id,
            verdict,
            matched_blocks=matched_blocks,
            retry_after_ms=retry_after_ms,
            crashed_run=crashed_run,
        )
        self.events.emit(
            "request_refused", attempt_id=attempt_id, code=code, verdict=verdict.value
        )
        self.metrics.count("foxtail_agent_refusals_total", code=code)
        return HttpError(
            status,
            code,
            message,
            verdict=verdict,
            retry_after_ms=retry_after_ms,
            fields=reply.to_headers(),
        )

    @property
    def accepts_new_work(self) -> bool:
        """Whether new requests are accepted; without a configuration none are."""
        return self.configured() and not self.leaving and not self.loading

    def new_work_refusal(self, attempt_id: str) -> HttpError:
        """Return the HttpError for a new request while none is accepted."""
        if not self.configured():
            code, reason = "no_configuration", "has no configuration yet"
        elif self.leaving:
            code, reason = "leaving", "accepts no new requests"
        else:
            code, reason = "loading", "is loading new weights"
        return self.refusal(
            attempt_id,
            503,
            code,
            f"backend server {self.vm} {reason}",
            retry_after_ms=NEW_WORK_RETRY_AFTER_MS,
        )

    def read_attempt(self, exchange: Exchange) -> Attempt:
        """Return the attempt that a request's header fields describe.

        Raises
        ------
        HttpError
            If a header field is missing or malformed.
        """
        try:
            attempt = Attempt.from_headers(exchange.headers)
        except FieldError as exc:
            attempt_id = _unchecked_attempt_id(exchange.headers)
            raise self.refusal(attempt_id, 400, "malformed_header", str(exc)) from exc
        if attempt.clock:
            self.events.clock.receive(attempt.clock)
        if self.on_config_revision is not None:
            self.on_config_revision(attempt.config_revision)
        return attempt


def _wall_ms() -> int:
    return int(time.time() * 1000)


def _unchecked_attempt_id(fields: Mapping[str, str]) -> str:
    return fields.get("foxtail-attempt-id", "")[:100]
