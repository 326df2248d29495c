"""``foxtail-agent``: the program beside a backend server."""

import random
from functools import partial
from typing import Any

import trio

from foxtailcourse.agent._agent import Agent
from foxtailcourse.agent._settings import AgentSettings
from foxtailcourse.config import ConfigFollower, ConfigStore, PlatformSettings
from foxtailcourse.process import AdminServer, Daemon, start_daemon
from foxtailcourse.rollout import RolloutSettings


async def serve(
    daemon: Daemon,
    cfg: AgentSettings,
    platform_cfg: PlatformSettings,
    rollout_cfg: RolloutSettings,
) -> None:
    """Serve until a planned stop has drained."""
    store = ConfigStore()
    follower = ConfigFollower(
        platform_cfg,
        store,
        vm=daemon.cfg.vm,
        failure_domain=daemon.cfg.failure_domain,
        events=daemon.events,
        metrics=daemon.metrics,
    )
    agent = Agent(
        daemon.cfg.vm,
        cfg,
        daemon.events,
        daemon.metrics,
        store,
        configured=lambda: follower.ready,
    )
    agent.context.saw_revision = partial(_pull_newer, follower)

    def status() -> dict[str, Any]:
        return agent.status() | {"config": follower.status()}

    admin = AdminServer(daemon.events, daemon.metrics, agent.readiness, status)
    async with trio.open_nursery() as nursery:
        await nursery.start(admin.serve, daemon.cfg.admin_listen)
        await nursery.start(follower.run)
        port = await nursery.start(agent.run)
        nursery.start_soon(_announce, daemon, follower, port)
        rollout = agent.make_rollout(rollout_cfg, follower.key_value)
        if rollout is not None:
            nursery.start_soon(rollout.run)
        await daemon.stopping.wait()
        agent.stop()
        await daemon.drain(agent.active)
        agent.server.drain()
        nursery.cancel_scope.cancel()


def _pull_newer(follower: ConfigFollower, revision: int) -> None:
    """Pull from an entry, since an entry's request carried a newer revision."""
    entries = follower.store.view.entries()
    if revision > follower.store.revision and entries:
        follower.saw_revision(revision, random.choice(entries).vm)


async def _announce(daemon: Daemon, follower: ConfigFollower, port: int) -> None:
    daemon.events.emit("agent_listening", port=port)
    await follower.wait_ready()
    daemon.events.emit("process_ready", port=port)


def main() -> None:
    """Run ``foxtail-agent``."""
    start_daemon(
        "foxtail-agent", [AgentSettings, PlatformSettings, RolloutSettings], serve
    )


if __name__ == "__main__":
    main()
