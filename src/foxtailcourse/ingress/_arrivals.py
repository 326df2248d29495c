"""When requests that were sent have reached their servers."""

import attrs

from foxtailcourse.ingress._server_loads import ServerLoad

# A request that its server has not answered for this long is expected to never arrive.
MAX_DELAY_S = 30.0


@attrs.define(eq=False)
class Arrival:
    """The arrival of one attempt at its server.

    Parameters
    ----------
    load : ServerLoad
        Load of the server, with the latest of the requests that it has answered.
    sent_at : float
        When the attempt was sent, in seconds since boot.
    """

    load: ServerLoad
    sent_at: float
    _known_at: float | None = attrs.field(default=None, init=False)

    def record_answered(self, now: float) -> None:
        """Record that the server has sent the head of a response."""
        self.load.record_answered(self.sent_at)
        self.record_ended(now)

    def record_ended(self, now: float) -> None:
        """Record that the server has got the request or will never get it."""
        if self._known_at is None:
            self._known_at = now

    def known_by(self, now: float) -> float | None:
        """Return when it was known that it has arrived or never will, else None.

        A server that answers a request that was sent later has this one, too.
        """
        is_overtaken = self.load.answered_sent_at > self.sent_at
        if is_overtaken or now >= self.sent_at + MAX_DELAY_S:
            self.record_ended(now)
        return self._known_at
