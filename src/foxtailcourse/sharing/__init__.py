"""Sharing of capacity by contract: fair queue, limits, retry budget."""

from foxtailcourse.sharing._types import (
    Admission,
    QueuedRequest,
    Refusal,
    RequestQueue,
)

__all__ = ["Admission", "QueuedRequest", "Refusal", "RequestQueue"]
