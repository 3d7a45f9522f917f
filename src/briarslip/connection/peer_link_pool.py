"""Pool of a daemon's peer links."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import ServerFactory

from briarslip.backoff import Backoff
from briarslip.backoff import next_backoff
from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.frame import ControlFrame
from briarslip.connection.heartbeat import CHECK_INTERVAL_SECONDS
from briarslip.connection.heartbeat import VERIFY_AFTER_SECONDS
from briarslip.connection.heartbeat import LinkAction
from briarslip.connection.heartbeat import is_silent
from briarslip.connection.heartbeat import next_action
from briarslip.connection.input_scheduler import InputScheduler
from briarslip.connection.peer_link import PeerLink
from briarslip.process.error_log import run_each
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
    """Opens one link to each peer on demand and replaces silent ones.

    ``waiters`` holds the callbacks that wait for a link to be connected or to
    reply to a heartbeat; they get None if the connection fails.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        hello: Hello,
        dispatch: Dispatch,
        on_control: Callable[[Address, ControlFrame], None],
        rng: random.Random,
        budget: BufferBudget | None = None,
    ) -> None:
        self.budget = budget or BufferBudget.unlimited(clock)
        self.reactor = reactor
        self.scheduler = InputScheduler(reactor)
        self.clock = clock
        self.hello = hello
        self.dispatch = dispatch
        self.on_control = on_control
        self.rng = rng
        self.opened_links: dict[Address, PeerLink] = {}
        self.waiters: dict[Address, list[Callable[[PeerLink | None], None]]] = {}
        self.backoffs: dict[Address, Backoff] = {}
        self.accepted_links: set[PeerLink] = set()
        self.draining = False
        self.check_scheduled = False
        self.silent_peers: frozenset[Address] = frozenset()

    @property
    def served_call_count(self) -> int:
        """The number of calls of peers that are being served or received."""
        return sum(link.served.count for link in self.accepted_links)

    def server_factory(self) -> ServerFactory:
        """Return the factory for links that peers open."""
        return AcceptedLinkFactory(self)

    def dispatch_to(
        self, peer: Address, call: Call, sink: ResponseSink
    ) -> Callable[[], None]:
        """Send a call to a peer, connecting first if there is no link."""
        link = self.opened_links.get(peer)
        if (
            link is not None
            and peer not in self.waiters
            and not self._needs_heartbeat(link)
        ):
            return link.open_stream(call, sink)
        pending = WaitingCall(call, sink)
        self._call_when_ready(peer, pending.link_ready)
        return pending.cancel

    def send_control(
        self,
        peer: Address,
        topic: Topic,
        payload: bytes,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a control message, or drop it if the peer can't be connected to."""
        frame = ControlFrame(topic, payload)
        link = self.opened_links.get(peer)
        if (
            link is not None
            and peer not in self.waiters
            and not self._needs_heartbeat(link)
        ):
            link.send(frame)
            return

        def send(link: PeerLink | None) -> None:
            if link is None:
                on_failure()
            else:
                link.send(frame)

        self._call_when_ready(peer, send)

    def drain(self) -> None:
        """Ask the peers to close the links that they opened, after their calls."""
        self.draining = True
        for link in self.accepted_links:
            link.go_away()

    def withdraw_served_calls(self) -> None:
        """Fail the calls of peers as not run, except those that a server runs."""
        for link in list(self.accepted_links):
            run_each((link.served.withdraw_all,))

    def close(self) -> None:
        """Close every link after everything written has been sent."""
        for link in [*self.opened_links.values(), *self.accepted_links]:
            link.close()

    def check_links(self) -> None:
        """Check the opened links, and schedule the next check if any are left."""
        try:
            self._check_opened_links()
        finally:
            self.check_scheduled = bool(self.opened_links)
            if not self.check_scheduled:
                self.silent_peers = frozenset()
            if self.check_scheduled:
                self.reactor.callLater(CHECK_INTERVAL_SECONDS, self.check_links)

    def _check_opened_links(self) -> None:
        """Send heartbeats, replace silent links and close unused ones."""
        now = self.clock.monotonic()
        silent_peers: set[Address] = set()
        for peer, link in list(self.opened_links.items()):
            if link.is_at_rest(now):
                continue
            if is_silent(link.activity, now):
                silent_peers.add(peer)
            match next_action(link.activity, now):
                case LinkAction.PING:
                    link.ping()
                case LinkAction.REPLACE:
                    self._replace(peer, link)
                case LinkAction.CLOSE:
                    del self.opened_links[peer]
                    link.close()
        self.silent_peers = frozenset(silent_peers)

    def _needs_heartbeat(self, link: PeerLink) -> bool:
        """Return whether a link must reply to a heartbeat before its next call."""
        if link.client_streams:
            return False
        return self.clock.monotonic() - link.received_at > VERIFY_AFTER_SECONDS

    def _call_when_ready(
        self, peer: Address, callback: Callable[[PeerLink | None], None]
    ) -> None:
        waiters = self.waiters.get(peer)
        if waiters is not None:
            waiters.append(callback)
            return
        link = self.opened_links.get(peer)
        if link is None and self._is_backing_off(peer):
            callback(None)
            return
        self.waiters[peer] = [callback]
        if link is None:
            self._connect(peer)
        else:
            link.on_received = lambda link: self.add_link(peer, link)
            link.ping()

    def _is_backing_off(self, peer: Address) -> bool:
        backoff = self.backoffs.get(peer)
        return backoff is not None and self.clock.monotonic() < backoff.retry_at

    def _connect(self, peer: Address) -> None:
        self.reactor.connectTCP(
            peer.host,
            peer.port,
            OpenedLinkFactory(self, peer),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _replace(self, peer: Address, link: PeerLink) -> None:
        """Replace a silent link; waiting calls go over the new one."""
        emit(Event.LINK_STALLED, peer=peer, calls=len(link.client_streams))
        del self.opened_links[peer]
        # Connect before aborting, so that retried calls wait for the new link.
        self.waiters.setdefault(peer, [])
        self._connect(peer)
        link.abort_as_stalled()

    def add_link(self, peer: Address, link: PeerLink) -> None:
        """Add a usable link and run the callbacks that wait for it."""
        self.opened_links[peer] = link
        self.backoffs.pop(peer, None)
        if not self.check_scheduled:
            self.check_scheduled = True
            self.reactor.callLater(CHECK_INTERVAL_SECONDS, self.check_links)
        for callback in self.waiters.pop(peer, ()):
            callback(link)

    def fail_waiters(self, peer: Address) -> None:
        """Record the failure for backoff and fail those that wait for the link."""
        now = self.clock.monotonic()
        self.backoffs[peer] = next_backoff(self.backoffs.get(peer), now, self.rng)
        for callback in self.waiters.pop(peer, ()):
            callback(None)

    def remove_link(self, peer: Address, link: PeerLink) -> None:
        """Remove a link, and open another if calls wait for its heartbeat."""
        if self.opened_links.get(peer) is not link:
            return
        del self.opened_links[peer]
        if peer in self.waiters:
            self._connect(peer)


class AcceptedLinkFactory(ServerFactory):
    """Builds the local ends of links that peers open."""

    noisy = False

    def __init__(self, pool: PeerLinkPool) -> None:
        self.pool = pool

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Build the local end of a link."""
        pool = self.pool
        return PeerLink(
            pool.clock,
            pool.dispatch,
            pool.on_control,
            pool.accepted_links.discard,
            pool.scheduler,
            self._on_connected,
            pool.budget,
        )

    def _on_connected(self, link: PeerLink) -> None:
        self.pool.accepted_links.add(link)
        if self.pool.draining:
            link.go_away()


class OpenedLinkFactory(ClientFactory):
    """Opens one link to one peer."""

    noisy = False

    def __init__(self, pool: PeerLinkPool, peer: Address) -> None:
        self.pool = pool
        self.peer = peer

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Build the link, which is used once connected."""
        pool = self.pool
        link = PeerLink(
            pool.clock,
            pool.dispatch,
            pool.on_control,
            self._on_lost,
            pool.scheduler,
            self._on_connected,
        )
        link.peer = self.peer
        link.on_go_away = self._on_lost
        return link

    def _on_connected(self, link: PeerLink) -> None:
        link.send(self.pool.hello)
        self.pool.add_link(self.peer, link)

    def _on_lost(self, link: PeerLink) -> None:
        self.pool.remove_link(self.peer, link)

    def clientConnectionFailed(
        self, connector: IConnector, reason: TwistedFailure
    ) -> None:
        """Report that the peer can't be reached."""
        self.pool.fail_waiters(self.peer)


class WaitingCall:
    """A call that waits for a link."""

    def __init__(self, call: Call, sink: ResponseSink) -> None:
        self.call = call
        self.sink = sink
        self.cancelled = False
        self.cancel_stream: Callable[[], None] | None = None
        call.withdrawal.on_request = self.withdraw

    def withdraw(self) -> None:
        """Fail the call as not run, since it has not been sent."""
        self.cancel()
        self.sink.failed(Failure(Outcome.NOT_RUN, Reason.DRAINING), None)

    def link_ready(self, link: PeerLink | None) -> None:
        """Open the stream, or fail the call if there is no link."""
        if self.cancelled:
            return
        self.call.withdrawal.on_request = None
        if link is None:
            failure = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
            self.sink.failed(failure, None)
            return
        self.cancel_stream = link.open_stream(self.call, self.sink)

    def cancel(self) -> None:
        """Cancel the call, whether waiting or sent."""
        self.cancelled = True
        self.call.withdrawal.on_request = None
        if self.cancel_stream is not None:
            self.cancel_stream()


__all__ = ["PeerLinkPool"]
