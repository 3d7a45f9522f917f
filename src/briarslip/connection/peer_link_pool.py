"""The peer links of a daemon: one to each peer that it sends to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import ServerFactory

from briarslip.backoff import Backoff
from briarslip.backoff import next_backoff
from briarslip.connection.frame import ControlFrame
from briarslip.connection.heartbeat import CHECK_SECONDS
from briarslip.connection.heartbeat import QUIET_SECONDS
from briarslip.connection.heartbeat import Step
from briarslip.connection.heartbeat import is_silent
from briarslip.connection.heartbeat import next_step
from briarslip.connection.peer_link import PeerLink
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    import random
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


CONNECT_TIMEOUT_SECONDS = 0.5


class PeerLinkPool:
    """Opens links on demand, keeps one for each peer and replaces silent ones."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        hello: Hello,
        dispatch: Dispatch,
        on_control: Callable[[Address, ControlFrame], None],
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.hello = hello
        self.dispatch = dispatch
        self.on_control = on_control
        self.rng = rng
        self.opened_links: dict[Address, PeerLink] = {}
        self.waiting: dict[Address, list[Callable[[PeerLink | None], None]]] = {}
        self.backoffs: dict[Address, Backoff] = {}
        self.accepted_links: set[PeerLink] = set()
        self.draining = False
        self.checking = False
        self.silent_peers: frozenset[Address] = frozenset()

    @property
    def served_call_count(self) -> int:
        """The streams of peers that are served now."""
        return sum(
            len(link.serving) + len(link.incoming) for link in self.accepted_links
        )

    def server_factory(self) -> ServerFactory:
        """Return the factory for links that peers open."""
        return ServingFactory(self)

    def dispatch_to(
        self, peer: Address, call: Call, sink: ResponseSink
    ) -> Callable[[], None]:
        """Send a call to a peer, connecting first if need be."""
        link = self.opened_links.get(peer)
        if link is not None and peer not in self.waiting and not self._quiet(link):
            return link.open_stream(call, sink)
        pending = PendingStream(call, sink)
        self._when_usable(peer, pending.connected)
        return pending.cancel

    def send_control(self, peer: Address, topic: Topic, payload: bytes) -> None:
        """Send a control message, dropped if the peer can't be reached."""
        frame = ControlFrame(topic, payload)
        link = self.opened_links.get(peer)
        if link is not None and peer not in self.waiting and not self._quiet(link):
            link.send(frame)
            return

        def send(link: PeerLink | None) -> None:
            if link is not None:
                link.send(frame)

        self._when_usable(peer, send)

    def drain(self) -> None:
        """Ask every opener to open no more streams and to close its link."""
        self.draining = True
        for link in self.accepted_links:
            link.go_away()

    def close(self) -> None:
        """Close every link after what is written."""
        for link in [*self.opened_links.values(), *self.accepted_links]:
            link.close()

    def check(self) -> None:
        """Look at every link, and again while there are any."""
        try:
            self._check_links()
        finally:
            self.checking = bool(self.opened_links)
            if not self.checking:
                self.silent_peers = frozenset()
            if self.checking:
                self.reactor.callLater(CHECK_SECONDS, self.check)

    def _check_links(self) -> None:
        """Probe, replace or close links as their silence asks."""
        now = self.clock.monotonic()
        silent_peers: set[Address] = set()
        for peer, link in list(self.opened_links.items()):
            if is_silent(link.activity, now):
                silent_peers.add(peer)
            match next_step(link.activity, now):
                case Step.PING:
                    link.ping()
                case Step.REPLACE:
                    self._replace(peer, link)
                case Step.CLOSE:
                    del self.opened_links[peer]
                    link.close()
        self.silent_peers = frozenset(silent_peers)

    def _quiet(self, link: PeerLink) -> bool:
        """Whether a link must answer a heartbeat before it is trusted."""
        if link.awaiting:
            return False
        return self.clock.monotonic() - link.received_at > QUIET_SECONDS

    def _when_usable(
        self, peer: Address, then: Callable[[PeerLink | None], None]
    ) -> None:
        waiting = self.waiting.get(peer)
        if waiting is not None:
            waiting.append(then)
            return
        link = self.opened_links.get(peer)
        if link is None and self._must_pause(peer):
            then(None)
            return
        self.waiting[peer] = [then]
        if link is None:
            self._connect(peer)
        else:
            link.on_alive = lambda link: self.connected(peer, link)
            link.ping()

    def _must_pause(self, peer: Address) -> bool:
        backoff = self.backoffs.get(peer)
        return backoff is not None and self.clock.monotonic() < backoff.retry_at

    def _connect(self, peer: Address) -> None:
        self.reactor.connectTCP(
            peer.host,
            peer.port,
            LinkFactory(self, peer),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _replace(self, peer: Address, link: PeerLink) -> None:
        """Open a new link at once; what waited goes over it."""
        emit(Event.LINK_STALLED, peer=peer, calls=len(link.awaiting))
        del self.opened_links[peer]
        # First the new one, so that calls that are retried wait for it.
        self.waiting.setdefault(peer, [])
        self._connect(peer)
        link.stall()

    def connected(self, peer: Address, link: PeerLink) -> None:
        """Take a link into use."""
        self.opened_links[peer] = link
        self.backoffs.pop(peer, None)
        if not self.checking:
            self.checking = True
            self.reactor.callLater(CHECK_SECONDS, self.check)
        for then in self.waiting.pop(peer, ()):
            then(link)

    def connect_failed(self, peer: Address) -> None:
        """Tell those that wait that there is no link."""
        now = self.clock.monotonic()
        self.backoffs[peer] = next_backoff(self.backoffs.get(peer), now, self.rng)
        for then in self.waiting.pop(peer, ()):
            then(None)

    def link_lost(self, peer: Address, link: PeerLink) -> None:
        """Forget a link; those that waited for its heartbeat get a new one."""
        if self.opened_links.get(peer) is not link:
            return
        del self.opened_links[peer]
        if peer in self.waiting:
            self._connect(peer)


class ServingFactory(ServerFactory):
    """Builds the ends of links that peers open."""

    noisy = False

    def __init__(self, pool: PeerLinkPool) -> None:
        self.pool = pool

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Build the link's end."""
        pool = self.pool
        return PeerLink(
            pool.clock,
            pool.dispatch,
            pool.on_control,
            pool.accepted_links.discard,
            self._made,
        )

    def _made(self, link: PeerLink) -> None:
        self.pool.accepted_links.add(link)
        if self.pool.draining:
            link.go_away()


class LinkFactory(ClientFactory):
    """Opens one link to one peer."""

    noisy = False

    def __init__(self, pool: PeerLinkPool, peer: Address) -> None:
        self.pool = pool
        self.peer = peer

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Build the link; it is in use from its connection on."""
        pool = self.pool
        link = PeerLink(
            pool.clock, pool.dispatch, pool.on_control, self._lost, self._made
        )
        link.peer = self.peer
        link.on_go_away = self._lost
        return link

    def _made(self, link: PeerLink) -> None:
        link.send(self.pool.hello)
        self.pool.connected(self.peer, link)

    def _lost(self, link: PeerLink) -> None:
        self.pool.link_lost(self.peer, link)

    def clientConnectionFailed(
        self, connector: IConnector, reason: TwistedFailure
    ) -> None:
        """Report that the peer can't be reached."""
        self.pool.connect_failed(self.peer)


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


__all__ = ["PeerLinkPool"]
