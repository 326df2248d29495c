"""Calls of the plain service beside the agent."""

from foxtailcourse.agent._context import AgentContext
from foxtailcourse.config import ServiceRoute
from foxtailcourse.engine import ServiceClient, ServiceRequest
from foxtailcourse.http import ClientError, Exchange
from foxtailcourse.protocol import Attempt, Verdict

HOP_BY_HOP = frozenset(
    {
        "host",
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "te",
        "upgrade",
        "expect",
        "authorization",
    }
)


class ServiceHandler:
    """Runs calls of ``/services/<route>/...`` on the plain service."""

    def __init__(self, context: AgentContext, service: ServiceClient) -> None:
        self._context = context
        self._service = service

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        context = self._context
        attempt = context.read_attempt(exchange)
        route = self._route(exchange, attempt)
        if context.leaving:
            raise context.refuse_leaving(attempt.attempt_id)
        request = ServiceRequest(
            method=exchange.method,
            target=exchange.target.removeprefix(f"/services/{route.route}") or "/",
            headers=forwarded(exchange.headers),
            body=exchange.body,
            timeout_s=route.timeout_ms / 1000,
        )
        try:
            response = await self._service.call(request)
        except ClientError as exc:
            raise context.refusal(
                attempt.attempt_id, 502, "service_failed", str(exc), verdict=exc.verdict
            ) from exc
        fields = context.reply(attempt.attempt_id, Verdict.RAN).to_headers()
        await exchange.respond(
            response.status, response.body, fields, content_type=response.content_type
        )

    def _route(self, exchange: Exchange, attempt: Attempt) -> ServiceRoute:
        name = exchange.path.split("/")[2]
        if name != self._context.cfg.serves:
            message = f"this agent serves {self._context.cfg.serves}, not {name}"
            raise self._context.refusal(
                attempt.attempt_id, 404, "unknown_route", message
            )
        configured = self._context.store.view.services.get(name)
        return configured or ServiceRoute(route=name)


def forwarded(fields: dict[str, str]) -> dict[str, str]:
    """Return the header fields that go on to the service."""
    return {
        name: value
        for name, value in fields.items()
        if name not in HOP_BY_HOP and not name.startswith("foxtail-")
    }
