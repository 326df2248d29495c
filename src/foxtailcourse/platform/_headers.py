"""Headers of callers' requests and of backend servers' answers."""

from collections.abc import Iterable, Mapping

import attrs

from foxtailcourse.settings import Address

REQUEST_ID = "x-foxtailcourse-request-id"
DEADLINE_MS = "x-foxtailcourse-deadline-ms"
KEY = "x-foxtailcourse-key"
ACCOUNT = "x-foxtailcourse-tenant"
INSTANCE = "x-foxtailcourse-expected-instance"
WEIGHTS_VERSION = "x-foxtailcourse-expected-version"
MODEL = "x-foxtailcourse-model"
TOKEN_COUNTS = "x-foxtailcourse-token-counts"
PREFIX = "x-foxtailcourse-prompt-prefix"
LENGTH_HINT = "x-foxtailcourse-length-hint"
SALT = "x-foxtailcourse-cache-salt"
PRIORITY = "x-foxtailcourse-request-priority"
FETCH_FROM = "x-foxtailcourse-kv-fetch-from"
SAVE_TO = "x-foxtailcourse-kv-save-to"
LAST_EVENT_ID = "last-event-id"
SIGNATURE = "x-foxtailcourse-response-signature"
NOT_EXECUTED = "x-foxtailcourse-not-executed"
ACTUAL_INSTANCE = "x-foxtailcourse-instance-id"
ACTUAL_WEIGHTS = "x-foxtailcourse-weight-versions"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Set by this system alone; a caller's value is dropped.
OWN_HEADERS = frozenset(
    {
        KEY,
        ACCOUNT,
        DEADLINE_MS,
        INSTANCE,
        WEIGHTS_VERSION,
        SALT,
        PRIORITY,
        FETCH_FROM,
        SAVE_TO,
        "x-foxtailcourse-hold",
        "x-foxtailcourse-pin-ms",
        "x-foxtailcourse-kv-backup",
        "kv-from",
    }
)
MISDIRECTED_STATUS = 421
REFUSED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""


class RequestHeaderError(ValueError):
    """A caller's request is malformed."""


@attrs.frozen(kw_only=True)
class PromptPart:
    """One part of a prompt, in order."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class IngressRequest:
    """A caller's request as its headers describe it.

    Parameters
    ----------
    id : str
        Identifier of this attempt of the caller, empty if it sent none.
    host : str
        Host without a port.
    path : str
        Path without the query, as sent.
    account_key : str
        Key of the client account, empty without one.
    deadline_s : float or None
        Time that the caller will wait, in seconds.
    model : str
        Model that is asked for, empty for other services.
    prompt_parts : tuple of PromptPart
        Parts of the prompt.
    max_output_tokens : int
        Most tokens to generate.
    headers : mapping
        Headers to forward.
    """

    id: str
    host: str
    path: str
    account_key: str
    deadline_s: float | None
    model: str
    prompt_parts: tuple[PromptPart, ...]
    max_output_tokens: int
    last_event_id: str
    headers: Mapping[str, str]

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(each.tokens for each in self.prompt_parts)


@attrs.frozen(kw_only=True)
class AttemptHeaders:
    """What the system tells a backend server about one attempt.

    Parameters
    ----------
    instance : str
        The only backend server that may run it.
    remaining_s : float
        Time left.
    account : str
        Name of the client account, empty without one.
    weights_version : int or None
        Version of the weights that it must run on.
    salt : str
        Separates caches, empty for requests without a prompt.
    priority : int or None
        0 to 9, 0 is first.
    fetch_from, save_to : Address or None
        Where cached parts are fetched from and copied to.
    last_event_id : str
        Event after which a stream goes on, empty for a new one.
    """

    instance: str
    remaining_s: float
    account: str = ""
    weights_version: int | None = None
    salt: str = ""
    priority: int | None = None
    fetch_from: Address | None = None
    save_to: Address | None = None
    last_event_id: str = ""


@attrs.frozen(kw_only=True)
class ResponseHeaders:
    """What the headers of a backend server's answer say.

    Parameters
    ----------
    request_id : str
        The request that it answers.
    signed : bool
        Whether it bears the backend server's signature.
    not_executed : bool
        Whether it states that the request has not run.
    content_encoded : bool
        Whether the body has a content encoding, which no caller asks for.
    weights_version : int or None
        Version of the weights in service.
    instance : str
        The backend server, if it says so.
    """

    status: int
    request_id: str
    signed: bool
    not_executed: bool
    content_encoded: bool
    weights_version: int | None
    instance: str


def decode_request_headers(
    target: str, raw_headers: Iterable[tuple[bytes, bytes]]
) -> IngressRequest:
    """Read the headers of a request.

    Raises
    ------
    RequestHeaderError
        If a header that routes or limits the request is malformed or repeated.
    """
    fields: dict[str, str] = {}
    for raw_name, raw_value in raw_headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        if name in fields:
            if name.startswith("x-foxtailcourse-") and fields[name] != value:
                raise RequestHeaderError(f"header {name} is repeated")
            fields[name] = f"{fields[name]}, {value}"
        else:
            fields[name] = value
    dropped = HOP_BY_HOP | OWN_HEADERS | _listed(fields.get("connection", ""))
    return IngressRequest(
        id=fields.get(REQUEST_ID, ""),
        host=fields.get("host", "").partition(":")[0],
        path=target.partition("?")[0],
        account_key=fields.get(KEY, ""),
        deadline_s=_deadline(fields.get(DEADLINE_MS)),
        model=fields.get(MODEL, ""),
        prompt_parts=_parts(fields.get(PREFIX, "")),
        max_output_tokens=_output_tokens(fields.get(TOKEN_COUNTS, "")),
        last_event_id=fields.get(LAST_EVENT_ID, ""),
        headers={k: v for k, v in fields.items() if k not in dropped},
    )


def _listed(connection: str) -> frozenset[str]:
    names = (each.strip().lower() for each in connection.split(","))
    return frozenset(each for each in names if each and each != "host")


def _deadline(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise RequestHeaderError(f"{DEADLINE_MS} is not a number of milliseconds")
    return int(text) / 1000


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for each in filter(None, (part.strip() for part in text.split(","))):
        ident, _, tokens = each.partition(":")
        if not tokens.isascii() or not tokens.isdigit() or len(tokens) > 9:
            raise RequestHeaderError(f"{PREFIX} is malformed")
        parts.append(PromptPart(id=ident, tokens=int(tokens)))
    return tuple(parts)


def _output_tokens(text: str) -> int:
    _, _, most = text.partition(",")
    most = most.strip()
    return int(most) if most.isascii() and most.isdigit() and len(most) < 9 else 0


def encode_attempt_headers(
    request: IngressRequest, attempt: AttemptHeaders, body_bytes: int
) -> dict[str, str]:
    """Return the headers of one attempt."""
    fields = dict(request.headers)
    if body_bytes:
        fields["content-length"] = str(body_bytes)
    fields[DEADLINE_MS] = str(max(1, int(attempt.remaining_s * 1000)))
    fields[INSTANCE] = attempt.instance
    if attempt.account:
        fields[ACCOUNT] = attempt.account
    if attempt.weights_version is not None:
        fields[WEIGHTS_VERSION] = str(attempt.weights_version)
    if attempt.salt:
        fields[SALT] = attempt.salt
    if attempt.priority is not None:
        fields[PRIORITY] = str(attempt.priority)
    if attempt.fetch_from is not None:
        fields[FETCH_FROM] = str(attempt.fetch_from)
    if attempt.save_to is not None:
        fields[SAVE_TO] = str(attempt.save_to)
    if attempt.last_event_id:
        fields[LAST_EVENT_ID] = attempt.last_event_id
    return fields


def decode_response_headers(status: int, fields: Mapping[str, str]) -> ResponseHeaders:
    """Read the headers of an answer."""
    version = fields.get(ACTUAL_WEIGHTS, "")
    encoding = fields.get("content-encoding", "identity").strip().lower()
    return ResponseHeaders(
        status=status,
        request_id=fields.get(REQUEST_ID, ""),
        signed=SIGNATURE in fields,
        not_executed=NOT_EXECUTED in fields or status == MISDIRECTED_STATUS,
        content_encoded=encoding not in {"", "identity"},
        weights_version=int(version) if version.isdigit() else None,
        instance=fields.get(ACTUAL_INSTANCE, ""),
    )


def forwarded_response_headers(fields: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an answer that reach the caller."""
    dropped = HOP_BY_HOP | _listed(fields.get("connection", ""))
    return {k: v for k, v in fields.items() if k not in dropped}


def refusal_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of an answer of the system's own."""
    fields = {REQUEST_ID: request_id} if request_id else {}
    if retry_after_s is not None:
        fields["retry-after"] = f"{retry_after_s:.2f}"
    return fields
