"""Contact points: the addresses, published in the store, for joining a zone.

Each zone has a key with a few addresses of its live members. A few members of the
zone keep it up to date.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from briarslip import fields
from briarslip.address import Address
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.membership.zone_bridge import bridge_members


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.membership.member import Member
    from briarslip.process.membership.member_table import MemberTable
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError


CONTACT_POINTS_PREFIX = "contacts/"
CONTACT_POINTS_PER_ZONE = 3
MIN_LIVE_CONTACT_POINTS = 2
FIRST_REFRESH_DELAY_SECONDS = 2.0
CONTACTS_INTERVAL_SECONDS = 120.0

ContactPoints = tuple[Address, ...]


def contact_points_key(zone: str) -> str:
    """Return the store key of a zone's contact points."""
    return f"{CONTACT_POINTS_PREFIX}{zone}"


def encode_contact_points(contact_points: ContactPoints) -> bytes:
    """Return the stored value of contact points, addresses separated by commas."""
    return ", ".join(map(str, contact_points)).encode()


def decode_contact_points(value: bytes) -> ContactPoints:
    """Return the contact points of a stored value, none if it is malformed."""
    parsed = fields.comma_separated(fields.address)(value.decode(errors="replace"))
    return () if isinstance(parsed, Err) else parsed.ok_value


def is_maintainer(table: MemberTable) -> bool:
    """Return whether this daemon maintains its zone's contact points.

    The bridge members from the zone to itself do.
    """
    local_addresses = (member.address for member in table.zone_members(table.zone))
    return table.own_member.address in bridge_members(local_addresses, table.zone)


def replacement_contact_points(
    current: ContactPoints, ranked: ContactPoints, live: Collection[Address]
) -> ContactPoints | None:
    """Return the contact points to store, None while enough of them are live.

    ``ranked`` are the addresses to add, in this order.
    """
    live_contact_points = tuple(address for address in current if address in live)
    if len(live_contact_points) >= min(MIN_LIVE_CONTACT_POINTS, len(live)):
        return None
    added = tuple(address for address in ranked if address not in live_contact_points)
    return (live_contact_points + added)[:CONTACT_POINTS_PER_ZONE]


async def find_contact_points(store: StoreClient, own_member: Member) -> ContactPoints:
    """Return the contact points of a member's zone, none if the store fails.

    If there are too few, the member adds itself, so that the first daemons of a
    zone find each other. A daemon that loses the compare-and-swap reads again at
    its next join attempt.
    """
    key = contact_points_key(own_member.availability_zone)
    reply = await store.get(key)
    if isinstance(reply, Err):
        emit(Event.STORE_FAILED, reason=reply.err_value.reason)
        return ()
    item = reply.ok_value
    contact_points = decode_contact_points(item.value) if item else ()
    if (
        len(contact_points) < MIN_LIVE_CONTACT_POINTS
        and own_member.address not in contact_points
    ):
        revision = item.mod_revision if item else 0
        written = await store.swap(
            key, encode_contact_points((*contact_points, own_member.address)), revision
        )
        if isinstance(written, Err):
            emit(Event.STORE_FAILED, reason=written.err_value.reason)
    return contact_points


async def refresh_contact_points(
    store: StoreClient, table: MemberTable
) -> Result[Mapping[str, ContactPoints], StoreError]:
    """Return every zone's contact points; replace those of this zone if needed.

    A lost compare-and-swap means that another daemon has just written them.
    """
    reply = await store.range(CONTACT_POINTS_PREFIX)
    if isinstance(reply, Err):
        return reply
    items = {
        item.key.removeprefix(CONTACT_POINTS_PREFIX): item
        for item in reply.ok_value.items
    }
    zone_item = items.get(table.zone)
    current = decode_contact_points(zone_item.value) if zone_item else ()
    live = {member.address for member in table.zone_members(table.zone)}
    chosen = replacement_contact_points(current, bridge_members(live, table.zone), live)
    if chosen is not None:
        revision = zone_item.mod_revision if zone_item else 0
        key = contact_points_key(table.zone)
        written = await store.swap(key, encode_contact_points(chosen), revision)
        if isinstance(written, Err):
            return written
    return reply.map(
        lambda _: {
            zone: decode_contact_points(item.value) for zone, item in items.items()
        }
    )


__all__ = [
    "CONTACTS_INTERVAL_SECONDS",
    "CONTACT_POINTS_PREFIX",
    "FIRST_REFRESH_DELAY_SECONDS",
    "contact_points_key",
    "decode_contact_points",
    "encode_contact_points",
    "find_contact_points",
    "is_maintainer",
    "refresh_contact_points",
    "replacement_contact_points",
]
