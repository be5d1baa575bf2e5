"""Decides when a call leaves a silent server for another one.

A sound server may fall silent for a while and go on. So it is left only once
its replacement has been reserved; until then the call goes on waiting for it.
"""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from lagoonflow.backends.choosing import Send
from lagoonflow.clock import Clock
from lagoonflow.relay.attempts import Attempts
from lagoonflow.retries.budget import RetryBudget

# While a server is silent, a replacement is looked for at this interval.
RECHECK_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class NotAtHand:
    """No other server can take the call now.

    :param recheck_ms: when to look again, in ms.
    """

    reason: str
    recheck_ms: float = RECHECK_MS


class Placement(Protocol):
    """Reserves servers for one call."""

    def take(self) -> Send | NotAtHand:
        """Reserve a server that can take the call at once."""

    def release(self) -> None:
        """Give up what was requested for the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Time for which a server was silent, and what came of it.

    :param replacement: server that was reserved; empty for none.
    :param reason: why none was at hand at last; empty if one was.
    """

    duration_ms: float
    replacement: str
    reason: str


NoteSilence = Callable[[Silence], None]


class ReplacementSearch:
    """Looks for a replacement of the server of one send.

    :param attempts: receives the replacement.
    :param most_sends: number of sends that the call may have.
    :param note_silence: called after each silence that was long enough for a
        search.
    """

    def __init__(
        self,
        attempts: Attempts,
        most_sends: int,
        budget: RetryBudget,
        placement: Placement,
        note_silence: NoteSilence,
        clock: Clock,
    ) -> None:
        """Look for nothing yet."""
        self._attempts = attempts
        self._most_sends = most_sends
        self._budget = budget
        self._placement = placement
        self._note_silence = note_silence
        self._clock = clock
        self._is_searching = False
        self._reason = ''

    def look(self) -> float:
        """Reserve a replacement, with a retry of the budget, if possible.

        :return: 0 when the silent server is to be left at once; else the time
            until the next look, in ms.
        """
        self._is_searching = True
        found = self._find(self._clock())
        if isinstance(found, NotAtHand):
            self._reason = found.reason
            return found.recheck_ms
        self._attempts.replacement = found
        return 0

    def end(self, silent_since_ms: float) -> None:
        """End the search, as the server has gone on or is left.

        :param silent_since_ms: boot time at which the silence began.
        """
        if not self._is_searching:
            return
        self._is_searching = False
        replacement = self._attempts.replacement
        if replacement is None:
            self._placement.release()
        self._note_silence(
            Silence(
                self._clock() - silent_since_ms,
                '' if replacement is None else replacement.server.instance,
                self._reason if replacement is None else '',
            )
        )

    def _find(self, now_ms: float) -> Send | NotAtHand:
        if self._attempts.possible_runs >= self._most_sends:
            return NotAtHand('no send is left')
        if not self._budget.may_retry(now_ms):
            return NotAtHand('the retry budget is used up')
        found = self._placement.take()
        if isinstance(found, Send):
            self._budget.try_retry(now_ms)
        return found
