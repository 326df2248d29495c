"""Binds a stream that its caller takes up again to what began it."""

from collections.abc import Callable, Collection

import attrs

from foxtailcourse.fleet import FleetView, RouteKind
from foxtailcourse.ingress._job import Job, RefusedError
from foxtailcourse.ingress._origin_exchange import OriginExchange
from foxtailcourse.ingress._origin_records import OriginRecorder
from foxtailcourse.ingress._software_records import SoftwareRecords
from foxtailcourse.ingress._stream_origins import StreamOrigin
from foxtailcourse.ingress._stream_reader import StreamReader
from foxtailcourse.observe import EventLog, Metrics

# Another entry may know a stream that this one does not.
UNKNOWN_STREAM_RETRY_AFTER_S = 0.3
OTHER_SERVICE_RETRY_AFTER_S = 0.5


@attrs.define(kw_only=True)
class StreamResumption:
    """Finds the software version at which a caller's stream goes on.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    software : SoftwareRecords
        Knows software versions of the service, for the log and for a conclusion.
    exchange : OriginExchange
        Knows the origins of streams, or asks other entries for them.
    recorder : OriginRecorder
        Writes the other origins to the store.
    reader : StreamReader
        Reads them from the store, with the software versions that it knows.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each search.
    metrics : Metrics
        Counts the searches.
    """

    view: FleetView
    software: SoftwareRecords
    exchange: OriginExchange
    recorder: OriginRecorder
    reader: StreamReader
    clock: Callable[[], float]
    events: EventLog
    metrics: Metrics

    async def bind(self, job: Job) -> None:
        """Set service and software version of a job that resumes a stream.

        Raises
        ------
        RefusedError
            If it is not known what began the stream, or the route no longer uses that
            service.
        """
        route, request = job.route, job.request
        if (
            route.kind is not RouteKind.STREAM
            or not route.resumable
            or not request.last_event_id
        ):
            return
        started = self.clock()
        lookup = await self.exchange.find(request.resumes)
        origin, source = lookup.origin, "entry" if lookup.asked else "own"
        services = {each.service for each in route.backends}
        if origin is None:
            origin, source = await self._find_stored(request.resumes, services)
        if origin is not None:
            self.exchange.remember(request.resumes, origin)
            self.recorder.add(request.resumes, origin, self.clock())
        self._record(job, origin, source, lookup.asked, self.clock() - started)
        if origin is None:
            raise RefusedError("unknown_stream", UNKNOWN_STREAM_RETRY_AFTER_S)
        if origin.service not in services:
            raise RefusedError("other_software", OTHER_SERVICE_RETRY_AFTER_S)
        job.service, job.software_version = origin.service, origin.software_version

    def record_begun(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream whose first event is about to be forwarded."""
        self.exchange.publish(request_id, origin)
        self.recorder.add(request_id, origin, self.clock())

    def record_complete(self, job: Job) -> None:
        """Record that a caller has a whole response; it takes up no stream of it."""
        self.recorder.discard(job.request.resumes or job.request.id)

    async def _find_stored(
        self, request_id: str, services: Collection[str]
    ) -> tuple[StreamOrigin | None, str]:
        """Return the origin of a stream as the store has it now, and its source.

        A stream whose origin is not recorded was begun by the only version of the only
        service of its route, if there was one only for the lifetime of a stream.
        """
        stored = await self.reader.read()
        if stored is None:
            return None, ""
        origin = stored.origin(request_id)
        if origin is not None:
            return origin, "store"
        if len(services) > 1:
            return None, ""
        (service,) = services
        if self.software.shares_route(service, self.clock()):
            return None, ""
        version = stored.only_version(service)
        if version is None or not self.software.has_seen_only(
            service, version, self.clock()
        ):
            return None, ""
        return StreamOrigin(service, version), "only_version"

    def _record(
        self,
        job: Job,
        origin: StreamOrigin | None,
        source: str,
        asked: int,
        waited_s: float,
    ) -> None:
        """Log and count a search."""
        found = origin is not None
        self.metrics.count(
            "foxtail_ingress_stream_origins_total", source=source if found else "none"
        )
        self.events.emit(
            "stream_origin_found" if found else "stream_origin_unknown",
            request_id=job.request.id,
            resumes=job.request.resumes or None,
            service=origin.service if origin else None,
            software=origin.software_version if origin else None,
            source=source if found else None,
            waited_ms=int(waited_s * 1000),
            asked=asked,
            **self._known_versions(job.service),
        )

    def _known_versions(self, service: str) -> dict[str, object]:
        """Return for the log what a conclusion on the service is drawn from."""
        now = self.clock()
        age_s = self.view.servers_freshness.age_s(now)
        return {
            "servers_age_ms": -1 if age_s == float("inf") else int(age_s * 1000),
            "versions": ",".join(sorted(self.software.versions(service, now))),
            "is_confirmed": self.software.is_confirmed(service),
        }
