"""The state machine of a call at the router."""

import enum

from transitions import Machine


class Phase(enum.StrEnum):
    """What a call at the router is waiting for.

    ``LOCATING``: agents that may run the call. ``PAUSED``: the delay before
    it looks for agents again. ``OPEN``: chunks of its attempt. ``BROKEN``:
    the delay before it resumes the broken stream. ``REVOKING``: the agent's
    answer to the request to revoke the attempt.
    """

    LOCATING = 'locating'
    PAUSED = 'paused'
    OPEN = 'open'
    BROKEN = 'broken'
    REVOKING = 'revoking'
    ENDED = 'ended'


class Step(enum.StrEnum):
    """Transitions between the phases.

    ``KEEP`` ends revoking without success: the attempt has started and its
    stream is still open.
    """

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


class PhaseTracker:
    """Holds the phase of a call and allows only the listed transitions."""

    def __init__(self) -> None:
        """Start in the phase ``LOCATING``."""
        self.state = Phase.LOCATING

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self.state

    def take_step(self, step: Step) -> None:
        """Change to the phase that a step leads to.

        :raises transitions.MachineError: if the step is not allowed in the
            current phase.
        """
        _MACHINE.events[step].trigger(self)
