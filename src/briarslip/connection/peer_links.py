"""The peer links of a daemon: one to each peer that it sends to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import ServerFactory

from briarslip.connection.frame import ControlFrame
from briarslip.connection.peer_link import PeerLink
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.internet.interfaces import IAddress
    from twisted.internet.interfaces import IConnector
    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.address import Address
    from briarslip.connection.frame import Hello
    from briarslip.connection.frame import Topic
    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink


CONNECT_TIMEOUT_SECONDS = 1.0


class PeerLinks:
    """Opens links on demand and keeps one for each peer."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        hello: Hello,
        dispatch: Dispatch,
        on_control: Callable[[Address, ControlFrame], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.hello = hello
        self.dispatch = dispatch
        self.on_control = on_control
        self.links: dict[Address, PeerLink] = {}
        self.waiting: dict[Address, list[Callable[[PeerLink | None], None]]] = {}

    def server_factory(self) -> ServerFactory:
        """Return the factory for links that peers open."""
        return ServingFactory(self)

    def dispatch_to(
        self, peer: Address, call: Call, sink: ResponseSink
    ) -> Callable[[], None]:
        """Send a call to a peer, connecting first if need be."""
        link = self.links.get(peer)
        if link is not None:
            return link.open_stream(call, sink)
        pending = PendingStream(call, sink)
        self._when_connected(peer, pending.connected)
        return pending.cancel

    def send_control(self, peer: Address, topic: Topic, payload: bytes) -> None:
        """Send a control message, dropped if the peer can't be reached."""
        frame = ControlFrame(topic, payload)
        link = self.links.get(peer)
        if link is not None:
            link.send(frame)
            return

        def send(link: PeerLink | None) -> None:
            if link is not None:
                link.send(frame)

        self._when_connected(peer, send)

    def close(self) -> None:
        """Close every link after what is written."""
        for link in list(self.links.values()):
            link.transport.loseConnection()

    def build(self, on_made: Callable[[PeerLink], None] | None = None) -> PeerLink:
        """Return one end of a link that is not connected yet."""
        return PeerLink(
            self.clock, self.dispatch, self.on_control, self._forget, on_made
        )

    def _when_connected(
        self, peer: Address, then: Callable[[PeerLink | None], None]
    ) -> None:
        waiting = self.waiting.get(peer)
        if waiting is not None:
            waiting.append(then)
            return
        self.waiting[peer] = [then]
        factory = LinkFactory(self, peer)
        self.reactor.connectTCP(
            peer.host, peer.port, factory, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def connected(self, peer: Address, link: PeerLink) -> None:
        """Take a new link into use."""
        self.links[peer] = link
        for then in self.waiting.pop(peer, ()):
            then(link)

    def connect_failed(self, peer: Address) -> None:
        """Tell those that wait that there is no link."""
        for then in self.waiting.pop(peer, ()):
            then(None)

    def _forget(self, link: PeerLink) -> None:
        for peer, known in list(self.links.items()):
            if known is link:
                del self.links[peer]


class ServingFactory(ServerFactory):
    """Builds the ends of links that peers open."""

    noisy = False

    def __init__(self, links: PeerLinks) -> None:
        self.links = links

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Build the link's end."""
        return self.links.build()


class LinkFactory(ClientFactory):
    """Opens one link to one peer."""

    noisy = False

    def __init__(self, links: PeerLinks, peer: Address) -> None:
        self.links = links
        self.peer = peer

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Build the link; it is in use from its connection on."""
        link = self.links.build(self._made)
        link.peer = self.peer
        return link

    def _made(self, link: PeerLink) -> None:
        link.send(self.links.hello)
        self.links.connected(self.peer, link)

    def clientConnectionFailed(
        self, connector: IConnector, reason: TwistedFailure
    ) -> None:
        """Report that the peer can't be reached."""
        self.links.connect_failed(self.peer)


class PendingStream:
    """A call that waits for its link."""

    def __init__(self, call: Call, sink: ResponseSink) -> None:
        self.call = call
        self.sink = sink
        self.cancelled = False
        self.cancel_stream: Callable[[], None] | None = None

    def connected(self, link: PeerLink | None) -> None:
        """Open the stream, or fail the call when there is no link."""
        if self.cancelled:
            return
        if link is None:
            failure = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
            self.sink.failed(failure, None)
            return
        self.cancel_stream = link.open_stream(self.call, self.sink)

    def cancel(self) -> None:
        """Give the call up."""
        self.cancelled = True
        if self.cancel_stream is not None:
            self.cancel_stream()


__all__ = ["PeerLinks"]
