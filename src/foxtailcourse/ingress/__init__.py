"""Callers' requests on the platform, sent straight to backend servers."""

from foxtailcourse.ingress._app import IngressApp, serve
from foxtailcourse.ingress._settings import IngressSettings

__all__ = ["IngressApp", "IngressSettings", "serve"]
