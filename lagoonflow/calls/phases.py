"""Phases of a call at the router, and the steps between them."""

import enum

from transitions import Machine


class Phase(enum.StrEnum):
    """What a call at the router is waiting for.

    ``LOCATING`` waits for a place, ``PAUSED`` before it asks again, ``OPEN``
    for chunks, ``BROKEN`` before it resumes the stream, ``REVOKING`` for the
    state of its attempt.
    """

    LOCATING = 'locating'
    PAUSED = 'paused'
    OPEN = 'open'
    BROKEN = 'broken'
    REVOKING = 'revoking'
    ENDED = 'ended'


class Step(enum.StrEnum):
    """Steps between phases."""

    LOCATE = 'locate'
    PAUSE = 'pause'
    OPEN = 'open_stream'
    BREAK = 'break_stream'
    REVOKE = 'revoke'
    KEEP = 'keep'
    END = 'end'


_IN_FLIGHT = [Phase.OPEN, Phase.BROKEN, Phase.REVOKING]
_WITHOUT_ATTEMPT = [Phase.LOCATING, Phase.PAUSED]

_MACHINE = Machine(
    model=None,
    states=Phase,
    initial=Phase.LOCATING,
    auto_transitions=False,
    transitions=[
        [Step.LOCATE, [*_IN_FLIGHT, *_WITHOUT_ATTEMPT], Phase.LOCATING],
        [Step.PAUSE, [*_IN_FLIGHT, Phase.LOCATING], Phase.PAUSED],
        [Step.OPEN, [Phase.LOCATING, Phase.BROKEN, Phase.REVOKING], Phase.OPEN],
        [Step.BREAK, [Phase.OPEN, Phase.REVOKING], Phase.BROKEN],
        [Step.REVOKE, [Phase.OPEN, Phase.BROKEN], Phase.REVOKING],
        [Step.KEEP, [Phase.REVOKING], Phase.OPEN],
        [Step.END, [*_IN_FLIGHT, *_WITHOUT_ATTEMPT], Phase.ENDED],
    ],
)


class Phased:
    """Something whose phase changes by steps."""

    def __init__(self) -> None:
        """Start in ``LOCATING``."""
        self.state = Phase.LOCATING

    @property
    def phase(self) -> Phase:
        """The present phase."""
        return self.state

    def take_step(self, step: Step) -> None:
        """Go to the phase that the step leads to.

        :raises transitions.MachineError: when it is not allowed now.
        """
        _MACHINE.events[step].trigger(self)
