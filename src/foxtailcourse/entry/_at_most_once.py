"""At-most-once calls, which carry an idempotency key."""

from functools import partial

import attrs
import msgspec
import trio

from foxtailcourse.config import Vm
from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.entry._agent_client import (
    AttemptBroken,
    AttemptRefused,
    OutgoingRequest,
)
from foxtailcourse.entry._attempt_history import (
    BLOCKED_CODE,
    Target,
    blocked_error,
)
from foxtailcourse.entry._call import Call
from foxtailcourse.entry._claims import Claims
from foxtailcourse.entry._dispatcher import Dispatcher
from foxtailcourse.entry._relay import Relay, send_response
from foxtailcourse.http import Exchange, HttpError, RequestOptions
from foxtailcourse.idempotency import issuing_agent
from foxtailcourse.protocol import Verdict, headers

ISSUE_KEY_TARGET = "/v1/idempotency-keys"
MAX_KEY_CHARS = 400
# Error code of an agent for a key that it will never run.
FENCED_CODE = "key_fenced"
RETRY_DELAY_BASE_S = 0.05
RETRY_AFTER_MS = 1000


class _IssuedKey(msgspec.Struct):
    key: str


def check_key(key: str) -> None:
    """Raise HttpError unless the header value is usable as an idempotency key."""
    if not key:
        message = "this route needs an Idempotency-Key; see POST /v1/idempotency-keys"
        raise HttpError(400, "idempotency_key_required", message)
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        message = f"Idempotency-Key must be 1 to {MAX_KEY_CHARS} printable characters"
        raise HttpError(400, "bad_idempotency_key", message)


class AtMostOnceCaller:
    """Sends each call only to the agent that issued its idempotency key.

    An issued key names its agent. A key that the caller chose itself is first bound
    to an issued key, which is then used for all calls with the caller's key.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends the attempts.
    relay : Relay
        Requests issued keys from agents.
    claims : Claims
        Binds keys that callers choose to issued keys.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        relay: Relay,
        claims: Claims,
    ) -> None:
        self._dispatcher = dispatcher
        self._relay = relay
        self._claims = claims

    async def respond(self, exchange: Exchange, call: Call) -> None:
        """Run the call and send its response.

        Raises
        ------
        HttpError
            With a verdict about all calls with the key, not only this one.
        """
        caller_key = call.idempotency_key
        if issuing_agent(caller_key):
            await self._send(exchange, call)
            return
        account, route = call.contract.client_account, call.model_or_route
        issued_key = await self._request_key(call)
        bound_key = await self._claims.bind(account, caller_key, route, issued_key)
        call.idempotency_key = bound_key
        try:
            await self._send(exchange, call)
            return
        except HttpError as exc:
            if exc.code != FENCED_CODE or exc.verdict is not Verdict.NOT_RUN:
                raise
        # The agent never runs a fenced key, so the caller's key can be bound anew.
        new_key = await self._request_key(call)
        call.idempotency_key = await self._claims.replace(
            account, caller_key, route, bound_key, new_key
        )
        await self._send(exchange, call)

    async def _request_key(self, call: Call) -> str:
        """Request a new key from an agent of the call's route."""
        key_call = attrs.evolve(
            call,
            method="POST",
            target=ISSUE_KEY_TARGET,
            fields={"content-type": "application/json"},
            body=msgspec.json.encode({"route": call.model_or_route}),
            runs_work=False,
        )
        try:
            _, body = await self._relay.fetch(key_call)
            return decode_json(body, _IssuedKey).key
        except HttpError as exc:
            # Issuing a key runs no call, even if an attempt to get one may have run.
            exc.verdict = Verdict.NOT_RUN
            raise
        except MalformedDataError as exc:
            raise HttpError(502, "malformed_key", "the agent sent no key") from exc

    def _issuing_vm(self, call: Call) -> Vm:
        """Return the VM of the agent that issued the call's key."""
        view = self._dispatcher.store.view
        vm = view.vms.get(issuing_agent(call.idempotency_key))
        if vm is None or vm.serves != call.model_or_route:
            raise _unknown(
                "key_holder_gone", "the agent that issued the key is not in service"
            )
        return vm

    async def _send(self, exchange: Exchange, call: Call) -> None:
        """Send the call to the issuing agent, with retries, and relay its response.

        Retries are safe, because the agent joins a repeated call to the running one.
        If the request is blocked, the agent only sends the outcome of an earlier call.
        """
        fields = {**call.fields, headers.IDEMPOTENCY_KEY: call.idempotency_key}
        outgoing = OutgoingRequest(
            method=call.method, target=call.target, fields=fields, body=call.body
        )
        target = Target(vm=self._issuing_vm(call), version="")
        options = RequestOptions(
            connect_timeout_s=self._dispatcher.cfg.connect_timeout_s,
            idle_timeout_s=self._dispatcher.cfg.stream_idle_timeout_s,
            head_timeout_s=call.answer_timeout_s,
            keep_waiting=partial(
                self._dispatcher.keeps_waiting, call, target, _no_other_server
            ),
            # The agent may already have closed a pooled connection; whether it received
            # the call would then be unknown.
            reuse=False,
        )
        self._dispatcher.record_first_attempt(call)
        sent = False
        for attempt_number in range(self._dispatcher.cfg.max_attempts):
            if attempt_number and not await self._delay_retry(call, attempt_number):
                break
            if not self._dispatcher.has_time(call):
                message = "this entry stops before the call may be complete"
                raise _unknown("stopping", message)
            blocked_s = self._dispatcher.crashes.wait_s(call.crash_key)
            try:
                async with self._dispatcher.attempt(
                    call,
                    target,
                    outgoing,
                    options,
                    reserve_other=_no_other_server,
                    outcome_only=blocked_s > 0,
                ) as (_, response):
                    body = await response.http.read()
            except AttemptRefused as exc:
                if exc.code == BLOCKED_CODE:
                    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
                    raise blocked_error(blocked_s, verdict) from exc
                raise _refusal_error(exc, sent) from exc
            except AttemptBroken as exc:
                sent = sent or exc.verdict is not Verdict.NOT_RUN
                continue
            await send_response(exchange, call, response, body)
            return
        raise _unknown(
            "outcome_unknown", "the agent that issued the key did not respond"
        )

    async def _delay_retry(self, call: Call, attempt_number: int) -> bool:
        """Wait before a retry; return False if no time or retry budget is left."""
        await trio.sleep(RETRY_DELAY_BASE_S * 2**attempt_number)
        return self._dispatcher.acquire_retry(call)


def _no_other_server() -> bool:
    return False


def _refusal_error(exc: AttemptRefused, sent: bool) -> HttpError:
    # An earlier attempt that was sent may still reach the agent and run.
    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return HttpError(
        exc.status,
        exc.code,
        exc.message,
        verdict=verdict,
        retry_after_ms=exc.reply.retry_after_ms,
    )


def _unknown(code: str, message: str) -> HttpError:
    """Return the error for a call whose outcome its issuing agent cannot report.

    The verdict is ``may-have-run`` even if no attempt was sent: an earlier call with
    the same key may have run, and after ``not-run`` a caller would use a new key.
    """
    return HttpError(
        503,
        code,
        message,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )
