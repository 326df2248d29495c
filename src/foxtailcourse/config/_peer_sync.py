"""Synchronisation of the configuration copies of different processes."""

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

# Gets the sender's VM and payload; returns this process's payload.
TopicHandler = Callable[[str, bytes], bytes]


def record_to_message(record: Record) -> RecordMessage:
    """Return the wire form of a record."""
    return RecordMessage(
        key=record.key, value=record.encode(), mod_revision=record.mod_revision
    )


class PeerSync:
    """Serves a ConfigStore to peers and merges the records of peers into it.

    Implements :class:`foxtailcourse.control.PeerServicer`.

    Parameters
    ----------
    store : ConfigStore
        The copy of this process.
    sender : callable
        Returns the Sender that messages of this process carry.
    merge : callable
        Merges records into the store.
    events : EventLog
        Log of malformed records; its clock orders the messages.

    Attributes
    ----------
    topic_handlers : dict of str to callable
        Handlers of ``Exchange`` summaries, by topic.
    on_sender : callable
        Called with the Sender of each message that is received.
    on_digest_mismatch : callable
        Called with the VM of a new follower that is ready and whose records differ.
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
        self.topic_handlers: dict[str, TopicHandler] = {}
        self.on_sender: Callable[[Sender], None] = lambda sender: None
        self.on_digest_mismatch: Callable[[str], None] = lambda vm: None

    # The PeerServicer of this process

    def snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Return one page of the stored records."""
        self._receive_sender(request.sender)
        if request.keys:
            stored = [self._store.get(key) for key in request.keys]
            chosen = tuple(
                record_to_message(record) for record in stored if record is not None
            )
            return SnapshotReply(sender=self._sender(), records=chosen)
        differing = self._store.differing_buckets(request.digests)
        buckets = [bucket for bucket in differing if bucket >= request.first_bucket]
        records, next_bucket = self._read_page(buckets)
        return SnapshotReply(
            sender=self._sender(), records=records, next_bucket=next_bucket
        )

    def follow(self, request: FollowRequest) -> Iterator[FollowEvent]:
        """Yield the records that a new follower lacks."""
        self._receive_sender(request.sender)
        differing = self._store.differing_buckets(request.digests)
        if differing and request.sender.ready:
            # The follower may have records that this process lost in a restart.
            self.on_digest_mismatch(request.sender.vm)
        next_bucket = 0
        while next_bucket < DIGEST_BUCKETS:
            records, next_bucket = self._read_page(
                [bucket for bucket in differing if bucket >= next_bucket]
            )
            yield FollowEvent(
                sender=self._sender(),
                records=records,
                synced=next_bucket == DIGEST_BUCKETS,
            )

    def heartbeat(self) -> FollowEvent:
        """Return an event without records."""
        return FollowEvent(sender=self._sender())

    def exchange(self, request: ExchangeMessage) -> ExchangeMessage:
        """Pass each summary to the handler of its topic and return the replies."""
        self._receive_sender(request.sender)
        replies = {
            topic: self.topic_handlers[topic](request.sender.vm, payload)
            for topic, payload in request.topics.items()
            if topic in self.topic_handlers
        }
        return ExchangeMessage(sender=self._sender(), topics=replies)

    def _read_page(self, buckets: list[int]) -> tuple[tuple[RecordMessage, ...], int]:
        """Return the records of one page and the bucket where the next page begins.

        A page ends with the bucket that makes it larger than SNAPSHOT_PAGE_BYTES. The
        next bucket after the last page is DIGEST_BUCKETS.
        """
        records: list[RecordMessage] = []
        size_bytes = 0
        for bucket in buckets:
            if size_bytes > SNAPSHOT_PAGE_BYTES:
                return tuple(records), bucket
            added = [
                record_to_message(record)
                for record in self._store.records_in_bucket(bucket)
            ]
            size_bytes += sum(len(message.value) for message in added)
            records += added
        return tuple(records), DIGEST_BUCKETS

    # Calls to peers

    async def pull(self, client: PeerClient) -> Sender:
        """Merge the records that a peer has and this process lacks.

        Returns the sender of the last reply; raises PeerError if a call fails.
        """
        digests, next_bucket = self._store.digests, 0
        while True:
            request = SnapshotRequest(
                sender=self._sender(), digests=digests, first_bucket=next_bucket
            )
            reply = await client.snapshot(request)
            self._receive_sender(reply.sender)
            self.merge_messages(reply.records)
            if reply.next_bucket <= next_bucket:
                raise PeerError("peer sent a page that does not advance")
            next_bucket = reply.next_bucket
            if next_bucket >= DIGEST_BUCKETS:
                return reply.sender

    async def follow_peer(
        self,
        address: Address,
        timeout_s: float,
        idle_s: float,
        on_event: Callable[[FollowEvent], None],
    ) -> None:
        """Merge the changes of a peer until the stream fails.

        Parameters
        ----------
        address : Address
            Control address of the peer.
        timeout_s : float
            Longest wait for a reply to a unary call, in seconds.
        idle_s : float
            Longest time without an event; see :meth:`PeerClient.follow`.
        on_event : callable
            Called after each merge; a PeerError that it raises ends the stream.

        Raises
        ------
        PeerError
            When the stream fails; the method does not return otherwise.
        """

        def merge_event(event: FollowEvent) -> None:
            self._receive_sender(event.sender)
            self.merge_messages(event.records)
            on_event(event)

        request = FollowRequest(sender=self._sender(), digests=self._store.digests)
        await PeerClient(address, timeout_s).follow(request, idle_s, merge_event)

    def merge_messages(self, messages: Iterable[RecordMessage]) -> None:
        """Merge a peer's records; malformed ones are logged and skipped."""
        records = []
        for message in messages:
            try:
                records.append(
                    decode_record(message.key, message.value, message.mod_revision)
                )
            except RecordError as exc:
                self._events.emit("record_malformed", key=message.key, error=exc)
        self._merge(records)

    def _receive_sender(self, sender: Sender) -> None:
        """Advance the clock and report the sender of a message."""
        self._events.clock.receive(sender.clock)
        self.on_sender(sender)
