"""State of one request while it is being processed."""

import attrs

from foxtailcourse.crashes import Parts
from foxtailcourse.fleet import Account, Route
from foxtailcourse.http import Exchange, Framing
from foxtailcourse.ingress._account_quotas import Grant
from foxtailcourse.ingress._arrivals import Arrival
from foxtailcourse.ingress._held_responses import HeldResponse
from foxtailcourse.ingress._placement_types import Choice, Prompt
from foxtailcourse.ingress._replacement import Replacement
from foxtailcourse.ingress._retry_budget import Retry
from foxtailcourse.platform import IngressRequest
from foxtailcourse.protocol import Verdict


@attrs.define(kw_only=True)
class Job:
    """A request with its route, its client account and the state of its attempts.

    Parameters
    ----------
    exchange : Exchange
        The HTTP request of the caller, and its response.
    request : IngressRequest
        The decoded request.
    route : Route
        Route of the request.
    account : Account or None
        Client account of the request.
    service : str
        Service that the request is sent to.
    started : float
        When the request was received, in seconds since boot.
    read_s : float
        Time from its first byte until it was read and authorized, in seconds.
    deadline : float
        When the response must be complete, in seconds since boot.
    sent_to : list of str
        Identifiers of the backend servers that may have received any byte of the
        request, one for each attempt.
    unreachable : set of str
        Identifiers of the backend servers that could not be connected to.
    given_up : set of str
        Identifiers of the backend servers that it left because they were silent.
    refusals : int
        Attempts in which a server refused the request.
    verdict : Verdict
        Whether the request may have run.
    last_event_id : str
        Identifier of the last event that was forwarded to the caller, or that is held
        for it; empty if none.
    held : HeldResponse or None
        Sends the events of a stream to a slow caller; None if they are not buffered.
    weights_version : int or None
        Version of the weights that the caller's first event came from. The stream is
        not resumed with another version.
    software_version : str or None
        Version of the server software that the caller's first event came from. The
        stream is not resumed at another version, as their events do not fit together.
    first_event_at : float or None
        When the first event arrived, in seconds since boot.
    choice : Choice or None
        The last selected server.
    queued_tokens : int
        Prompt tokens that were queued at ``choice`` when it was selected.
    outdated_s : float or None
        For how long the weights of ``choice`` had been outdated when the request was
        sent, in seconds; None if they were the desired ones.
    deferred_s : float
        Time that the request was deferred before it was sent, in seconds.
    buffered_bytes : int
        Bytes of its answers that count as buffered at this entry.
    attempt_sent_at : float
        When the last attempt was sent, in seconds since boot.
    attempt_pending : bool
        Whether an attempt was started and its outcome is not known.
    replacement : Replacement or None
        Where the next attempt is sent; its retry is already counted.
    retry : Retry or None
        The counted retry that the next attempt is.
    response_complete : bool
        Whether the complete response was sent to the caller.
    typical_prompt_tokens : float
        Mean tokens of the prompts of the route; 0 if unknown.
    attempt : AttemptState
        State of the last attempt.
    crash_keys : frozenset of str
        What requests under which servers crash may have in common: the keys of the
        request and of the parts of its prompt that other requests may have as well.
    request_key : str
        Key that only the same request of the same caller has.
    grant : Grant or None
        Tokens of the account's quota that the request uses; None without a quota.
    """

    exchange: Exchange
    request: IngressRequest
    route: Route
    account: Account | None
    service: str
    started: float
    deadline: float
    read_s: float = 0.0
    sent_to: list[str] = attrs.field(factory=list)
    unreachable: set[str] = attrs.field(factory=set)
    given_up: set[str] = attrs.field(factory=set)
    refusals: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    last_event_id: str = ""
    held: HeldResponse | None = None
    weights_version: int | None = None
    software_version: str | None = None
    first_event_at: float | None = None
    choice: Choice | None = None
    queued_tokens: int = 0
    outdated_s: float | None = None
    deferred_s: float = 0.0
    buffered_bytes: int = 0
    attempt_sent_at: float = 0.0
    attempt_pending: bool = False
    replacement: Replacement | None = None
    retry: Retry | None = None
    response_complete: bool = False
    typical_prompt_tokens: float = 0.0
    attempt: "AttemptState" = attrs.field(factory=lambda: AttemptState())
    crash_keys: Parts = frozenset()
    request_key: str = ""
    grant: Grant | None = None

    @property
    def prompt(self) -> Prompt | None:
        """The prompt, if the request has one."""
        if not self.request.model or not self.request.prompt_parts:
            return None
        return Prompt(
            parts=self.request.prompt_parts,
            tokens=self.request.prompt_tokens,
            typical_tokens=self.typical_prompt_tokens,
        )

    @property
    def chosen_version(self) -> int | None:
        """Version of the weights on the last selected server."""
        if self.choice is None:
            return None
        return self.choice.candidate.server.weights.get(self.request.model)

    @property
    def chosen_software(self) -> str:
        """Software version of the last selected server, empty if unknown."""
        if self.choice is None:
            return ""
        return self.choice.candidate.server.software_version

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account else ""

    def record_sent(self, arrival: Arrival) -> None:
        """Record that an attempt is being sent."""
        self.attempt_sent_at, self.attempt.arrival = arrival.sent_at, arrival
        if self.retry is not None:
            self.retry.record_sent(arrival)
            self.retry = None

    def record_response_complete(self) -> None:
        """Record that the complete response was sent to the caller."""
        self.response_complete = True

    def priority(self) -> int:
        """Return the priority at a server, from 0 to 9; 0 is the highest.

        The priority of the client account ranks before that of the route.
        """
        rank = min(2, self.route.priority)
        if self.account is not None:
            rank += 3 * self.account.priority
        return max(0, min(9, rank))


@attrs.define(kw_only=True)
class AttemptState:
    """What has arrived of the response to one attempt.

    Parameters
    ----------
    framing : Framing or None
        How the response marks its end; None before its head.
    unfinished_bytes : int
        Bytes of an event that a stream ended in.
    first_event_at : float or None
        When the first event arrived, in seconds since boot.
    events : int
        Lower bound of the number of events that arrived.
    arrival : Arrival or None
        Whether the server has got the request; None if it was not sent.
    kept_reason : str
        Why the request stayed at its silent server when this was last checked; empty
        if the server was not silent.
    is_answered : bool
        Whether the server has answered for long enough to show that the request does
        not crash it.
    """

    framing: Framing | None = None
    unfinished_bytes: int = 0
    first_event_at: float | None = None
    events: int = 0
    arrival: Arrival | None = None
    kept_reason: str = ""
    is_answered: bool = False


class AttemptError(Exception):
    """An attempt failed without a response that may be forwarded to the caller.

    Parameters
    ----------
    reason : str
        Short code for logs and metrics.
    verdict : Verdict
        Whether the request may have run in this attempt.
    response : ServerResponse or None
        The error response of the server, which is forwarded if all retries fail.
    retry_after_s : float or None
        Time in seconds for which the server asked for no requests.
    retry_after_unreadable : str
        That time if it cannot be read.
    """

    def __init__(
        self,
        reason: str,
        verdict: Verdict,
        response: "ServerResponse | None" = None,
        *,
        retry_after_s: float | None = None,
        retry_after_unreadable: str = "",
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.response = response
        self.retry_after_s = retry_after_s
        self.retry_after_unreadable = retry_after_unreadable


@attrs.frozen(kw_only=True)
class ServerResponse:
    """Complete response of a backend server, with the headers to forward."""

    status: int
    headers: dict[str, str]
    body: bytes


class RefusedError(Exception):
    """The request was refused and has not run.

    Parameters
    ----------
    reason : str
        Short code for logs and metrics.
    retry_after_s : float
        Time in seconds after which the caller may retry.
    inputs : dict of str to int, str or None
        Inputs of the decision, for the log.
    """

    def __init__(
        self, reason: str, retry_after_s: float, **inputs: int | str | None
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.inputs = inputs
