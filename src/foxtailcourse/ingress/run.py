"""Entry point of the program ``foxtail-ingress``."""

from foxtailcourse.ingress._app import serve
from foxtailcourse.ingress._clock import CatchUpClock
from foxtailcourse.ingress._settings import IngressSettings
from foxtailcourse.process import run_daemon

SECTIONS = (IngressSettings,)


def main() -> None:
    """Run the program."""
    clock = CatchUpClock()
    run_daemon("foxtail-ingress", SECTIONS, serve, clock=clock, instruments=[clock])


if __name__ == "__main__":
    main()
