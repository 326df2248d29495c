"""Entry point of ``foxtail-entry``."""

from foxtailcourse.config import PlatformSettings
from foxtailcourse.entry._app import serve
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.process import start_daemon
from foxtailcourse.routing import PlacementSettings


def main() -> None:
    """Run the program."""
    sections = (EntrySettings, PlacementSettings, PlatformSettings)
    start_daemon("foxtail-entry", sections, serve)


if __name__ == "__main__":
    main()
