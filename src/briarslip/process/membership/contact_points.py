"""Contacts on the platform: a few addresses by which a zone can be joined."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from briarslip import fields
from briarslip.address import Address
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.membership.zone_digest import carriers


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.membership.member import Member
    from briarslip.process.membership.member_table import MemberTable
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError


CONTACTS_PREFIX = "contacts/"
CONTACTS_PER_ZONE = 3
LEAST_LIVE_CONTACTS = 2
FIRST_REFRESH_SECONDS = 2.0
CONTACTS_INTERVAL_SECONDS = 120.0

Contacts = tuple[Address, ...]


def contacts_key(zone: str) -> str:
    """Return the key of a zone's contacts."""
    return f"{CONTACTS_PREFIX}{zone}"


def encode_contacts(contacts: Contacts) -> bytes:
    """Return the value that stands for contacts."""
    return ", ".join(map(str, contacts)).encode()


def decode_contacts(value: bytes) -> Contacts:
    """Read contacts; what can't be read counts as none."""
    read = fields.listed(fields.address)(value.decode(errors="replace"))
    return () if isinstance(read, Err) else read.ok_value


def keeps_contacts(table: MemberTable) -> bool:
    """Tell whether this daemon is one of the few that check the contacts."""
    near = (member.address for member in table.zone_members(table.zone))
    return table.self_member.address in carriers(near, table.zone)


def contacts_to_write(
    current: Contacts, ranked: Contacts, live: Collection[Address]
) -> Contacts | None:
    """Return the contacts to write, None while enough of them are live."""
    kept = tuple(address for address in current if address in live)
    if len(kept) >= min(LEAST_LIVE_CONTACTS, len(live)):
        return None
    added = tuple(address for address in ranked if address not in kept)
    return (kept + added)[:CONTACTS_PER_ZONE]


async def find_contacts(store: StoreClient, self_member: Member) -> Contacts:
    """Read the own zone's contacts; none if the platform does not answer.

    A daemon that finds too few adds itself, so that the first ones of a zone
    find each other. Whoever loses the swap reads again at its next attempt.
    """
    key = contacts_key(self_member.availability_zone)
    found = await store.get(key)
    if isinstance(found, Err):
        emit(Event.STORE_FAILED, reason=found.err_value.reason)
        return ()
    item = found.ok_value
    contacts = decode_contacts(item.value) if item else ()
    if len(contacts) < LEAST_LIVE_CONTACTS and self_member.address not in contacts:
        revision = item.mod_revision if item else 0
        written = await store.swap(
            key, encode_contacts((*contacts, self_member.address)), revision
        )
        if isinstance(written, Err):
            emit(Event.STORE_FAILED, reason=written.err_value.reason)
    return contacts


async def check_contacts(
    store: StoreClient, table: MemberTable
) -> Result[Mapping[str, Contacts], StoreError]:
    """Read every zone's contacts and rewrite the own zone's if need be.

    A lost swap means that another daemon has just written them.
    """
    found = await store.range(CONTACTS_PREFIX)
    if isinstance(found, Err):
        return found
    items = {
        item.key.removeprefix(CONTACTS_PREFIX): item for item in found.ok_value.items
    }
    zone_item = items.get(table.zone)
    current = decode_contacts(zone_item.value) if zone_item else ()
    live = {member.address for member in table.zone_members(table.zone)}
    chosen = contacts_to_write(current, carriers(live, table.zone), live)
    if chosen is not None:
        revision = zone_item.mod_revision if zone_item else 0
        key = contacts_key(table.zone)
        written = await store.swap(key, encode_contacts(chosen), revision)
        if isinstance(written, Err):
            return written
    return found.map(
        lambda _: {zone: decode_contacts(item.value) for zone, item in items.items()}
    )


__all__ = [
    "CONTACTS_INTERVAL_SECONDS",
    "CONTACTS_PREFIX",
    "FIRST_REFRESH_SECONDS",
    "check_contacts",
    "contacts_key",
    "contacts_to_write",
    "decode_contacts",
    "encode_contacts",
    "find_contacts",
    "keeps_contacts",
]
