"""The home of a group of organisations: it decides on the modes over all zones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.quota.account import Account
from briarslip.request.quota.limit import WINDOW_SECONDS
from briarslip.request.quota.messages import Answer
from briarslip.request.quota.messages import Mode
from briarslip.request.quota.messages import Report
from briarslip.request.quota.messages import Verdict


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.address import Address
    from briarslip.request.quota.limit import QuotaLimit
    from briarslip.request.quota.messages import Count
    from briarslip.request.quota.placement import Placement


TICK_SECONDS = 0.1
# Ticks between rates, acknowledgements with the levels, and moves of shares.
RATE_TICKS = 2
ACKNOWLEDGE_TICKS = 3
REBALANCE_TICKS = 10
# A zone is out of contact after this time; its relay reports every 0.3 s. A zone that
# is cut off begins to use its own share after 0.6 s.
CONTACT_SECONDS = 0.8
OVERDUE_SECONDS = 0.4


@dataclass(slots=True)
class RelayContact:
    """A relay that reports to this home."""

    zone: str
    heard_at: float
    acknowledged: int
    is_acknowledged: bool = False


class Home:
    """Accounts of one group, for the zones that report here.

    Usually all zones do. If a zone is cut off, its own daemons are a home of their
    own, and each home accounts for the shares that its zones hold.
    """

    def __init__(
        self,
        group: int,
        limits: Callable[[], Mapping[str, QuotaLimit]],
        placement: Placement,
        send: Callable[[Address, Answer], None],
        now: float,
    ) -> None:
        self.group = group
        self.limits = limits
        self.placement = placement
        self.send = send
        # Since when all zones have reported here.
        self.complete_since = now
        self.accounts: dict[str, Account] = {}
        self.relays: dict[Address, RelayContact] = {}
        self.zones: set[str] = set()
        self.changed: dict[Address, set[str]] = {}
        self.ticks = 0

    def receive(self, sender: Address, report: Report, now: float) -> None:
        """Receive a report of a relay."""
        zone = self.placement.zones.get(sender)
        if report.is_last:
            self._remove_relay(sender)
            return
        if not report.sequence or zone is None:
            self.send(sender, Answer(self.group, True, 0))
            return
        if zone not in self.zones and not report.is_complete:
            self.send(sender, Answer(self.group, True, 0, needs_all=True))
            return
        self.relays[sender] = RelayContact(zone, now, report.sequence)
        if report.is_complete:
            self._join(zone, report.counts, now)
        self.zones.add(zone)
        for count in report.counts:
            self._debit(sender, zone, count, now)
        if report.is_complete:
            self._answer_all(sender, now)
        self._send_changes(now)

    def resume(self) -> None:
        """Start anew after a pause, in which the zones have had another home."""
        self.relays.clear()
        self.zones.clear()
        self.changed.clear()
        for account in self.accounts.values():
            account.joined.clear()
            account.shares.has_seen_all = False

    def tick(self, now: float) -> None:
        """Give out rates, acknowledge reports, and drop what is out of contact."""
        self.ticks += 1
        self._drop_silent(now)
        if not self.relays:
            return
        limits = self.limits()
        for name in self.accounts.keys() - limits.keys():
            del self.accounts[name]
        if self.ticks % REBALANCE_TICKS == 0:
            self._rebalance(now)
        for name, account in self.accounts.items():
            account.set_limit(limits[name])
            if account.update_mode(now) or self._is_due(account):
                self._mark(name)
        if self.ticks % ACKNOWLEDGE_TICKS == 0:
            for relay, contact in self.relays.items():
                if not contact.is_acknowledged:
                    self.changed.setdefault(relay, set())
        self._send_changes(now)

    def _is_due(self, account: Account) -> bool:
        if account.mode is Mode.LIMITED:
            return self.ticks % RATE_TICKS == 0
        return account.mode is Mode.NEAR and self.ticks % ACKNOWLEDGE_TICKS == 0

    def _join(self, zone: str, counts: Iterable[Count], now: float) -> None:
        """Add a zone to each account, with what its relay knows."""
        counts_by_name = {count.organisation: count for count in counts}
        zone_count = len(self.placement.zone_names)
        for name in self.limits():
            account = self._account(name, now)
            if account is None:
                continue
            count = counts_by_name.get(name)
            account.refill(now)
            if zone in account.joined:
                account.lower(zone, None if count is None else count.level)
            elif count is None:
                account.join(zone, None, None, zone_count)
            else:
                account.join(zone, count.share, count.level, zone_count)
            if account.joined.issuperset(self.placement.zone_names):
                account.shares.has_seen_all = True

    def _account(self, name: str, now: float) -> Account | None:
        account = self.accounts.get(name)
        limit = self.limits().get(name)
        if account is not None or limit is None:
            return account
        # Whoever has got all counts of a window knows that none passed.
        has_seen_none = now - self.complete_since >= WINDOW_SECONDS
        account = Account(limit, limit.capacity if has_seen_none else None, now)
        self.accounts[name] = account
        for zone in self.zones:
            account.join(zone, None, None, len(self.placement.zone_names))
        return account

    def _debit(self, sender: Address, zone: str, count: Count, now: float) -> None:
        account = self._account(count.organisation, now)
        if account is None:
            return
        account.shares.confirm(zone, count.share)
        if count.offered:
            account.debit(sender, zone, count.offered, count.admitted, now)
            if account.update_mode(now):
                self._mark(count.organisation)

    def _drop_silent(self, now: float) -> None:
        if not self.zones.issuperset(self.placement.zone_names):
            self.complete_since = now
        for relay, contact in list(self.relays.items()):
            if now - contact.heard_at > CONTACT_SECONDS:
                self._remove_relay(relay)
        heard = {
            contact.zone
            for contact in self.relays.values()
            if now - contact.heard_at <= OVERDUE_SECONDS
        }
        overdue = frozenset(self.zones - heard)
        for account in self.accounts.values():
            account.set_overdue(overdue, now)

    def _remove_relay(self, relay: Address) -> None:
        """Remove a relay, and its zone if it has no other."""
        contact = self.relays.pop(relay, None)
        if contact is None:
            return
        zone = contact.zone
        is_last = all(other.zone != zone for other in self.relays.values())
        self.changed.pop(relay, None)
        if is_last:
            self.zones.discard(zone)
        for account in self.accounts.values():
            account.demand.remove(relay)
            if is_last:
                account.leave(zone)

    def _rebalance(self, now: float) -> None:
        zones = self.placement.zone_names
        for name, account in self.accounts.items():
            before = dict(account.shares.assigned)
            account.rebalance(zones, now)
            for relay, contact in self.relays.items():
                zone = contact.zone
                if before.get(zone) != account.shares.assigned.get(zone):
                    self.changed.setdefault(relay, set()).add(name)

    def _mark(self, name: str) -> None:
        """Have a verdict sent to all relays."""
        for relay in self.relays:
            self.changed.setdefault(relay, set()).add(name)

    def _answer_all(self, relay: Address, now: float) -> None:
        """Tell a relay about all accounts: their shares and modes."""
        self.changed.pop(relay, None)
        self._answer(relay, self.accounts, now, is_complete=True)

    def _send_changes(self, now: float) -> None:
        changed, self.changed = self.changed, {}
        for relay, names in changed.items():
            if relay in self.relays:
                self._answer(relay, sorted(names), now)

    def _answer(
        self,
        relay: Address,
        names: Iterable[str],
        now: float,
        is_complete: bool = False,
    ) -> None:
        contact = self.relays[relay]
        contact.is_acknowledged = True
        verdicts = tuple(
            _verdict(name, self.accounts[name], relay, contact.zone, now)
            for name in names
            if name in self.accounts
        )
        answer = Answer(
            self.group,
            True,
            contact.acknowledged,
            is_complete=is_complete,
            verdicts=verdicts,
        )
        self.send(relay, answer)


def _verdict(
    name: str, account: Account, relay: Address, zone: str, now: float
) -> Verdict:
    account.refill(now)
    rate = 0.0
    if account.mode is Mode.LIMITED:
        rate = account.rates(now).get(relay, 0.0)
    share = account.shares.assigned.get(zone)
    return Verdict(name, account.mode, account.level, rate, share)


__all__ = ["TICK_SECONDS", "Home"]
