"""gRPC service ``foxtailcourse.Peer`` between processes, and its client."""

from foxtailcourse.control._client import PeerClient, PeerError
from foxtailcourse.control._server import PeerServer, PeerSource

__all__ = ["PeerClient", "PeerError", "PeerServer", "PeerSource"]
