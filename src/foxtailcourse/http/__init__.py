"""HTTP/1.1 server and client: h11 over trio streams."""

from foxtailcourse.http._client import (
    ClientError,
    ClientResponse,
    ConnectionPool,
    RequestOptions,
)
from foxtailcourse.http._errors import HttpError, error_body
from foxtailcourse.http._limits import HttpLimits
from foxtailcourse.http._server import Exchange, Handler, HttpServer
from foxtailcourse.http._sse import SseError, SseEvent, SseParser, format_sse

__all__ = [
    "ClientError",
    "ClientResponse",
    "ConnectionPool",
    "Exchange",
    "Handler",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "RequestOptions",
    "SseError",
    "SseEvent",
    "SseParser",
    "error_body",
    "format_sse",
]
