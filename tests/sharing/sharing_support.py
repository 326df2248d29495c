"""Requests, workloads and a reference model for the sharing tests."""

import itertools
from collections import defaultdict

from foxtailcourse.emulator.sharing.backend_server import BackendSimulation
from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing import FairQueue, QueuedRequest, QueueLimits, ServiceRates

SHORT, LONG = RequestClass.SHORT, RequestClass.LONG
NO_DEADLINE = 1e9
_ids = itertools.count()


def request(
    account, kind=SHORT, uncached=400, expected=20, share=1.0, deadline=NO_DEADLINE
):
    return QueuedRequest(
        attempt_id=f"r{next(_ids)}",
        client_account=account,
        share=share,
        request_class=kind,
        uncached_tokens=uncached,
        expected_tokens=expected,
        deadline=deadline,
    )


def fixed_queue(**limits):
    return FairQueue(QueueLimits(**limits), ServiceRates(learn=False))


def cost_s(req):
    return ServiceRates().cost_s(req.uncached_tokens, req.expected_tokens)


def repeat_request(req, now):
    return request(
        req.client_account,
        req.request_class,
        req.uncached_tokens,
        req.expected_tokens,
        req.share,
    )


def backlog(account, kind, count, share=1.0, at=0.0):
    """Return requests that keep an account busy in a closed loop."""
    size = (400, 20) if kind is SHORT else (4_000, 200)
    return [(at, request(account, kind, *size, share=share)) for _ in range(count)]


def run(queue, arrivals, until, next_request=repeat_request):
    return BackendSimulation(queue, cost_s, next_request).run(arrivals, until)


def service_s(outcomes, start, end, account=None, kind=None):
    """Return the slot seconds used between two times, by account or class."""
    total = 0.0
    for each in outcomes:
        wanted = account in (None, each.request.client_account)
        wanted = wanted and kind in (None, each.request.request_class)
        if wanted and each.started is not None:
            ended = each.ended if each.ended is not None else end
            total += max(0.0, min(end, ended) - max(start, each.started))
    return total


class NaiveFair:
    """Reference model of start-time fair queueing with linear scans.

    It has no guaranteed minimum for long requests and no share meter.
    """

    def __init__(self):
        self.waiting = []
        self.running = {}
        self.virtual = {SHORT: 0.0, LONG: 0.0}
        self.tags = {SHORT: defaultdict(float), LONG: defaultdict(float)}

    def offer(self, req):
        kind, account = req.request_class, req.client_account
        tags = self.tags[kind]
        if not self.waiting_requests(kind, account):
            tags[account] = max(tags[account], self.virtual[kind])
        self.waiting.append(req)

    def waiting_requests(self, kind, account=None):
        return [
            each
            for each in self.waiting
            if each.request_class is kind and account in (None, each.client_account)
        ]

    def next_waiting(self, kind):
        return min(
            self.waiting_requests(kind), key=lambda r: self.tags[kind][r.client_account]
        )

    def start(self, req):
        kind, account = req.request_class, req.client_account
        tag = self.tags[kind][account]
        self.virtual[kind] = max(self.virtual[kind], tag)
        self.tags[kind][account] = tag + cost_s(req) / req.share
        self.waiting.remove(req)
        self.running[req.attempt_id] = req
        if kind is SHORT and self.waiting_requests(LONG):
            self.charge(LONG, req, cost_s(req))

    def charge(self, kind, req, cost):
        tags, account = self.tags[kind], req.client_account
        tag = max(tags[account], self.virtual[kind]) + cost / req.share
        tags[account] = max(self.virtual[kind], tag)

    def finish(self, attempt_id, generated):
        req = self.running.pop(attempt_id)
        real = ServiceRates().cost_s(req.uncached_tokens, generated)
        difference = real - cost_s(req)
        self.charge(req.request_class, req, difference)
        if req.request_class is SHORT and self.waiting_requests(LONG):
            self.charge(LONG, req, difference)
        if not self.running and not self.waiting:
            for tags in self.tags.values():
                tags.clear()
