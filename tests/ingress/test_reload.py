import signal

import testtools
from testtools.matchers import Equals

from foxtailcourse.ingress import run


class TestReloadAtStart(testtools.TestCase):
    """Guards a signal to reload that arrives before the entry watches for it."""

    def test_reload_signal_does_not_end_a_starting_entry(self):
        handlers = []
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))

        def run_daemon(*args, **options):
            handlers.append(signal.getsignal(signal.SIGHUP))

        self.patch(run, "run_daemon", run_daemon)
        run.main()
        self.assertThat(handlers, Equals([signal.SIG_IGN]))
