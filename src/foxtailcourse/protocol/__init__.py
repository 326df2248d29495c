"""Inner protocol between the system's own processes."""

from foxtailcourse.protocol import headers
from foxtailcourse.protocol._attempt import Attempt, RequestClass
from foxtailcourse.protocol._fields import FieldError
from foxtailcourse.protocol._reply import LoadReport, Reply
from foxtailcourse.protocol._verdict import Verdict

__all__ = [
    "Attempt",
    "FieldError",
    "LoadReport",
    "Reply",
    "RequestClass",
    "Verdict",
    "headers",
]
