"""Builder of entries' exchanges for tests without whole entries."""

import time

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._peer_exchange import PeerExchange
from foxtailcourse.ingress._peers import Peer
from foxtailcourse.ingress._server_loads import ServerLoads
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.settings import Address
from support import make_supervisor

LOCAL = Address("127.0.0.1", 0)


async def start_exchange(nursery, peers, number, view=None, **registration):
    """Start the exchange of an entry and register it; return the exchange."""
    exchange = PeerExchange(
        f"e{number}",
        LOCAL,
        ServerLoads(),
        view or FleetView(),
        peers,
        boot_seconds,
        EventLog("x", HybridClock(time.time)),
        Metrics(),
        make_supervisor(boot_seconds),
    )
    await exchange.bind()
    peers.add(exchange.vm, Peer(address=exchange.address, **registration))
    nursery.start_soon(exchange.run)
    return exchange
