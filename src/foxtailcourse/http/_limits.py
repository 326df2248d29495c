"""Bounds on what one peer may use."""

import attrs


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Bounds of a server.

    Parameters
    ----------
    max_connections : int
        Connections served at once; more wait in the listen backlog.
    max_header_bytes : int
        Request line and header fields of one request.
    max_body_bytes : int
        Body of one request.
    receive_timeout_s : float
        Longest time to receive a whole request once it has begun.
    idle_timeout_s : float
        Longest wait for the next request on a kept connection.
    send_timeout_s : float
        Longest wait for a slow caller to take one piece of a response.
    """

    max_connections: int = 2000
    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    receive_timeout_s: float = 20.0
    idle_timeout_s: float = 75.0
    send_timeout_s: float = 30.0
