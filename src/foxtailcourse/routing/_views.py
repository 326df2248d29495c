"""What an entry knows about each backend server."""

import attrs

from foxtailcourse.routing._types import ServerReply

LOST_PENALTY_S = 5.0


@attrs.define
class ServerView:
    """Load of one backend server as replies and own requests show it.

    Parameters
    ----------
    incarnation : str
        Engine incarnation of the last reply; empty before the first one.
    queued_s, at : float
        Predicted wait of a new short request in seconds, and when it was reported.
    own_s : float
        Predicted service of own requests that no reply has accounted for, in seconds.
    lost_until : float
        Until when the server counts as unreachable.
    """

    incarnation: str = ""
    queued_s: float = 0.0
    at: float = 0.0
    own_s: float = 0.0
    lost_until: float = 0.0

    def wait_s(self, now: float) -> float:
        """Return the predicted wait of a new request, in seconds."""
        reported = max(0.0, self.queued_s - (now - self.at))
        penalty = LOST_PENALTY_S if now < self.lost_until else 0.0
        return reported + self.own_s + penalty

    def take_reply(self, reply: ServerReply, now: float) -> bool:
        """Note a reply; return whether the engine was restarted."""
        restarted = self.incarnation not in ("", reply.engine_incarnation)
        self.incarnation = reply.engine_incarnation
        self.queued_s, self.at, self.lost_until = reply.queued_s, now, 0.0
        return restarted
