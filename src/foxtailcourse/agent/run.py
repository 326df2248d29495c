"""``foxtail-agent``: the program beside a backend server."""

import trio

from foxtailcourse.agent._agent import Agent
from foxtailcourse.agent._settings import AgentSettings
from foxtailcourse.config import ConfigStore
from foxtailcourse.process import AdminServer, Daemon, start_daemon


async def serve(daemon: Daemon, cfg: AgentSettings) -> None:
    """Serve until a planned stop has drained."""
    store = ConfigStore()
    agent = Agent(daemon.cfg.vm, cfg, daemon.events, daemon.metrics, store)
    admin = AdminServer(daemon.events, daemon.metrics, agent.readiness, agent.status)
    async with trio.open_nursery() as nursery:
        await nursery.start(admin.serve, daemon.cfg.admin_listen)
        port = await nursery.start(agent.run)
        daemon.events.emit("process_ready", port=port)
        await daemon.stopping.wait()
        agent.stop()
        await daemon.drain(agent.active)
        agent.server.drain()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run ``foxtail-agent``."""
    start_daemon("foxtail-agent", [AgentSettings], serve)


if __name__ == "__main__":
    main()
