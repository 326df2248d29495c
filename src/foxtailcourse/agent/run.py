"""``foxtail-agent``: the program beside a backend server."""

import trio

from foxtailcourse.agent._agent import Agent
from foxtailcourse.agent._settings import AgentSettings
from foxtailcourse.config import ConfigFollower, ConfigStore, PlatformSettings
from foxtailcourse.process import AdminServer, Daemon, start_daemon


async def serve(
    daemon: Daemon, cfg: AgentSettings, platform_cfg: PlatformSettings
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
    admin = AdminServer(daemon.events, daemon.metrics, agent.readiness, agent.status)
    async with trio.open_nursery() as nursery:
        await nursery.start(admin.serve, daemon.cfg.admin_listen)
        await nursery.start(follower.run)
        port = await nursery.start(agent.run)
        nursery.start_soon(_announce, daemon, follower, port)
        await daemon.stopping.wait()
        agent.stop()
        await daemon.drain(agent.active)
        agent.server.drain()
        nursery.cancel_scope.cancel()


async def _announce(daemon: Daemon, follower: ConfigFollower, port: int) -> None:
    daemon.events.emit("agent_listening", port=port)
    await follower.wait_ready()
    daemon.events.emit("process_ready", port=port)


def main() -> None:
    """Run ``foxtail-agent``."""
    start_daemon("foxtail-agent", [AgentSettings, PlatformSettings], serve)


if __name__ == "__main__":
    main()
