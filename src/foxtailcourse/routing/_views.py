"""What an entry knows about the load of each backend server."""

import attrs

from foxtailcourse.routing._types import ServerReply

LOST_S = 2.0
LOST_WAIT_S = 5.0
REFUSED_S = 1.0


@attrs.define(eq=False)
class ServerView:
    """Load of one backend server as replies show it.

    Parameters
    ----------
    incarnation : str
        Engine incarnation of the last reply; empty before the first one.
    queued_s, at : float
        Predicted wait of a new short request in seconds, and when it was reported.
    avoid_until, avoid_s : float
        Until when the server counts as unreachable or full, and the wait assumed
        for it, in seconds.
    """

    incarnation: str = ""
    queued_s: float = 0.0
    at: float = 0.0
    avoid_until: float = 0.0
    avoid_s: float = 0.0

    def short_wait_s(self, now: float) -> float:
        """Return the predicted wait of a new short request, in seconds."""
        return max(0.0, self.queued_s - (now - self.at))

    def penalty_s(self, now: float) -> float:
        """Return the wait to add while the server is to be avoided, in seconds."""
        return self.avoid_s if now < self.avoid_until else 0.0

    def avoid(self, until: float) -> None:
        """Avoid the server for a while."""
        self.avoid_until, self.avoid_s = until, LOST_WAIT_S

    def take_reply(self, reply: ServerReply, now: float) -> bool:
        """Note a reply; return whether the engine lost its cache since the last."""
        restarted = self.incarnation not in ("", reply.engine_incarnation)
        self.incarnation = reply.engine_incarnation
        self.queued_s, self.at = reply.queued_s, now
        if not reply.refused:
            self.avoid_until = 0.0
        return restarted
