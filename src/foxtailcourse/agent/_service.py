"""Calls of the agent's plain service."""

from collections.abc import Mapping

import msgspec

from foxtailcourse.agent._context import NEW_WORK_RETRY_AFTER_MS, AgentContext
from foxtailcourse.agent._keyed_calls import KeyedCalls
from foxtailcourse.agent._scheduler import RefusedError
from foxtailcourse.config import ServiceRoute
from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.engine import ServiceClient, ServiceRequest, ServiceResponse
from foxtailcourse.http import ClientError, Exchange, HttpError
from foxtailcourse.idempotency import (
    KeyIssuer,
    KeyLimitError,
    OutcomeTable,
)
from foxtailcourse.protocol import Attempt, Verdict, headers
from foxtailcourse.sharing import QueuedRequest

NOT_FORWARDED_HEADERS = frozenset(
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


class _KeyRequest(msgspec.Struct):
    """Body of ``POST /v1/idempotency-keys``."""

    route: str


class ServiceHandler:
    """Handles calls of ``/services/<route>/...`` and issues idempotency keys for them.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    service : ServiceClient
        The plain service.
    issuer : KeyIssuer
        Issues and checks idempotency keys.
    table : OutcomeTable
        Outcomes of the issued keys.
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
        self.keyed_calls = KeyedCalls(context, service, table)

    async def issue_key(self, exchange: Exchange) -> None:
        """Handle ``POST /v1/idempotency-keys``."""
        context = self._context
        attempt = context.read_attempt(exchange)
        try:
            key_request = decode_json(exchange.body, _KeyRequest)
        except MalformedDataError as exc:
            raise context.refusal(
                attempt.attempt_id, 400, "malformed_body", str(exc)
            ) from exc
        self._find_route(key_request.route, attempt)
        if not context.accepts_new_work:
            raise context.new_work_refusal(attempt.attempt_id)
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
        issued_key = {"key": key, "expires_in_s": int(self._issuer.lifetime_s)}
        fields = context.make_reply(attempt.attempt_id, Verdict.RAN).to_headers()
        await exchange.respond_json(200, issued_key, fields)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one call of the service."""
        context = self._context
        attempt = context.read_attempt(exchange)
        route = self._find_route(exchange.path.split("/")[2], attempt)
        request = ServiceRequest(
            method=exchange.method,
            target=service_target(exchange.target),
            headers=forwarded_headers(exchange.headers),
            body=exchange.body,
            timeout_s=route.timeout_ms / 1000,
        )
        key = exchange.headers.get(headers.IDEMPOTENCY_KEY, "")
        if key:
            checked_key = self._issuer.check(key, attempt.client_account, context.now())
            queued_request = self._queued_request(attempt)
            response = await self.keyed_calls.call(
                attempt, checked_key, request, queued_request
            )
        elif not route.repeatable:
            raise self._missing_key(attempt, route)
        else:
            response = await self._run_unkeyed(attempt, request)
        fields = context.make_reply(attempt.attempt_id, Verdict.RAN).to_headers()
        await exchange.respond(
            response.status, response.body, fields, content_type=response.content_type
        )

    def _missing_key(self, attempt: Attempt, route: ServiceRoute) -> HttpError:
        """Return the refusal of a call without a key on a route that needs one.

        An entry with a newer configuration may know that the route needs none.
        """
        context = self._context
        if not context.configured():
            return context.new_work_refusal(attempt.attempt_id)
        if attempt.config_revision > context.store.revision:
            return context.refusal(
                attempt.attempt_id,
                503,
                "older_configuration",
                f"backend server {context.vm} has an older configuration of the route",
                retry_after_ms=NEW_WORK_RETRY_AFTER_MS,
            )
        message = f"route {route.route} needs an issued idempotency key"
        return context.refusal(attempt.attempt_id, 400, "key_required", message)

    async def _run_unkeyed(
        self, attempt: Attempt, request: ServiceRequest
    ) -> ServiceResponse:
        """Run a call without a key, which is cancelled if its caller disconnects."""
        context = self._context
        if not context.accepts_new_work:
            raise context.new_work_refusal(attempt.attempt_id)
        sent_at = context.now()
        try:
            async with context.scheduler.hold_slot(self._queued_request(attempt)):
                sent_at = context.now()
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
                attempt.attempt_id,
                503,
                "service_failed",
                str(exc),
                verdict=exc.verdict,
                crashed_run=context.record_broken_off(sent_at) if exc.ended else 0,
            ) from exc

    def _queued_request(self, attempt: Attempt) -> QueuedRequest:
        """Return a call in the form that the queue takes; it has no tokens."""
        context = self._context
        return QueuedRequest(
            attempt_id=attempt.attempt_id,
            client_account=attempt.client_account,
            share=context.account_share(attempt.client_account),
            request_class=attempt.request_class,
            uncached_tokens=0,
            expected_tokens=0,
            deadline=context.now() + attempt.deadline_ms / 1000,
        )

    def _find_route(self, name: str, attempt: Attempt) -> ServiceRoute:
        """Return the configured route, or one with default values if there is none.

        Raises
        ------
        HttpError
            If this agent's backend server does not serve the route.
        """
        if name != self._context.cfg.serves:
            message = f"this agent serves {self._context.cfg.serves}, not {name}"
            raise self._context.refusal(
                attempt.attempt_id, 404, "unknown_route", message
            )
        configured = self._context.store.view.services.get(name)
        return configured or ServiceRoute(route=name)


def forwarded_headers(fields: Mapping[str, str]) -> dict[str, str]:
    """Return the header fields that are forwarded to the service."""
    return {
        name: value
        for name, value in fields.items()
        if name not in NOT_FORWARDED_HEADERS and not name.startswith("foxtail-")
    }


def service_target(target: str) -> str:
    """Return the request target without its prefix ``/services/<route>``."""
    path, separator, query = target.partition("?")
    rest = path.split("/", 3)[3:]
    return "/" + "".join(rest) + separator + query
