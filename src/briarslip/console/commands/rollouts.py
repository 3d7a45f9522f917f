"""``briarslip rollouts``: print the state of every rollout."""

from __future__ import annotations

import json as json_codec
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import typer
from result import Err
from result import Ok
from result import Result

from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import EXIT_INVALID_INPUT
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import address_or_exit
from briarslip.console.runtime import exit_with_error
from briarslip.console.runtime import print_json
from briarslip.console.runtime import query_daemon
from briarslip.console.runtime import run_in_reactor
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key
from briarslip.version.rollout_document import ROLLOUT_STATUS_PREFIX
from briarslip.version.rollout_document import decode_document


if TYPE_CHECKING:
    from briarslip.version.rollout_document import Document


NOT_REPORTED = "not_reported"

PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform", envvar="BRIARSLIP_PLATFORM", help="IP:PORT of the store"
    ),
]
DaemonOption = Annotated[
    str,
    typer.Option(
        "--daemon",
        help="IP:PORT of a daemon's admin port to query instead of the store",
    ),
]


def rollouts(
    platform: PlatformOption = "",
    daemon: DaemonOption = "",
    json: JsonOption = False,
) -> None:
    """Print the state of each rollout as stored, which is the same for all operators.

    With --daemon, print the state as one daemon sees it, for use while the store is
    down.
    """
    if daemon:
        address = address_or_exit(daemon)
        result = run_in_reactor(
            lambda reactor: query_daemon(reactor, address, "/v1/rollouts")
        )
    elif platform:
        store_address = address_or_exit(platform)
        result = run_in_reactor(
            lambda reactor: read_rollouts(_store_client(reactor, store_address))
        )
    else:
        exit_with_error(
            EXIT_INVALID_INPUT,
            "no source given: expected --platform IP:PORT or --daemon IP:PORT",
        )
    if isinstance(result, Err):
        exit_with_error(EXIT_NO_ANSWER, result.err_value)
    if json:
        print_json(result.ok_value)
        return
    for document in result.ok_value:
        print(format_rollout(document))


def _store_client(reactor: Any, address: Any) -> Any:
    from briarslip.process.store.etcd_gateway import EtcdGatewayClient

    return EtcdGatewayClient.from_address(reactor, address.host, address.port)


async def read_rollouts(client: Any) -> Result[list[Document], str]:
    """Return the stored state of each rollout, sorted by name, or an error message.

    A rollout without a stored state is included as not reported.
    """
    records = await client.range(f"{RECORDS_PREFIX}rollout/")
    statuses = await client.range(ROLLOUT_STATUS_PREFIX)
    for reply in (records, statuses):
        if isinstance(reply, Err):
            return Err(f"the store does not answer: {reply.err_value.reason}")
    documents: dict[str, Document] = {}
    for item in records.ok_value.items:
        key = parse_key(item.key)
        if key is not None and json_codec.loads(item.value).get("fields") is not None:
            documents[key.name] = {"rollout": key.name, "state": NOT_REPORTED}
    for item in statuses.ok_value.items:
        decoded = decode_document(item.value)
        if isinstance(decoded, Ok):
            documents[decoded.ok_value["rollout"]] = decoded.ok_value
    return Ok([documents[name] for name in sorted(documents)])


def format_rollout(document: Document) -> str:
    """Return the state of a rollout as one line of text."""
    if document["state"] == NOT_REPORTED:
        return f"{document['rollout']:<20} {NOT_REPORTED}: no daemon has reported it"
    head = f"{document['rollout']:<20} {document['state']:<20}"
    target = f"{document['service']} {document['version']}"
    parts = [f"{head} {target} by {document['deadline']}, since {document['since']}"]
    if "after" in document:
        parts.append(f"after {document['after']} since {document['after_since']}")
    if document["reason"]:
        parts.append(document["reason"])
    if document["zones_not_heard"]:
        parts.append(f"no report from zones: {', '.join(document['zones_not_heard'])}")
    return "; ".join(parts)


__all__ = ["format_rollout", "read_rollouts", "rollouts"]
