"""Former name of ``foxtailcourse.crashes``."""

from foxtailcourse.crashes import *  # noqa: F403
