"""Decides at which software version a call may run."""

from lagoonflow.declared.messages import Route
from lagoonflow.relay.messages import Call
from lagoonflow.resumption.messages import (
    AnyVersion,
    OneVersion,
    UnknownVersion,
    VersionRequirement,
)
from lagoonflow.resumption.origins import StreamOrigins
from lagoonflow.resumption.versions import MAX_LIST_AGE_MS, VersionHistory

# A stream of unknown origin may be this old when it is resumed, in ms, unless a
# longer time is stated. The timeout of its route bounds one attempt only, and a
# caller states what is left of its time, not when the stream began.
MIN_WINDOW_MS = 60_000


class VersionRule:
    """Finds the software version that a resumed stream began with.

    :param origins: streams whose version is known.
    :param history: versions of the servers of each service.
    """

    def __init__(self, origins: StreamOrigins, history: VersionHistory) -> None:
        """Decide by what the router knows."""
        self.origins = origins
        self.history = history

    def require(
        self, call: Call, route: Route, service: str, arrived_ms: float
    ) -> VersionRequirement:
        """Return at which version the call may run.

        A version that is not known for certain is never assumed: servers do
        not check that they continue a stream of their own version.

        :param arrived_ms: boot time by which the stream had begun.
        """
        if not (route.is_resumable and call.resume_after):
            return AnyVersion()
        origin = self.origins.find(call.resumed_request_id, arrived_ms)
        if origin is not None:
            if origin.service != service:
                return UnknownVersion('the stream began at another service')
            return OneVersion(origin.software_version)
        window_ms = max(
            MIN_WINDOW_MS, route.timeout_ms or 0, call.deadline_ms or 0
        )
        # Streams still began at a version until its end was noticed.
        window_ms += MAX_LIST_AGE_MS
        version = self.history.only_version(service, window_ms, arrived_ms)
        if version is None:
            return UnknownVersion(
                'the software version that began the stream is not known',
                may_become_known=not (
                    self.origins.is_known
                    and self.history.is_confirmed(arrived_ms)
                ),
            )
        return OneVersion(version)
