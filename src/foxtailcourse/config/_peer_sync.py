"""Configuration copies exchanged with other processes."""

from collections.abc import Callable, Iterable, Iterator

from foxtailcourse.config._records import Record, RecordError, decode_record
from foxtailcourse.config._store import ConfigStore
from foxtailcourse.control import PeerClient, PeerError
from foxtailcourse.observe import EventLog
from foxtailcourse.protocol import (
    ExchangeMessage,
    FollowEvent,
    FollowRequest,
    RecordMessage,
    Sender,
    SnapshotReply,
    SnapshotRequest,
)
from foxtailcourse.protocol._peer_messages import DIGEST_BUCKETS, SNAPSHOT_PAGE_BYTES
from foxtailcourse.settings import Address

TopicHandler = Callable[[str, bytes], bytes]


def record_to_message(record: Record) -> RecordMessage:
    """Return the wire form of a record."""
    return RecordMessage(
        key=record.key, value=record.encode(), mod_revision=record.mod_revision
    )


class PeerSync:
    """Answers peers from a ConfigStore and takes over what they hold.

    Parameters
    ----------
    store : ConfigStore
        The copy of this process.
    sender : callable
        Returns what messages say about this process.
    merge : callable
        Merges records into the store.
    events : EventLog
        Its clock orders the messages.
    """

    def __init__(
        self,
        store: ConfigStore,
        sender: Callable[[], Sender],
        merge: Callable[[Iterable[Record]], None],
        events: EventLog,
    ) -> None:
        self._store = store
        self._sender = sender
        self._merge = merge
        self._events = events
        self.topics: dict[str, TopicHandler] = {}
        self.on_sender: Callable[[Sender], None] = lambda sender: None
        self.on_difference: Callable[[str], None] = lambda vm: None

    # The PeerServicer of this process

    def snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Return one page of the held records."""
        self._note(request.sender)
        if request.keys:
            held = [self._store.get(key) for key in request.keys]
            chosen = tuple(record_to_message(each) for each in held if each is not None)
            return SnapshotReply(sender=self._sender(), records=chosen)
        differing = self._store.differing(request.digests)
        wanted = [each for each in differing if each >= request.first_bucket]
        records, following = self._page(wanted)
        return SnapshotReply(
            sender=self._sender(), records=records, next_bucket=following
        )

    def follow(self, request: FollowRequest) -> Iterator[FollowEvent]:
        """Yield the records that a new follower lacks."""
        self._note(request.sender)
        wanted = self._store.differing(request.digests)
        if wanted and request.sender.ready:
            # The follower may hold records that a restarted watcher has lost.
            self.on_difference(request.sender.vm)
        following = 0
        while following < DIGEST_BUCKETS:
            records, following = self._page([b for b in wanted if b >= following])
            yield FollowEvent(
                sender=self._sender(),
                records=records,
                synced=following == DIGEST_BUCKETS,
            )

    def heartbeat(self) -> FollowEvent:
        """Return an event without records."""
        return FollowEvent(sender=self._sender())

    def exchange(self, request: ExchangeMessage) -> ExchangeMessage:
        """Pass summaries to the handlers of their topics."""
        self._note(request.sender)
        answers = {
            topic: self.topics[topic](request.sender.vm, payload)
            for topic, payload in request.topics.items()
            if topic in self.topics
        }
        return ExchangeMessage(sender=self._sender(), topics=answers)

    def _page(self, wanted: list[int]) -> tuple[tuple[RecordMessage, ...], int]:
        """Return records from the first buckets and the number of the next one."""
        records: list[RecordMessage] = []
        size = 0
        for number in wanted:
            if size > SNAPSHOT_PAGE_BYTES:
                return tuple(records), number
            page = [record_to_message(each) for each in self._store.bucket(number)]
            size += sum(len(each.value) for each in page)
            records += page
        return tuple(records), DIGEST_BUCKETS

    # Calls to peers

    async def pull(self, client: PeerClient) -> Sender:
        """Take over what a peer holds that this process lacks; raises PeerError."""
        digests, following = self._store.digests, 0
        while True:
            request = SnapshotRequest(
                sender=self._sender(), digests=digests, first_bucket=following
            )
            reply = await client.snapshot(request)
            self._note(reply.sender)
            self.take(reply.records)
            if reply.next_bucket <= following:
                raise PeerError("the peer's pages do not advance")
            following = reply.next_bucket
            if following >= DIGEST_BUCKETS:
                return reply.sender

    async def follow_peer(
        self,
        address: Address,
        timeout_s: float,
        idle_s: float,
        on_event: Callable[[FollowEvent], None],
    ) -> None:
        """Take over the changes of a peer until the stream fails; raises PeerError."""

        def take(event: FollowEvent) -> None:
            self._note(event.sender)
            self.take(event.records)
            on_event(event)

        request = FollowRequest(sender=self._sender(), digests=self._store.digests)
        await PeerClient(address, timeout_s).follow(request, idle_s, take)

    def take(self, messages: Iterable[RecordMessage]) -> None:
        """Merge a peer's records; malformed ones are logged and left out."""
        records = []
        for each in messages:
            try:
                records.append(decode_record(each.key, each.value, each.mod_revision))
            except RecordError as exc:
                self._events.emit("record_malformed", key=each.key, error=exc)
        self._merge(records)

    def _note(self, sender: Sender) -> None:
        self._events.clock.receive(sender.clock)
        self.on_sender(sender)
