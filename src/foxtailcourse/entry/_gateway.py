"""HTTP API of the entry for callers."""

import secrets
from collections.abc import Awaitable, Callable

import msgspec
import trio

from foxtailcourse.config import Contract, ServiceRoute
from foxtailcourse.entry._at_most_once import AtMostOnceCaller, check_key
from foxtailcourse.entry._auth import Authenticator
from foxtailcourse.entry._call import Call, forwarded_fields
from foxtailcourse.entry._config_source import ConfigSource
from foxtailcourse.entry._crash_exchange import CrashExchange
from foxtailcourse.entry._relay import Relay
from foxtailcourse.entry._request_parsing import (
    ChatRequest,
    parse_chat,
    parse_key_request,
    parse_service_route,
)
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.http import Exchange, HttpError
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.protocol import RequestClass, Verdict, headers
from foxtailcourse.routing import Prompt, prompt_from_messages
from foxtailcourse.sharing import AccountLimiter, Refusal

NOT_READY_RETRY_AFTER_MS = 1000
SERVICES_PREFIX = "/services/"


class Gateway:
    """Authenticates and admits callers' requests and responds to them.

    Parameters
    ----------
    cfg : EntrySettings
        Limits and defaults.
    block_tokens : int
        Number of tokens in each block of the engines' prefix cache.
    config : ConfigSource
        Source of the configuration.
    relay : Relay
        Handles repeatable requests.
    at_most_once : AtMostOnceCaller
        Handles calls that must not run twice.
    limiter : AccountLimiter
        Enforces the limits of the contracts.
    crashes : CrashExchange
        Knows the requests that are blocked.
    events : EventLog
        Log of the requests' outcomes.
    metrics : Metrics
        Counts requests.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        block_tokens: int,
        config: ConfigSource,
        relay: Relay,
        at_most_once: AtMostOnceCaller,
        limiter: AccountLimiter,
        crashes: CrashExchange,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._cfg = cfg
        self._block_tokens = block_tokens
        self._config = config
        self._store = config.store
        self._relay = relay
        self._at_most_once = at_most_once
        self._limiter = limiter
        self._crashes = crashes
        self._events = events
        self._metrics = metrics
        self._authenticator = Authenticator()
        self.draining = False
        self._request_scopes: set[trio.CancelScope] = set()

    def end_requests(self) -> None:
        """End all requests in progress, with an error if no response has started."""
        for scope in self._request_scopes:
            scope.cancel()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request; raises HttpError if it is refused or fails."""
        request_id = secrets.token_hex(12)
        if self.draining:
            # With the connection closed, the next request goes to another entry.
            exchange.close_after_response()
        account = ""
        try:
            contract = self._authenticate(exchange)
            account = contract.client_account
            await self._respond(exchange, contract, request_id)
        except HttpError as exc:
            exc.fields[headers.REQUEST_ID] = request_id
            self._record_refusal(request_id, account, exc)
            raise
        self._metrics.count("foxtail_entry_requests_total", code="ok")

    async def _respond(
        self, exchange: Exchange, contract: Contract, request_id: str
    ) -> None:
        with trio.CancelScope() as scope:
            self._request_scopes.add(scope)
            try:
                await self._route_request(exchange, contract, request_id)
            finally:
                self._request_scopes.discard(scope)
        if scope.cancelled_caught:
            message = "this entry stopped before the request was complete"
            raise HttpError(502, "stopping", message, verdict=Verdict.MAY_HAVE_RUN)

    def _record_refusal(self, request_id: str, account: str, exc: HttpError) -> None:
        self._metrics.count("foxtail_entry_requests_total", code=exc.code)
        self._events.emit(
            "request_refused",
            request_id=request_id,
            client_account=account or None,
            status=exc.status,
            code=exc.code,
            verdict=exc.verdict.value,
        )

    def _authenticate(self, exchange: Exchange) -> Contract:
        view = self._store.view
        if not self._config.ready:
            raise HttpError(
                503,
                "no_configuration",
                "this entry has not loaded a configuration yet",
                retry_after_ms=NOT_READY_RETRY_AFTER_MS,
            )
        authorization = exchange.headers.get(headers.AUTHORIZATION, "")
        return self._authenticator.find_contract(view, authorization)

    async def _route_request(
        self, exchange: Exchange, contract: Contract, request_id: str
    ) -> None:
        if len(exchange.body) > contract.max_body_bytes:
            limit = contract.max_body_bytes
            raise HttpError(413, "body_too_large", f"body exceeds {limit} bytes")
        path = exchange.path
        if path == "/v1/chat/completions":
            _require_method(exchange, "POST")
            await self._handle_chat(exchange, contract, request_id)
        elif path == "/v1/models":
            _require_method(exchange, "GET")
            await self._list_models(exchange, contract, request_id)
        elif path == "/v1/idempotency-keys":
            _require_method(exchange, "POST")
            await self._issue_key(exchange, contract, request_id)
        elif path.startswith(SERVICES_PREFIX):
            await self._handle_service_call(exchange, contract, request_id)
        else:
            raise HttpError(404, "unknown_path", f"no such path {path}")

    async def _list_models(
        self, exchange: Exchange, contract: Contract, request_id: str
    ) -> None:
        models = self._store.view.models
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "foxtailcourse"}
            for name in contract.models
            if name in models
        ]
        fields = {headers.REQUEST_ID: request_id, headers.VERDICT: "ran"}
        await exchange.respond_json(200, {"object": "list", "data": data}, fields)

    async def _handle_chat(
        self, exchange: Exchange, contract: Contract, request_id: str
    ) -> None:
        request = parse_chat(exchange, self._cfg.default_max_tokens)
        if request.model not in contract.models:
            _raise_unavailable(
                "model", request.model, request.model in self._store.view.models
            )
        spec = self._store.view.models.get(request.model)
        if spec is None:
            raise HttpError(404, "unknown_model", f"no such model {request.model!r}")
        call = self._make_chat_call(exchange, contract, request_id, request)
        call.desired_version = spec.weights_version
        tokens = call.prompt(call.desired_version).tokens + request.max_tokens
        respond = (
            self._relay.respond_stream
            if request.stream
            else self._relay.respond_complete
        )
        await self._respond_if_admitted(contract, tokens, respond, exchange, call)

    def _make_chat_call(
        self,
        exchange: Exchange,
        contract: Contract,
        request_id: str,
        request: ChatRequest,
    ) -> Call:
        def prompt_for(version: str) -> Prompt:
            return prompt_from_messages(
                request.messages,
                request.max_tokens,
                client_account=contract.client_account,
                model=request.model,
                weights_version=version,
                block_tokens=self._block_tokens,
                tools=request.tools,
            )

        request_class = contract.request_class(request.max_tokens)
        received_at = trio.current_time() - exchange.read_late_s
        return Call(
            request_id=request_id,
            contract=contract,
            request_class=request_class,
            model_or_route=request.model,
            method="POST",
            target="/v1/chat/completions",
            fields={"content-type": "application/json"},
            body=msgspec.json.encode(request.body),
            max_tokens=request.max_tokens,
            received_at=received_at,
            deadline=received_at + contract.deadline_ms(request_class) / 1000,
            answer_timeout_s=self._cfg.answer_timeout_s,
            prompt_for=prompt_for,
        )

    def _permitted_route(self, contract: Contract, name: str) -> ServiceRoute:
        if name not in contract.services:
            _raise_unavailable("route", name, name in self._store.view.services)
        route = self._store.view.services.get(name)
        if route is None:
            raise HttpError(404, "unknown_route", f"no such route {name!r}")
        return route

    async def _issue_key(
        self, exchange: Exchange, contract: Contract, request_id: str
    ) -> None:
        route = self._permitted_route(contract, parse_key_request(exchange))
        call = self._make_service_call(exchange, contract, request_id, route)
        call.runs_work = False
        await self._respond_if_admitted(
            contract, 0, self._relay.respond_complete, exchange, call
        )

    async def _handle_service_call(
        self, exchange: Exchange, contract: Contract, request_id: str
    ) -> None:
        route = self._permitted_route(contract, parse_service_route(exchange.path))
        call = self._make_service_call(exchange, contract, request_id, route)
        if route.repeatable:
            await self._respond_if_admitted(
                contract, 0, self._relay.respond_complete, exchange, call
            )
            return
        key = exchange.headers.get(headers.IDEMPOTENCY_KEY, "")
        check_key(key)
        call.idempotency_key = key
        await self._respond_if_admitted(
            contract, 0, self._at_most_once.respond, exchange, call
        )

    def _make_service_call(
        self,
        exchange: Exchange,
        contract: Contract,
        request_id: str,
        route: ServiceRoute,
    ) -> Call:
        # Plain services have no prefix cache. The salt is unique, so that the placement
        # policy does not relate the request to others.
        prompt = Prompt(
            model=route.route,
            salt=request_id,
            keys=(),
            levels=(),
            tokens=0,
            max_tokens=0,
        )
        received_at = trio.current_time() - exchange.read_late_s
        return Call(
            request_id=request_id,
            contract=contract,
            request_class=RequestClass.SHORT,
            model_or_route=route.route,
            method=exchange.method,
            target=exchange.target,
            fields=forwarded_fields(exchange.headers),
            body=exchange.body,
            received_at=received_at,
            deadline=received_at + contract.short_deadline_ms / 1000,
            answer_timeout_s=(contract.short_deadline_ms + route.timeout_ms) / 1000,
            prompt_for=lambda version: prompt,
        )

    async def _respond_if_admitted(
        self,
        contract: Contract,
        tokens: int,
        respond: Callable[[Exchange, Call], Awaitable[None]],
        exchange: Exchange,
        call: Call,
    ) -> None:
        """Respond if the limits of the contract admit the request.

        ``tokens`` is the sum of the prompt tokens and the maximum number of tokens to
        generate; 0 for plain services.
        """
        grant = self._limiter.admit(contract, tokens, trio.current_time())
        if isinstance(grant, Refusal):
            raise HttpError(
                429,
                grant.code,
                "a limit of the contract is reached",
                retry_after_ms=grant.retry_after_ms,
            )
        self._events.emit(
            "request_admitted",
            request_id=call.request_id,
            client_account=contract.client_account,
            request_class=call.request_class.value,
            target=call.target,
        )
        ran = True
        try:
            await self._crashes.wait_caught_up()
            await respond(exchange, call)
            self._events.emit("request_answered", request_id=call.request_id)
        except HttpError as exc:
            ran = not exc.verdict.allows_retry
            raise
        finally:
            self._limiter.finish(grant, trio.current_time(), ran=ran)


def _require_method(exchange: Exchange, method: str) -> None:
    if exchange.method != method:
        raise HttpError(
            405, "method_not_allowed", f"use {method}", fields={"allow": method}
        )


def _raise_unavailable(kind: str, name: str, exists: bool) -> None:
    """Raise HttpError for a model or route that the contract does not include.

    The status is 403 if the configuration has it, and 404 otherwise.
    """
    if exists:
        message = f"the contract does not include {kind} {name!r}"
        raise HttpError(403, f"forbidden_{kind}", message)
    raise HttpError(404, f"unknown_{kind}", f"no such {kind} {name!r}")
