"""Admission of calls that have to wait until more is known."""

import asyncio

from lagoonflow.clock import boottime_ms
from lagoonflow.relay.admission import (
    Admission,
    AdmittedCall,
    Undecided,
)
from lagoonflow.relay.changes import ChangeNotifier
from lagoonflow.relay.messages import Call
from lagoonflow.results import Refusal

# Longest wait for a newer list of servers, in ms. A read of it that is in
# progress ends within 500 ms, and the next one is answered at once.
MAX_LIST_WAIT_MS = 1000
# The list is looked at again at least this often, in ms.
RECHECK_MS = 120


class Admitter:
    """Admits calls, and waits where a list of servers or of streams decides.

    :param fleet_changed: notified when one of them has been read.
    :ivar list_wanted: set when the list is to be read at once.
    """

    def __init__(
        self, admission: Admission, fleet_changed: ChangeNotifier
    ) -> None:
        """Admit by the given admission."""
        self._admission = admission
        self._fleet_changed = fleet_changed
        self.list_wanted = asyncio.Event()

    async def admit(
        self, call: Call, arrived_ms: float
    ) -> AdmittedCall | Refusal:
        """Admit a call or refuse it."""
        admitted = self._admission.admit(call, arrived_ms)
        is_waiting = isinstance(admitted, Undecided)
        if is_waiting and not self._admission.is_list_confirmed(arrived_ms):
            self.list_wanted.set()
        until_ms = arrived_ms + MAX_LIST_WAIT_MS
        while isinstance(admitted, Undecided):
            if boottime_ms() >= until_ms:
                return admitted.refusal
            await self._fleet_changed.wait(RECHECK_MS, arrived_ms)
            admitted = self._admission.admit(call, boottime_ms(), arrived_ms)
        return admitted
