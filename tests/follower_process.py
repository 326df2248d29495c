"""One follower as a process: reads settings as JSON, writes its state as lines."""

import json
import random
import sys
import time

import trio

from cluster import FAST, serve
from foxtailcourse.config import ConfigFollower, ConfigStore, PlatformSettings
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.settings import parse_address


def memory_kb():
    """Return the resident memory of this process in KB."""
    with open("/proc/self/status") as file:
        line = next(each for each in file if each.startswith("VmRSS"))
    return int(line.split()[1])


async def main(options):
    """Follow, and answer /status with the copy and the cost so far."""
    platform = parse_address(options["platform"])
    times = FAST if options.get("fast", True) else {}
    cfg = PlatformSettings(
        key_value=platform,
        vm_list=platform,
        control_listen=parse_address("127.0.0.1:0"),
        **(times | options.get("settings", {})),
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

    def count(records):
        nonlocal changes
        changes += len(records)

    store.subscribe(count)

    async def status(exchange):
        shares = {k: v.share for k, v in store.view.contracts.items()}
        value = {"config": follower.status(), "changes": changes}
        value |= {"cpu_s": time.process_time(), "memory_kb": memory_kb()}
        value["teatro"] = shares.get("teatro")
        await exchange.respond_json(200, value)

    async with trio.open_nursery() as nursery, serve(status) as admin:
        await nursery.start(follower.run)
        control = f"127.0.0.1:{follower.control_port}"
        print(json.dumps({"control": control, "admin": str(admin)}), flush=True)
        await trio.sleep_forever()


if __name__ == "__main__":
    trio.run(main, json.loads(sys.argv[1]))
