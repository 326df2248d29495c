"""What the parts of an agent share."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import trio

from foxtailcourse.agent._scheduler import Scheduler
from foxtailcourse.agent._settings import AgentSettings
from foxtailcourse.cache import BlockIndex
from foxtailcourse.config import ConfigStore
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
    """State of one agent.

    Parameters
    ----------
    vm : str
        Name of the VM; identifies the backend server too.
    cfg : AgentSettings
        Settings.
    events, metrics : EventLog, Metrics
        Where the agent reports.
    store : ConfigStore
        The configuration copy.
    configured : callable
        Returns whether the copy holds a configuration.
    index : BlockIndex
        Blocks that the engine holds.
    scheduler : Scheduler
        Requests that wait for the backend server.
    weights_version : str
        Version that the engine serves, empty if not known.
    stopping : bool
        Whether a planned stop has begun.
    loading : bool
        Whether the engine is out of service for new weights.
    active : int
        Runs in progress that must end before the process stops, whether or not a
        caller waits for them.
    saw_revision : callable or None
        Told of the configuration revision in each attempt.
    nursery : trio.Nursery or None
        Owns the runs that go on when their caller is gone.
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
    active: int = 0
    saw_revision: Callable[[int], None] | None = None
    nursery: trio.Nursery | None = None

    @property
    def leaving(self) -> bool:
        """Whether no new work is taken."""
        return self.stopping or self.store.view.is_leaving(self.vm)

    def now(self) -> float:
        """Return the time that decisions use, monotonic."""
        return trio.current_time()

    def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Start a run that goes on when its caller is gone."""
        if self.nursery is None:
            raise RuntimeError("the agent is not running")
        self.active += 1
        self.nursery.start_soon(self._counted, function, args)

    async def _counted(
        self, function: Callable[..., Awaitable[None]], args: tuple[Any, ...]
    ) -> None:
        try:
            await function(*args)
        finally:
            self.active -= 1

    def share(self, client_account: str) -> float:
        """Return the weight of a client account by its contract."""
        contract = self.store.view.contracts.get(client_account)
        return contract.share if contract is not None else 1.0

    def load(self) -> LoadReport:
        """Return the current load."""
        queue = self.scheduler.queue
        wait_s = queue.predicted_wait_s(RequestClass.SHORT, self.now())
        return LoadReport(
            queued_ms=int(wait_s * 1000),
            running=queue.running,
            waiting=queue.waiting,
            leaving=self.leaving,
        )

    def reply(
        self,
        attempt_id: str,
        verdict: Verdict,
        *,
        matched_blocks: int = 0,
        cached_tokens: int = 0,
        retry_after_ms: int = 0,
    ) -> Reply:
        """Return what the agent says about an attempt and about itself."""
        return Reply(
            verdict=verdict,
            attempt_id=attempt_id,
            backend_server=self.vm,
            engine_incarnation=self.index.incarnation,
            weights_version=self.weights_version,
            matched_blocks=matched_blocks,
            cached_tokens=cached_tokens,
            load=self.load(),
            config_revision=self.store.revision,
            clock=str(self.events.clock.tick()),
            retry_after_ms=retry_after_ms,
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
    ) -> HttpError:
        """Return an error answer that carries the reply's fields."""
        reply = self.reply(
            attempt_id,
            verdict,
            matched_blocks=matched_blocks,
            retry_after_ms=retry_after_ms,
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
    def takes_new_work(self) -> bool:
        """Whether new work is taken; without a configuration none is."""
        return self.configured() and not self.leaving and not self.loading

    def refuse_new_work(self, attempt_id: str) -> HttpError:
        """Return the refusal of new work."""
        if not self.configured():
            code, reason = "no_configuration", "holds no configuration yet"
        elif self.leaving:
            code, reason = "leaving", "takes no new work"
        else:
            code, reason = "loading", "loads new weights"
        return self.refusal(
            attempt_id,
            503,
            code,
            f"backend server {self.vm} {reason}",
            retry_after_ms=NEW_WORK_RETRY_AFTER_MS,
        )

    def read_attempt(self, exchange: Exchange) -> Attempt:
        """Return the attempt of a request; raises HttpError if it is malformed."""
        try:
            attempt = Attempt.from_headers(exchange.headers)
        except FieldError as exc:
            attempt_id = _echo(exchange.headers)
            raise self.refusal(attempt_id, 400, "malformed_header", str(exc)) from exc
        if attempt.clock:
            self.events.clock.receive(attempt.clock)
        if self.saw_revision is not None:
            self.saw_revision(attempt.config_revision)
        return attempt


def _echo(fields: Mapping[str, str]) -> str:
    return fields.get("foxtail-attempt-id", "")[:100]
