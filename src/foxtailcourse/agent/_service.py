"""Calls of the plain service beside the agent."""

from collections.abc import Mapping

import msgspec

from foxtailcourse.agent._context import AgentContext
from foxtailcourse.agent._runs import KeyedRuns
from foxtailcourse.agent._scheduler import RefusedError
from foxtailcourse.config import ServiceRoute
from foxtailcourse.engine import ServiceClient, ServiceRequest, ServiceResponse
from foxtailcourse.http import ClientError, Exchange
from foxtailcourse.idempotency import (
    KeyIssuer,
    KeyLimitError,
    OutcomeTable,
)
from foxtailcourse.protocol import Attempt, Verdict, headers
from foxtailcourse.sharing import QueuedRequest

HOP_BY_HOP = frozenset(
    {
        "host",
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "expect",
        headers.AUTHORIZATION,
        headers.IDEMPOTENCY_KEY,
    }
)


class _KeyOrder(msgspec.Struct):
    route: str


class ServiceHandler:
    """Runs calls of ``/services/<route>/...`` and issues keys for them.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    service : ServiceClient
        The plain service.
    issuer : KeyIssuer
        Issues and checks keys.
    table : OutcomeTable
        What is remembered of each key.
    """

    def __init__(
        self,
        context: AgentContext,
        service: ServiceClient,
        issuer: KeyIssuer,
        table: OutcomeTable,
    ) -> None:
        self._context = context
        self._service = service
        self._issuer = issuer
        self.runs = KeyedRuns(context, service, table)

    async def issue_key(self, exchange: Exchange) -> None:
        """Answer ``POST /v1/idempotency-keys``."""
        context = self._context
        attempt = context.read_attempt(exchange)
        try:
            order = msgspec.json.decode(exchange.body, type=_KeyOrder)
        except msgspec.DecodeError as exc:
            raise context.refusal(
                attempt.attempt_id, 400, "malformed_body", str(exc)
            ) from exc
        self._route(order.route, attempt)
        if not context.takes_new_work:
            raise context.refuse_new_work(attempt.attempt_id)
        try:
            key = self._issuer.issue(attempt.client_account, context.now())
        except KeyLimitError as exc:
            raise context.refusal(
                attempt.attempt_id,
                429,
                "key_limit",
                str(exc),
                retry_after_ms=max(1, int(exc.retry_after_s * 1000)),
            ) from exc
        value = {"key": key, "expires_in_s": int(self._issuer.lifetime_s)}
        fields = context.reply(attempt.attempt_id, Verdict.RAN).to_headers()
        await exchange.respond_json(200, value, fields)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        context = self._context
        attempt = context.read_attempt(exchange)
        route = self._route(exchange.path.split("/")[2], attempt)
        request = ServiceRequest(
            method=exchange.method,
            target=service_target(exchange.target),
            headers=forwarded(exchange.headers),
            body=exchange.body,
            timeout_s=route.timeout_ms / 1000,
        )
        key = exchange.headers.get(headers.IDEMPOTENCY_KEY, "")
        if key:
            checked = self._issuer.check(key, attempt.client_account, context.now())
            queued = self._queued(attempt)
            response = await self.runs.call(attempt, checked, request, queued)
        elif not route.repeatable:
            message = f"route {route.route} needs an issued idempotency key"
            raise context.refusal(attempt.attempt_id, 400, "key_required", message)
        else:
            response = await self._repeatable(attempt, request)
        fields = context.reply(attempt.attempt_id, Verdict.RAN).to_headers()
        await exchange.respond(
            response.status, response.body, fields, content_type=response.content_type
        )

    async def _repeatable(
        self, attempt: Attempt, request: ServiceRequest
    ) -> ServiceResponse:
        """Run a call that ends with its caller."""
        context = self._context
        if not context.takes_new_work:
            raise context.refuse_new_work(attempt.attempt_id)
        try:
            async with context.scheduler.start(self._queued(attempt)):
                return await self._service.call(request)
        except RefusedError as exc:
            raise context.refusal(
                attempt.attempt_id,
                503,
                exc.refusal.code,
                "the backend server cannot start the request in time",
                retry_after_ms=exc.refusal.retry_after_ms,
            ) from exc
        except ClientError as exc:
            raise context.refusal(
                attempt.attempt_id, 503, "service_failed", str(exc), verdict=exc.verdict
            ) from exc

    def _queued(self, attempt: Attempt) -> QueuedRequest:
        """Return a call as the queue sees it: one unit of the service's time."""
        context = self._context
        return QueuedRequest(
            attempt_id=attempt.attempt_id,
            client_account=attempt.client_account,
            share=context.share(attempt.client_account),
            request_class=attempt.request_class,
            uncached_tokens=0,
            expected_tokens=0,
            deadline=context.now() + attempt.deadline_ms / 1000,
        )

    def _route(self, name: str, attempt: Attempt) -> ServiceRoute:
        if name != self._context.cfg.serves:
            message = f"this agent serves {self._context.cfg.serves}, not {name}"
            raise self._context.refusal(
                attempt.attempt_id, 404, "unknown_route", message
            )
        configured = self._context.store.view.services.get(name)
        return configured or ServiceRoute(route=name)


def forwarded(fields: Mapping[str, str]) -> dict[str, str]:
    """Return the header fields that go on to the service."""
    return {
        name: value
        for name, value in fields.items()
        if name not in HOP_BY_HOP and not name.startswith("foxtail-")
    }


def service_target(target: str) -> str:
    """Return the request target without ``/services/<route>``."""
    path, question, query = target.partition("?")
    rest = path.split("/", 3)[3:]
    return "/" + "".join(rest) + question + query
