"""One caller's request while it is being answered."""

import attrs

from foxtailcourse.fleet import Account, Route
from foxtailcourse.http import Exchange
from foxtailcourse.ingress._placement import Choice, Prompt
from foxtailcourse.platform import IngressRequest
from foxtailcourse.protocol import Verdict


@attrs.define(kw_only=True)
class Job:
    """A request with what its route and account allow.

    Parameters
    ----------
    service : str
        Service that the request is sent to.
    started : float
        When it was read, in seconds since boot.
    deadline : float
        When it must have its final answer.
    sent_to : list of str
        Backend servers that were sent any byte of it.
    verdict : Verdict
        Whether it may have run.
    last_event_id : str
        Last event passed to the caller.
    weights_version : int or None
        Version of the weights that the caller's first event came from; a stream does
        not go on with another one.
    choice : Choice or None
        The last choice of a server.
    queued_tokens : int
        Prompt tokens that were ahead there when it was chosen.
    held_s : float
        Time that it was held back before it was sent, in seconds.
    attempt_pending : bool
        Whether an attempt has begun whose end is not known.
    answered : bool
        Whether the caller was sent the whole answer.
    """

    exchange: Exchange
    request: IngressRequest
    route: Route
    account: Account | None
    service: str
    started: float
    deadline: float
    sent_to: list[str] = attrs.field(factory=list)
    unreachable: set[str] = attrs.field(factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    last_event_id: str = ""
    weights_version: int | None = None
    first_event_at: float | None = None
    choice: Choice | None = None
    queued_tokens: int = 0
    deferred_s: float = 0.0
    attempt_pending: bool = False
    response_complete: bool = False

    @property
    def prompt(self) -> Prompt | None:
        """The prompt, if the request has one."""
        if not self.request.model or not self.request.prompt_parts:
            return None
        return Prompt(
            parts=self.request.prompt_parts, tokens=self.request.prompt_tokens
        )

    @property
    def chosen_version(self) -> int | None:
        """Version of the weights on the last chosen server."""
        if self.choice is None:
            return None
        return self.choice.candidate.server.weights.get(self.request.model)

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account else ""

    def priority(self) -> int:
        """Return the rank among a server's requests, 0 to 9; the account's first."""
        rank = min(2, self.route.priority)
        if self.account is not None:
            rank += 3 * self.account.priority
        return max(0, min(9, rank))


class AttemptError(Exception):
    """An attempt did not bring an answer that the caller may have.

    Parameters
    ----------
    reason : str
        Short code for logs and metrics.
    verdict : Verdict
        Whether the request may have run in this attempt.
    answer : Answer or None
        The server's own failure, to be passed on if nothing better follows.
    """

    def __init__(
        self, reason: str, verdict: Verdict, response: "ServerResponse | None" = None
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.response = response


@attrs.frozen(kw_only=True)
class ServerResponse:
    """A backend server's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class RefusedError(Exception):
    """The request is refused and has not run.

    Parameters
    ----------
    reason : str
        Short code for logs and metrics.
    retry_after_s : float
        When to come back, in seconds.
    inputs : dict
        What decided it, for the log.
    """

    def __init__(self, reason: str, retry_after_s: float, **inputs: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.inputs = inputs
