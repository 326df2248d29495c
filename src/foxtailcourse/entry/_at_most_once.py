"""Calls that must not run twice."""

import attrs
import msgspec
import trio

from foxtailcourse.config import Vm
from foxtailcourse.entry._agent_client import AttemptBroken, AttemptRefused, Outgoing
from foxtailcourse.entry._attempt_history import Target
from foxtailcourse.entry._call import Call
from foxtailcourse.entry._claims import Claims
from foxtailcourse.entry._dispatcher import Dispatcher
from foxtailcourse.entry._relay import Relay, respond_whole
from foxtailcourse.http import Exchange, HttpError, RequestOptions
from foxtailcourse.idempotency import issuing_agent
from foxtailcourse.protocol import Verdict, headers

KEYS_TARGET = "/v1/idempotency-keys"
MAX_KEY_CHARS = 400
# Sent by an agent for a key that it will never run.
FENCED_CODE = "key_fenced"
FIRST_PAUSE_S = 0.05
RETRY_AFTER_MS = 1000


class _Issued(msgspec.Struct):
    key: str


def check_key(key: str) -> None:
    """Raise HttpError unless the field can be used as an idempotency key."""
    if not key:
        message = "this route needs an Idempotency-Key; see POST /v1/idempotency-keys"
        raise HttpError(400, "idempotency_key_required", message)
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        message = f"Idempotency-Key must be 1 to {MAX_KEY_CHARS} printable characters"
        raise HttpError(400, "bad_idempotency_key", message)


class OnceCaller:
    """Sends a call only to the agent that issued its key.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the attempts.
    relay : Relay
        Fetches issued keys.
    claims : Claims
        Binds callers' own keys.
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

    async def answer(self, exchange: Exchange, call: Call) -> None:
        """Answer the call; raises HttpError with a verdict that holds for the key."""
        own_key = call.idempotency_key
        if issuing_agent(own_key):
            await self._send(exchange, call)
            return
        account, route = call.contract.client_account, call.serves
        issued = await self._issue(call)
        bound = await self._claims.bind(account, own_key, route, issued)
        call.idempotency_key = bound
        try:
            await self._send(exchange, call)
            return
        except HttpError as exc:
            if exc.code != FENCED_CODE or exc.verdict is not Verdict.NOT_RUN:
                raise
        # The agent never runs a fenced key, so the caller's key can get another one.
        fresh = await self._issue(call)
        call.idempotency_key = await self._claims.replace(
            account, own_key, route, bound, fresh
        )
        await self._send(exchange, call)

    async def _issue(self, call: Call) -> str:
        """Return a new issued key."""
        issue = attrs.evolve(
            call,
            method="POST",
            target=KEYS_TARGET,
            fields={"content-type": "application/json"},
            body=msgspec.json.encode({"route": call.serves}),
        )
        try:
            _, body = await self._relay.fetch(issue)
            return msgspec.json.decode(body, type=_Issued).key
        except HttpError as exc:
            # Issuing a key runs nothing, whatever became of the attempts.
            exc.verdict = Verdict.NOT_RUN
            raise
        except msgspec.DecodeError as exc:
            raise HttpError(502, "malformed_key", "no key was issued") from exc

    def _holder(self, call: Call) -> Vm:
        view = self._dispatcher.store.view
        vm = view.vms.get(issuing_agent(call.idempotency_key))
        if vm is None or vm.serves != call.serves:
            raise _unknown("key_holder_gone", "the key's agent is not in service")
        return vm

    async def _send(self, exchange: Exchange, call: Call) -> None:
        """Send the call to the key's agent until it answers or time is up.

        Repeated sending is safe: the agent joins a repeated call to the running one.
        """
        fields = {**call.fields, headers.IDEMPOTENCY_KEY: call.idempotency_key}
        outgoing = Outgoing(
            method=call.method, target=call.target, fields=fields, body=call.body
        )
        target = Target(vm=self._holder(call), version="")
        options = RequestOptions(
            connect_timeout_s=self._dispatcher.cfg.connect_timeout_s,
            idle_timeout_s=self._dispatcher.cfg.stream_idle_timeout_s,
            head_timeout_s=call.answer_timeout_s,
            reuse=False,
        )
        self._dispatcher.first_attempt(call)
        sent = False
        for number in range(self._dispatcher.cfg.max_attempts):
            if number and not await self._pause(call, number):
                break
            try:
                async with self._dispatcher.attempt(
                    call, target, outgoing, options
                ) as (_, answer):
                    body = await answer.response.read()
            except AttemptRefused as exc:
                raise _refused(exc, sent) from exc
            except AttemptBroken as exc:
                sent = sent or exc.verdict is not Verdict.NOT_RUN
                continue
            await respond_whole(exchange, call, answer, body)
            return
        raise _unknown("outcome_unknown", "the key's agent did not answer")

    async def _pause(self, call: Call, number: int) -> bool:
        """Wait before sending again; False if there is no time or budget left."""
        await trio.sleep(FIRST_PAUSE_S * 2**number)
        return self._dispatcher.may_retry(call)


def _refused(exc: AttemptRefused, sent: bool) -> HttpError:
    # Bytes of an earlier attempt may still reach the agent.
    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return HttpError(
        exc.status,
        exc.code,
        exc.message,
        verdict=verdict,
        retry_after_ms=exc.reply.retry_after_ms,
    )


def _unknown(code: str, message: str) -> HttpError:
    """Return the answer when the key's agent can't say what became of the key.

    Even if this submission was not sent, an earlier one with the same key may have
    run, and a caller that reads ``not-run`` would take a new key.
    """
    return HttpError(
        503,
        code,
        message,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )
