"""Where the entry gets its configuration."""

from typing import Any, Protocol

from foxtailcourse.config import ConfigStore
from foxtailcourse.platform import KeyValueStore


class ConfigSource(Protocol):
    """Where the entry gets its configuration; a ConfigFollower."""

    store: ConfigStore

    @property
    def key_value(self) -> KeyValueStore:
        """The platform's key-value service."""

    @property
    def ready(self) -> bool:
        """Whether a configuration is held."""

    def saw_revision(self, revision: int, vm: str) -> None:
        """Take note of the revision in a message of another process."""

    def status(self) -> dict[str, Any]:
        """Return what ``/status`` shows of the configuration."""
