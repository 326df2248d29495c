"""Sharing of capacity by contract: fair queue, limits, retry budget."""

from foxtailcourse.sharing._fair import FairQueue, QueueLimits
from foxtailcourse.sharing._fifo import FifoQueue
from foxtailcourse.sharing._limits import AccountLimiter, Grant
from foxtailcourse.sharing._rates import ServiceRates
from foxtailcourse.sharing._retry import RetryBudget
from foxtailcourse.sharing._slices import AccountDemand, DemandSummary
from foxtailcourse.sharing._types import (
    Admission,
    QueuedRequest,
    Refusal,
    RequestQueue,
)

__all__ = [
    "AccountDemand",
    "AccountLimiter",
    "Admission",
    "DemandSummary",
    "FairQueue",
    "FifoQueue",
    "Grant",
    "QueueLimits",
    "QueuedRequest",
    "Refusal",
    "RequestQueue",
    "RetryBudget",
    "ServiceRates",
]
