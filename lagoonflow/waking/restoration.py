"""What a runner held before it was started anew."""

from lagoonflow.backends.messages import RunnerReport

# Later than this after a start, demand tells better what to load, in ms.
RESTORE_MS = 8000


class ModelRestoration:
    """Remembers the models of a runner's earlier start.

    Runners start empty, and right after all hosts lost power nobody knows what
    is asked for; what was held was.
    """

    def __init__(self) -> None:
        """Start with nothing remembered."""
        self._models: tuple[str, ...] = ()
        self._of_start_ms: int = 0
        self._until_ms = float('-inf')

    def record_registered(
        self, models: tuple[str, ...], started_ms: int
    ) -> None:
        """Take what the runner has registered.

        :param started_ms: the start at which it held these models.
        """
        if models and started_ms > self._of_start_ms:
            self._models = models
            self._of_start_ms = started_ms

    def record_start(self, now_ms: float) -> None:
        """Note that the runner was started."""
        self._until_ms = now_ms + RESTORE_MS

    def record_report(self, report: RunnerReport, now_ms: float) -> None:
        """Remember what is held, in case the runner ends."""
        if report.models and now_ms > self._until_ms:
            self._models = tuple(held.name for held in report.models)
            self._of_start_ms = report.started_ms

    def models_to_restore(
        self, report: RunnerReport, now_ms: float
    ) -> tuple[str, ...]:
        """Return the models to load again."""
        if now_ms > self._until_ms:
            return ()
        held = {one.name for one in report.models}
        return tuple(name for name in self._models if name not in held)
