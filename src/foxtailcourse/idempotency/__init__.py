"""Keys and outcomes of requests that run at most once."""

from foxtailcourse.idempotency._keys import (
    IssuedKey,
    KeyIssuer,
    KeyLimitError,
    KeyState,
    issuing_agent,
)
from foxtailcourse.idempotency._outcomes import (
    Decision,
    KeptResponse,
    OutcomeLimits,
    OutcomeTable,
)

__all__ = [
    "Decision",
    "IssuedKey",
    "KeptResponse",
    "KeyIssuer",
    "KeyLimitError",
    "KeyState",
    "OutcomeLimits",
    "OutcomeTable",
    "issuing_agent",
]
