"""Calls that move on from a full server to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.admission import Admission
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink


class FullServer:
    """Returns the calls that would queue at a server and may move on.

    The first daemon knows only that another server is likely to be idle; the daemon
    beside the server knows whether this one is full. ``returned_calls`` counts the
    returned calls, ``queued_calls`` those that have queued.
    """

    def __init__(self, admission: Admission, dispatch: Dispatch) -> None:
        self.admission = admission
        self.dispatch = dispatch
        self.returned_calls = 0
        self.queued_calls = 0

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Pass a call on to the server, or return it as not run."""
        if not would_queue(self.admission, call):
            return self.dispatch(call, sink)
        if not call.may_move_on:
            self.queued_calls += 1
            return self.dispatch(call, sink)
        self.returned_calls += 1
        sink.failed(Failure(Outcome.NOT_RUN, Reason.SERVER_BUSY), self.admission.load)
        return _cancel_nothing


def would_queue(admission: Admission, call: Call) -> bool:
    """Return whether a new call would have to queue for a slot or for its turn."""
    if admission.closed or admission.is_excluded(call):
        return False
    if admission.in_flight + len(admission.urgent_queue) >= admission.slots:
        return True
    if not call.urgent and (
        admission.bulk_in_flight + len(admission.bulk_queue) >= admission.bulk_slots
    ):
        return True
    return admission.rate.is_exhausted(call.urgent, admission.clock.monotonic())


def _cancel_nothing() -> None:
    """Do nothing: the call has been returned."""


__all__ = ["FullServer", "would_queue"]
