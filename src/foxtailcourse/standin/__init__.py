"""Stand-ins of the outside systems, for tests and the demo."""

from foxtailcourse.standin._engine import EngineOptions, EngineStandin
from foxtailcourse.standin._kv_store import KvStoreStandin
from foxtailcourse.standin._serve import serve_handler
from foxtailcourse.standin._service import (
    BUSINESS_KEY,
    ServiceOptions,
    ServiceStandin,
)
from foxtailcourse.standin._text import answer_text, prompt_text, token_text
from foxtailcourse.standin._weights import WeightStoreStandin

__all__ = [
    "BUSINESS_KEY",
    "EngineOptions",
    "EngineStandin",
    "KvStoreStandin",
    "ServiceOptions",
    "ServiceStandin",
    "WeightStoreStandin",
    "answer_text",
    "prompt_text",
    "serve_handler",
    "token_text",
]
