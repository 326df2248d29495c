"""Process that only follows the configuration, for tests and measurements.

Its argument is a JSON object with ``platform`` (address), ``vm``, ``failure_domain``
and ``settings`` (of the section [platform]). It prints one JSON line with its
addresses ``control`` and ``admin``.
"""

import json
import random
import sys
import time

import trio

from foxtailcourse.config import ConfigFollower, ConfigStore, PlatformSettings
from foxtailcourse.http import HttpLimits, HttpServer
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.settings import parse_address


def memory_kb():
    """Return the resident memory of this process in KiB."""
    with open("/proc/self/status") as file:
        line = next(each for each in file if each.startswith("VmRSS"))
    return int(line.split()[1])


async def main(options):
    """Follow the configuration, and serve its state, CPU time and memory at /status."""
    platform = parse_address(options["platform"])
    cfg = PlatformSettings(
        key_value=platform,
        vm_list=platform,
        control_listen=parse_address("127.0.0.1:0"),
        **options["settings"],
    )
    store = ConfigStore()
    follower = ConfigFollower(
        cfg,
        store,
        vm=options["vm"],
        failure_domain=options["failure_domain"],
        events=EventLog(options["vm"], HybridClock(time.time)),
        metrics=Metrics(),
        rng=random.Random(options["vm"]),
    )
    changes = 0

    def count_changes(records):
        nonlocal changes
        changes += len(records)

    store.subscribe(count_changes)

    async def respond_status(exchange):
        shares = {k: v.share for k, v in store.view.contracts.items()}
        body = {"config": follower.status(), "changes": changes}
        body |= {"cpu_s": time.process_time(), "memory_kb": memory_kb()}
        # The share that the tests and measurements change and wait for.
        body["teatro"] = shares.get("teatro")
        await exchange.respond_json(200, body)

    server = HttpServer(respond_status, HttpLimits(), lambda exchange, exc: None)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, listeners)
        await nursery.start(follower.run)
        port = listeners[0].socket.getsockname()[1]
        control = f"127.0.0.1:{follower.control_port}"
        line = {"control": control, "admin": f"127.0.0.1:{port}"}
        print(json.dumps(line), flush=True)
        await trio.sleep_forever()


if __name__ == "__main__":
    trio.run(main, json.loads(sys.argv[1]))
