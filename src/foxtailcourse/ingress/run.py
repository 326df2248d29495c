"""Entry point of the program ``foxtail-ingress``."""

import signal

from foxtailcourse.ingress._app import serve
from foxtailcourse.ingress._clock import CatchUpClock
from foxtailcourse.ingress._settings import IngressSettings
from foxtailcourse.process import run_daemon

SECTIONS = (IngressSettings,)


def main() -> None:
    """Run the program."""
    # Until the entry watches for the signal, and after a stop, it would end it.
    # A missed reload is made up for by the periodic one.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    clock = CatchUpClock()
    run_daemon("foxtail-ingress", SECTIONS, serve, clock=clock, instruments=[clock])


if __name__ == "__main__":
    main()
