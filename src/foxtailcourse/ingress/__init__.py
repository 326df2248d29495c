"""Ingress on the platform: forwards callers' requests directly to backend servers.

One running ingress process is called an entry. Several entries serve the same callers
and backend servers.
"""

from foxtailcourse.ingress._admission import (
    AdmissionDecision,
    DeferredPrompts,
    RequestTiming,
    decide_admission,
    max_queue_s,
)
from foxtailcourse.ingress._app import IngressApp, serve
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._fetch_sources import FetchSources
from foxtailcourse.ingress._placement import (
    ASSUMED_SHORT_WORK_TOKENS,
    OUTDATED_WEIGHTS_COST_TOKENS,
    RUNNING_REQUEST_COST_TOKENS,
    choose_for_prompt,
    lowest_cost_choice,
)
from foxtailcourse.ingress._placement_types import CacheStore, Candidate, Choice, Prompt
from foxtailcourse.ingress._request_sizes import RequestSizes
from foxtailcourse.ingress._rollout import plan_weight_loads
from foxtailcourse.ingress._server_loads import (
    RemoteLoad,
    ServerLoads,
)
from foxtailcourse.ingress._settings import IngressSettings

__all__ = [
    "ASSUMED_SHORT_WORK_TOKENS",
    "AdmissionDecision",
    "CacheIndex",
    "CacheStore",
    "Candidate",
    "Choice",
    "DeferredPrompts",
    "FetchSources",
    "IngressApp",
    "IngressSettings",
    "OUTDATED_WEIGHTS_COST_TOKENS",
    "Prompt",
    "RUNNING_REQUEST_COST_TOKENS",
    "RemoteLoad",
    "RequestSizes",
    "RequestTiming",
    "ServerLoads",
    "choose_for_prompt",
    "decide_admission",
    "lowest_cost_choice",
    "max_queue_s",
    "plan_weight_loads",
    "serve",
]
