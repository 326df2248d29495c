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
    mean_tokens_per_s,
)
from foxtailcourse.ingress._app import IngressApp, serve
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._candidates import with_speed
from foxtailcourse.ingress._fetch_sources import FetchSources
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._placement import (
    ASSUMED_SHORT_WORK_TOKENS,
    OUTDATED_WEIGHTS_COST_TOKENS,
    PROMPT_OVERHEAD_TOKENS,
    RUNNING_REQUEST_COST_TOKENS,
    choose_for_prompt,
    lowest_cost_choice,
    prefill_work_tokens,
)
from foxtailcourse.ingress._placement_types import CacheStore, Candidate, Choice, Prompt
from foxtailcourse.ingress._request_sizes import RequestSizes
from foxtailcourse.ingress._rollout import plan_weight_loads
from foxtailcourse.ingress._server_loads import (
    RemoteLoad,
    ServerLoad,
    ServerLoads,
)
from foxtailcourse.ingress._server_speeds import ServerSpeed, ServerSpeeds
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
    "FleetSums",
    "IngressApp",
    "IngressSettings",
    "OUTDATED_WEIGHTS_COST_TOKENS",
    "PROMPT_OVERHEAD_TOKENS",
    "Prompt",
    "RUNNING_REQUEST_COST_TOKENS",
    "RemoteLoad",
    "RequestSizes",
    "RequestTiming",
    "ServerLoad",
    "ServerLoads",
    "ServerSpeed",
    "ServerSpeeds",
    "choose_for_prompt",
    "decide_admission",
    "lowest_cost_choice",
    "max_queue_s",
    "mean_tokens_per_s",
    "plan_weight_loads",
    "prefill_work_tokens",
    "serve",
    "with_speed",
]
