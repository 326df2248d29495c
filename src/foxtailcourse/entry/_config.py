"""Where the entry gets its configuration."""

from typing import Protocol

from foxtailcourse.config import ConfigStore
from foxtailcourse.platform import KeyValueStore


class ConfigSource(Protocol):
    """Where the entry gets its configuration; a ConfigFollower."""

    store: ConfigStore
    key_value: KeyValueStore

    @property
    def ready(self) -> bool:
        """Whether a configuration is held."""

    def saw_revision(self, revision: int, vm: str) -> None:
        """Take note of the revision in a message of another process."""
