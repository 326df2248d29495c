"""A caller's request on its way through the entry."""

from collections.abc import Callable, Mapping

import attrs

from foxtailcourse.config import Contract
from foxtailcourse.protocol import RequestClass, headers
from foxtailcourse.routing import Prompt

# Fields that belong to one connection, are computed anew, or carry the caller's
# credentials, which no backend server needs.
WITHHELD_FIELDS = frozenset(
    {
        "accept-encoding",
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        headers.IDEMPOTENCY_KEY,
    }
)


@attrs.define(kw_only=True)
class Call:
    """One authenticated and admitted request.

    Parameters
    ----------
    request_id : str
        Identifier, the same for all attempts.
    contract : Contract
        Contract of the caller.
    request_class : RequestClass
        Scheduling class.
    serves : str
        Model or service route.
    method, target : str
        Request line.
    fields : mapping
        Header fields to send on.
    body : bytes
        Body to send on.
    max_tokens : int
        Most tokens to generate; 0 for plain services.
    started, deadline : float
        Receipt, and latest useful first token, on trio's clock.
    desired_version : str
        Weights version that the configuration wants; empty for plain services.
    prompt_for : callable
        Returns the prompt for a weights version.
    """

    request_id: str
    contract: Contract
    request_class: RequestClass
    serves: str
    method: str
    target: str
    fields: Mapping[str, str]
    body: bytes
    max_tokens: int = 0
    started: float
    deadline: float
    desired_version: str = ""
    prompt_for: Callable[[str], Prompt]
    _prompts: dict[str, Prompt] = attrs.field(factory=dict, init=False)

    def prompt(self, version: str) -> Prompt:
        """Return the prompt whose keys are bound to a weights version."""
        if version not in self._prompts:
            self._prompts[version] = self.prompt_for(version)
        return self._prompts[version]


def forwarded_fields(fields: Mapping[str, str]) -> dict[str, str]:
    """Return the caller's header fields that a backend server may see."""
    listed = fields.get("connection", "").lower().split(",")
    withheld = WITHHELD_FIELDS | {each.strip() for each in listed}
    return {
        name: value
        for name, value in fields.items()
        if name not in withheld and not name.startswith("foxtail-")
    }
