import sys
import tempfile
from pathlib import Path

import pytest
import testtools
import trio
from testtools.matchers import Contains, Equals

sys.path.insert(0, str(Path(__file__).parent))

from evidence import Evidence, Sent, violations

from foxtailcourse.standin._backend_server import Run, stream_event
from soak import Soak

CI_SEED = 7
CI_SECONDS = 8.0


def run(request_id):
    return Run(request_id=request_id, target="/x", body=b"", headers={}, version=1)


def sent(request_id, kind="return", **changes):
    values = {"id": request_id, "kind": kind, "key": "k", "sent_at": 0.0}
    return Sent(**(values | changes))


class TestViolations(testtools.TestCase):
    """Shows that each check of the soak finds the fault that it is for."""

    def check(self, text, **evidence):
        seen = Evidence(**evidence)
        found = violations(seen)
        self.assertThat(len(found), Equals(1), found)
        self.assertThat(found[0], Contains(text))

    def test_second_run_of_a_request_that_must_not_be_repeated(self):
        self.check("ran 2 times", sent={"a": sent("a")}, runs=[run("a"), run("a")])

    def test_repeatable_request_may_run_twice(self):
        seen = Evidence(sent={"a": sent("a", "look")}, runs=[run("a"), run("a")])
        self.assertThat(violations(seen), Equals([]))

    def test_refused_request_that_ran(self):
        self.check("refused", sent={"a": sent("a", status=503)}, runs=[run("a")])

    def test_run_that_nobody_asked_for(self):
        self.check("no caller sent it", runs=[run("b")])

    def test_run_long_after_the_key_was_removed(self):
        late = sent("a", sent_at=10.0)
        self.check(
            "after its key", sent={"a": late}, runs=[run("a")], removed_keys={"k": 1.0}
        )

    def test_stream_that_looks_complete(self):
        body = stream_event("a", 1)
        short = sent("a", "brief", events=2, status=200, body=body, whole=True)
        self.check("looks complete", sent={"a": short})

    def test_stream_with_a_gap(self):
        body = stream_event("a", 1) + stream_event("a", 3)
        gap = sent("a", "brief", events=3, status=200, body=body)
        self.check("gap", sent={"a": gap})

    def test_foreign_answer(self):
        foreign = sent("a", status=200, body=b"b /x", whole=True)
        self.check("foreign", sent={"a": foreign})

    def test_older_fence_and_shared_fence(self):
        older = [
            ("s", {"fencingToken": 5, "holder": "e1"}),
            ("s", {"fencingToken": 4, "holder": "e2"}),
        ]
        self.check("fence 4 after 5", orders=older)
        shared = [
            ("s", {"fencingToken": 5, "holder": "e1"}),
            ("t", {"fencingToken": 5, "holder": "e2"}),
        ]
        self.check("fence 5 of", orders=shared)


class TestSoak(testtools.TestCase):
    """A short seeded run with real processes."""

    @pytest.mark.processes
    def test_promises_hold_under_a_seeded_plan(self):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(CI_SEED, CI_SECONDS, 2, Path(folder))
            found = trio.run(soak.run)
        self.assertThat(found, Equals([]))
        with_server = [s for s in soak.seen.sent.values() if s.status == 200]
        self.assertTrue(with_server)

    def test_plan_is_that_of_its_seed(self):
        folder = Path("unused")
        plans = [Soak(seed, 60, 3, folder).plan for seed in (1, 1, 2)]
        self.assertThat(plans[0], Equals(plans[1]))
        self.assertTrue(plans[0] != plans[2])
