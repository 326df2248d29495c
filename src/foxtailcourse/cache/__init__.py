"""What an agent knows about its engine's block cache."""

from foxtailcourse.cache._index import BlockIndex, EventOutcome

__all__ = ["BlockIndex", "EventOutcome"]
