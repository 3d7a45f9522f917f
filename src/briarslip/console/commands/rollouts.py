"""``briarslip rollouts``: the state of every rollout."""

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
from briarslip.console.runtime import EXIT_BAD_INPUT
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import ask_daemon
from briarslip.console.runtime import fail
from briarslip.console.runtime import print_json
from briarslip.console.runtime import read_address
from briarslip.console.runtime import run
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
        "--platform", envvar="BRIARSLIP_PLATFORM", help="IP:PORT of the platform"
    ),
]
DaemonOption = Annotated[
    str,
    typer.Option(
        "--daemon", help="IP:PORT of a daemon's admin port, to ask it instead"
    ),
]


def rollouts(
    platform: PlatformOption = "",
    daemon: DaemonOption = "",
    json: JsonOption = False,
) -> None:
    """Print the state of each rollout, as the platform holds it.

    All operators see the same. With ``--daemon`` one daemon's own view is
    printed, for when the platform is down.
    """
    if daemon:
        address = read_address(daemon)
        result = run(lambda reactor: ask_daemon(reactor, address, "/v1/rollouts"))
    elif platform:
        source = read_address(platform)
        result = run(lambda reactor: read_platform(_client(reactor, source)))
    else:
        fail(EXIT_BAD_INPUT, "name the platform with --platform or a --daemon")
    if isinstance(result, Err):
        fail(EXIT_NO_ANSWER, result.err_value)
    if json:
        print_json(result.ok_value)
        return
    for document in result.ok_value:
        print(describe(document))


def _client(reactor: Any, address: Any) -> Any:
    from briarslip.process.store.etcd_gateway import EtcdGatewayClient

    return EtcdGatewayClient.from_address(reactor, address.host, address.port)


async def read_platform(client: Any) -> Result[list[Document], str]:
    """Return what the platform holds of each rollout; the error is a reason."""
    records = await client.range(f"{RECORDS_PREFIX}rollout/")
    statuses = await client.range(ROLLOUT_STATUS_PREFIX)
    for reply in (records, statuses):
        if isinstance(reply, Err):
            return Err(f"the platform does not answer: {reply.err_value.reason}")
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


def describe(document: Document) -> str:
    """Return one line on a rollout."""
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
        parts.append(f"not heard from: {', '.join(document['zones_not_heard'])}")
    return "; ".join(parts)


__all__ = ["describe", "read_platform", "rollouts"]
