"""HTTP headers of callers' requests and of backend servers' responses."""

import math
import re
from collections.abc import Iterable, Mapping, Sequence

import attrs

from foxtailcourse.settings import Address

REQUEST_ID_HEADER = "x-foxtailcourse-request-id"
DEADLINE_MS_HEADER = "x-foxtailcourse-deadline-ms"
ACCOUNT_KEY_HEADER = "x-foxtailcourse-key"
ACCOUNT_HEADER = "x-foxtailcourse-tenant"
EXPECTED_INSTANCE_HEADER = "x-foxtailcourse-expected-instance"
EXPECTED_WEIGHTS_HEADER = "x-foxtailcourse-expected-version"
MODEL_HEADER = "x-foxtailcourse-model"
TOKEN_COUNTS_HEADER = "x-foxtailcourse-token-counts"
LENGTH_HINT_HEADER = "x-foxtailcourse-length-hint"
PROMPT_PREFIX_HEADER = "x-foxtailcourse-prompt-prefix"
CACHE_SALT_HEADER = "x-foxtailcourse-cache-salt"
PRIORITY_HEADER = "x-foxtailcourse-request-priority"
FETCH_FROM_HEADER = "x-foxtailcourse-kv-fetch-from"
SAVE_TO_HEADER = "x-foxtailcourse-kv-save-to"
LAST_EVENT_ID_HEADER = "last-event-id"
RESUMES_HEADER = "resumes"
SIGNATURE_HEADER = "x-foxtailcourse-response-signature"
NOT_EXECUTED_HEADER = "x-foxtailcourse-not-executed"
ACTUAL_INSTANCE_HEADER = "x-foxtailcourse-instance-id"
ACTUAL_WEIGHTS_HEADER = "x-foxtailcourse-weight-versions"
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"
RATE_LIMIT_HEADER = "server-limit"

HOP_BY_HOP_HEADERS = frozenset(
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
SYSTEM_HEADERS = frozenset(
    {
        ACCOUNT_KEY_HEADER,
        ACCOUNT_HEADER,
        DEADLINE_MS_HEADER,
        EXPECTED_INSTANCE_HEADER,
        EXPECTED_WEIGHTS_HEADER,
        CACHE_SALT_HEADER,
        PRIORITY_HEADER,
        FETCH_FROM_HEADER,
        SAVE_TO_HEADER,
        "x-foxtailcourse-hold",
        "x-foxtailcourse-pin-ms",
        "x-foxtailcourse-kv-backup",
        "kv-from",
    }
)
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# A backend server cannot ask to be left alone for longer than this.
MAX_RETRY_AFTER_S = 600.0
# A count or a time in milliseconds; it may have a fraction.
NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,12})?")
MAX_NUMBER = 1e9
WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
REFUSED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""


class RequestHeaderError(ValueError):
    """A header of a caller's request is malformed."""


@attrs.frozen(kw_only=True)
class PromptPart:
    """One part of a prompt.

    Parameters
    ----------
    id : str
        Identifier of the part's content; the same in all prompts that share the part.
    tokens : int
        Number of tokens.
    """

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class IngressRequest:
    """The headers of a caller's request, decoded.

    Parameters
    ----------
    id : str
        Identifier of this attempt of the caller, empty if it sent none.
    host : str
        Host without a port.
    path : str
        Path without the query, as sent.
    account_key : str
        API key of the client account, empty without one.
    deadline_s : float or None
        Time that the caller waits for the response, in seconds.
    model : str
        Requested model; empty for other services.
    prompt_parts : tuple of PromptPart
        Parts of the prompt, in order.
    max_output_tokens : int
        Maximum number of tokens to generate; 0 if not known.
    last_event_id : str
        Event after which the caller resumes a stream, empty for a new one.
    resumes : str
        Identifier of the caller's attempt that brought the first event of the stream
        that it resumes; empty if not given.
    headers : mapping of str to str
        Headers to forward to the backend server.
    counted_tokens : int or None
        Tokens that count toward a quota, those of the prompt and the maximum to
        generate; None if the caller does not state both.
    expected_output_tokens : int
        Number of tokens that the caller expects to be generated; 0 if not known.
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
    resumes: str
    headers: Mapping[str, str]
    counted_tokens: int | None = None
    expected_output_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the whole prompt."""
        return sum(each.tokens for each in self.prompt_parts)


@attrs.frozen(kw_only=True)
class AttemptHeaders:
    """Values of the headers that this system adds to one attempt.

    Parameters
    ----------
    instance : str
        Identifier of the backend server; any other one must reject the attempt.
    remaining_s : float
        Time left until the deadline, in seconds.
    account : str
        Name of the client account, empty without one.
    weights_version : int or None
        Weights version that must run the request.
    salt : str
        Separates the caches of weights versions and isolated client accounts; empty
        for requests without a prompt.
    priority : int or None
        Priority at the server from 0 to 9, 0 for the highest.
    fetch_from, save_to : Address or None
        Addresses to fetch cached parts of the prompt from and to copy them to.
    last_event_id : str
        Event after which a stream resumes, empty for a new one.
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
    """The status and headers of a backend server's response, decoded.

    Parameters
    ----------
    status : int
        Status code.
    request_id : str
        Identifier of the request that it responds to; empty if not given.
    signed : bool
        Whether it bears the backend server's signature.
    not_executed : bool
        Whether it states that the request has not run.
    content_encoded : bool
        Whether the body has a content encoding, which no caller asks for.
    weights_version : int or None
        Weights version of the backend server.
    instance : str
        Identifier of the backend server; empty if not given.
    leaving : bool
        Whether the backend server says that it leaves.
    retry_after_s : float or None
        Time for which a backend server that refuses the request wants no others from
        this process, in seconds; at most MAX_RETRY_AFTER_S. None if it states none.
    retry_after_unreadable : str
        The stated time if it is no number of seconds, for the log; empty otherwise.
    limit_per_s : float or None
        Requests per second that the backend server takes from all entries together.
        None if it states no limit.
    limit_unreadable : str
        The stated limit if it is no number, for the log; empty otherwise.
    """

    status: int
    request_id: str
    signed: bool
    not_executed: bool
    content_encoded: bool
    weights_version: int | None
    instance: str
    leaving: bool = False
    retry_after_s: float | None = None
    retry_after_unreadable: str = ""
    limit_per_s: float | None = None
    limit_unreadable: str = ""


def decode_request_headers(
    target: str, raw_headers: Iterable[tuple[bytes, bytes]]
) -> IngressRequest:
    """Decode the target and the headers of a caller's request.

    Headers that only this system may set, and those for one connection, are dropped
    from the headers to forward.

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
    dropped = (
        HOP_BY_HOP_HEADERS
        | SYSTEM_HEADERS
        | _connection_options(fields.get("connection", ""))
    )
    return IngressRequest(
        id=fields.get(REQUEST_ID_HEADER, ""),
        host=_host_without_port(fields.get("host", "")),
        path=target.partition("?")[0],
        account_key=fields.get(ACCOUNT_KEY_HEADER, ""),
        deadline_s=_parse_deadline_s(fields.get(DEADLINE_MS_HEADER)),
        model=fields.get(MODEL_HEADER, ""),
        prompt_parts=_parse_prompt_parts(fields.get(PROMPT_PREFIX_HEADER, "")),
        max_output_tokens=_parse_max_output_tokens(fields.get(TOKEN_COUNTS_HEADER, "")),
        counted_tokens=_parse_counted_tokens(fields.get(TOKEN_COUNTS_HEADER, "")),
        last_event_id=fields.get(LAST_EVENT_ID_HEADER, ""),
        resumes=fields.get(RESUMES_HEADER, ""),
        headers={k: v for k, v in fields.items() if k not in dropped},
        expected_output_tokens=int(
            _parse_number(fields.get(LENGTH_HINT_HEADER, "").strip()) or 0
        ),
    )


def _connection_options(connection: str) -> frozenset[str]:
    """Return the headers that a Connection header excludes from forwarding."""
    names = (each.strip().lower() for each in connection.split(","))
    return frozenset(each for each in names if each and each != "host")


def _host_without_port(host: str) -> str:
    """Return a Host header without its port and the brackets of an IPv6 address."""
    if host.startswith("["):
        return host[1:].partition("]")[0]
    return host.partition(":")[0]


def _parse_number(text: str) -> float | None:
    """Return a number from 0 to MAX_NUMBER, or None if the text is none."""
    if not NUMBER.fullmatch(text):
        return None
    value = float(text)
    return value if value <= MAX_NUMBER else None


def _parse_deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    deadline_ms = _parse_number(text.strip())
    if deadline_ms is None:
        raise RequestHeaderError(
            f"{DEADLINE_MS_HEADER} is not a number of milliseconds"
        )
    return deadline_ms / 1000


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a list such as ``5c1e:800, 91bd:410``."""
    parts = []
    for each in filter(None, (part.strip() for part in text.split(","))):
        ident, _, text_count = each.partition(":")
        tokens = _parse_number(text_count)
        if tokens is None:
            raise RequestHeaderError(
                f"{PROMPT_PREFIX_HEADER} has a part without a token count"
            )
        parts.append(PromptPart(id=ident, tokens=int(tokens)))
    return tuple(parts)


def _parse_max_output_tokens(text: str) -> int:
    """Return the second of two token counts, or 0 if it is malformed."""
    _, _, count = text.partition(",")
    return int(_parse_number(count.strip()) or 0)


def _parse_counted_tokens(text: str) -> int | None:
    """Return the sum of two token counts, or None if one is missing or malformed."""
    counts = [_parse_number(each.strip()) for each in text.split(",")]
    if len(counts) != 2 or None in counts:
        return None
    return math.ceil(sum(each for each in counts if each is not None))


def encode_request_fields(
    *,
    host: str = "",
    key: str = "",
    model: str = "",
    parts: Sequence[str] = (),
    max_output_tokens: int = 0,
) -> dict[str, str]:
    """Return the headers of a caller's request; empty values are left out.

    Parameters
    ----------
    host : str
        Host of the route.
    key : str
        API key of the client account.
    model : str
        Requested model.
    parts : sequence of str
        Parts of the prompt, as ``ID:TOKENS``.
    max_output_tokens : int
        Maximum number of tokens to generate.
    """
    fields = {
        "host": host,
        ACCOUNT_KEY_HEADER: key,
        MODEL_HEADER: model,
        PROMPT_PREFIX_HEADER: ",".join(parts),
        TOKEN_COUNTS_HEADER: f"0,{max_output_tokens}" if max_output_tokens else "",
    }
    return {name: value for name, value in fields.items() if value}


def encode_attempt_headers(
    request: IngressRequest, attempt: AttemptHeaders, body_bytes: int
) -> dict[str, str]:
    """Return the headers of one attempt at a backend server."""
    fields = dict(request.headers)
    if body_bytes:
        fields["content-length"] = str(body_bytes)
    fields[DEADLINE_MS_HEADER] = str(max(1, int(attempt.remaining_s * 1000)))
    fields[EXPECTED_INSTANCE_HEADER] = attempt.instance
    if attempt.account:
        fields[ACCOUNT_HEADER] = attempt.account
    if attempt.weights_version is not None:
        fields[EXPECTED_WEIGHTS_HEADER] = str(attempt.weights_version)
    if attempt.salt:
        fields[CACHE_SALT_HEADER] = attempt.salt
    if attempt.priority is not None:
        fields[PRIORITY_HEADER] = str(attempt.priority)
    if attempt.fetch_from is not None:
        fields[FETCH_FROM_HEADER] = str(attempt.fetch_from)
    if attempt.save_to is not None:
        fields[SAVE_TO_HEADER] = str(attempt.save_to)
    if attempt.last_event_id:
        fields[LAST_EVENT_ID_HEADER] = attempt.last_event_id
    return fields


def decode_response_headers(status: int, fields: Mapping[str, str]) -> ResponseHeaders:
    """Decode the status and headers of a backend server's response."""
    version = fields.get(ACTUAL_WEIGHTS_HEADER, "")
    encoding = fields.get("content-encoding", "identity").strip().lower()
    retry_after = ""
    if status == UNAVAILABLE_STATUS:
        retry_after = fields.get(RETRY_AFTER_HEADER, "").strip()
    retry_after_s = _parse_number(retry_after)
    limit = fields.get(RATE_LIMIT_HEADER, "").strip()
    limit_per_s = _parse_number(limit)
    return ResponseHeaders(
        status=status,
        request_id=fields.get(REQUEST_ID_HEADER, ""),
        signed=SIGNATURE_HEADER in fields,
        not_executed=NOT_EXECUTED_HEADER in fields or status == MISDIRECTED_STATUS,
        content_encoded=encoding not in {"", "identity"},
        weights_version=int(version) if WHOLE_NUMBER.fullmatch(version) else None,
        instance=fields.get(ACTUAL_INSTANCE_HEADER, ""),
        leaving=fields.get(LEAVING_HEADER, "").strip() == "1",
        retry_after_s=(
            None if retry_after_s is None else min(retry_after_s, MAX_RETRY_AFTER_S)
        ),
        retry_after_unreadable=retry_after if retry_after_s is None else "",
        limit_per_s=limit_per_s,
        limit_unreadable=limit if limit_per_s is None else "",
    )


def forwarded_response_headers(fields: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a response that are forwarded to the caller."""
    dropped = HOP_BY_HOP_HEADERS | _connection_options(fields.get("connection", ""))
    return {k: v for k, v in fields.items() if k not in dropped}


def refusal_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of a refusal by the ingress itself."""
    fields = {REQUEST_ID_HEADER: request_id} if request_id else {}
    if retry_after_s is not None:
        fields["retry-after"] = f"{retry_after_s:.2f}"
    return fields
