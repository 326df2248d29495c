"""Keeps an entry that starts from using a configuration older than the others'.

A store that was restored from a copy shows an older configuration until the operators
write the newest one again. Entries that ran before keep theirs; one that starts cannot
know that it reads an older one, so it asks them. Those that it cannot reach state the
version in their registrations, which they write again in a restored store.
"""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._peer_messages import (
    MAX_VERSION,
    ConfigurationNotice,
    ConfigurationQuery,
    Message,
)
from foxtailcourse.ingress._peers import PeerDirectory
from foxtailcourse.ingress._store_watcher import StoreState
from foxtailcourse.observe import EventLog

# An entry that starts waits so long for the answers of the others, and asks again in
# this period, since datagrams are lost.
ANSWER_WAIT_S = 0.15
QUERY_PERIOD_S = 0.05
# Era of a store that was never restored.
FIRST_ERA = 1
# Entries that keep a configuration which the store lacks tell the others this often.
NOTICE_PERIOD_S = 0.2


@attrs.define
class ConfigurationExchange:
    """Asks for and tells the version of the configuration that entries use.

    Parameters
    ----------
    vm : str
        Name of this VM.
    view : FleetView
        Receives the newest version that another entry uses, and whether the entry has
        asked.
    state : StoreState
        Which state of the store was read.
    peers : PeerDirectory
        The registered entries.
    send : coroutine function
        Sends a message to entries.
    reply : coroutine function
        Sends a message to the address of a sender, which need not be registered.
    events : EventLog
        Receives an event when another entry uses a newer configuration.
    registration_wait_s : float
        Time in seconds in which the entries that ran before are registered again in a
        restored store, and this entry has read it.
    """

    vm: str
    view: FleetView
    state: StoreState
    peers: PeerDirectory
    send: Callable[[Message, Iterable[str]], Awaitable[None]]
    reply: Callable[[Message, tuple[str, int]], Awaitable[None]]
    events: EventLog
    registration_wait_s: float
    _answered: set[str] = attrs.field(factory=set, init=False)

    def handle(self, message: ConfigurationNotice, sender: str) -> None:
        """Record the version that another entry uses."""
        if not 0 <= message.version <= MAX_VERSION:
            self.events.emit(
                "configuration_notice_refused",
                version=message.version,
                by_entry=sender,
            )
            return
        self._answered.add(sender)
        self._record_in_use(message.version, sender)

    def _record_in_use(self, version: int, by_entry: str) -> None:
        if version > self.view.newest_version_in_use:
            self.view.newest_version_in_use = version
            if self.view.configuration_outdated:
                self.events.emit(
                    "configuration_outdated", version=version, by_entry=by_entry
                )

    def _read_registrations(self) -> None:
        """Record the versions that entries stated as they registered.

        They cannot be newer than the configuration of a store that was never restored.
        """
        if self.state.era <= FIRST_ERA:
            return
        for vm in self.peers:
            peer = self.peers.get(vm)
            if peer is not None:
                self._record_in_use(peer.configuration_version, vm)

    async def answer(self, address: tuple[str, int]) -> None:
        """Tell the sender of a query which version this entry uses."""
        notice = self._notice()
        if notice is not None and self.view.configuration_checked:
            await self.reply(notice, address)

    def _notice(self) -> ConfigurationNotice | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        return ConfigurationNotice(configuration.version)

    async def run(self) -> None:
        """Ask once, then tell the others of a configuration that the store lacks."""
        await self.state.first_read.wait()
        with trio.move_on_after(ANSWER_WAIT_S):
            await self._ask()
        if self.state.era > FIRST_ERA and (self._missing() or not self._answered):
            # The copy may lack the registrations of the entries that can tell, or have
            # older ones of entries that do not answer.
            with trio.move_on_after(self.registration_wait_s):
                await self._ask_until_answered()
        self._read_registrations()
        self.view.configuration_checked = True
        while True:
            await trio.sleep(NOTICE_PERIOD_S)
            self._read_registrations()
            notice = self._notice()
            if notice is not None and self.view.configuration_era < self.state.era:
                await self.send(notice, self.peers)

    def _missing(self) -> set[str]:
        """Return the registered entries that have not answered."""
        return set(self.peers) - self._answered - {self.vm}

    async def _ask(self) -> None:
        """Ask until all others have answered."""
        while missing := self._missing():
            await self.send(ConfigurationQuery(), missing)
            await trio.sleep(QUERY_PERIOD_S)

    async def _ask_until_answered(self) -> None:
        """Ask the others until those that are known at the time have answered."""
        while self._missing() or not self._answered:
            await self.send(ConfigurationQuery(), set(self.peers) - {self.vm})
            await trio.sleep(QUERY_PERIOD_S)
