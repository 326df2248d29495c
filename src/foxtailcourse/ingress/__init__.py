"""Callers' requests on the platform, sent straight to backend servers."""

from foxtailcourse.ingress._app import IngressApp, serve
from foxtailcourse.ingress._cache_index import HeldParts
from foxtailcourse.ingress._holdback import (
    Step,
    Timing,
    WaitingWork,
    next_step,
)
from foxtailcourse.ingress._loads import (
    RemoteLoad,
    ServerLoads,
)
from foxtailcourse.ingress._placement import (
    OLD_WEIGHTS_COST_TOKENS,
    RUNNING_COST_TOKENS,
    CacheStore,
    Candidate,
    Choice,
    Prompt,
    best_fetch,
    cheapest,
    choose_for_prompt,
)
from foxtailcourse.ingress._rollout import next_loads
from foxtailcourse.ingress._settings import IngressSettings

__all__ = [
    "CacheStore",
    "Candidate",
    "Choice",
    "HeldParts",
    "IngressApp",
    "IngressSettings",
    "OLD_WEIGHTS_COST_TOKENS",
    "Prompt",
    "RUNNING_COST_TOKENS",
    "RemoteLoad",
    "ServerLoads",
    "Step",
    "Timing",
    "WaitingWork",
    "best_fetch",
    "cheapest",
    "choose_for_prompt",
    "next_loads",
    "next_step",
    "serve",
]
