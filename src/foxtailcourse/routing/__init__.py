"""Choice of a backend server by prefix, load and heat."""

from foxtailcourse.routing._types import Choice, Placement, Prompt, ServerReply

__all__ = ["Choice", "Placement", "Prompt", "ServerReply"]
