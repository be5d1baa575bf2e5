"""Connects a router's token shares to the other routers and the streams."""

from lagoonflow.clock import boottime_ms
from lagoonflow.placement.messages import Ack
from lagoonflow.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    HandOver,
    Returned,
    RosterAck,
)
from lagoonflow.quotas.state import QuotaShares
from lagoonflow.quotas.task import QuotaTask
from lagoonflow.streams.messages import Stream
from lagoonflow.wire.grpc_server import Route
from lagoonflow.wire.methods import (
    ACK_ROSTER,
    BORROW,
    HAND_OVER,
    RETURN,
)
from lagoonflow.wiring.core import Core


class TokenShares:
    """The token shares of one router: its parts of the organisations' rates.

    :ivar task: charges and refunds requests.
    """

    def __init__(self, core: Core) -> None:
        """Create the shares; :meth:`subscribe` connects them to the streams."""
        self._core = core
        self._shares = QuotaShares(core.settings.name, core.nonce)
        self.task = QuotaTask(self._shares, core.peers.send)

    def routes(self) -> tuple[Route, ...]:
        """Return the gRPC routes that a router serves to other routers."""
        unary_route = self._core.unary_route
        return (
            unary_route(BORROW, self._on_borrow_request),
            unary_route(HAND_OVER, self._on_hand_over),
            unary_route(RETURN, self._on_returned),
            unary_route(ACK_ROSTER, self._on_ack),
        )

    def subscribe(self) -> None:
        """Apply changes of the roster and of the limits as they are read.

        The limits of the organisations are part of the release notes.
        """
        followers = self._core.folds.followers
        followers[Stream.ROSTER].listeners.append(self._on_roster)
        followers[Stream.RELEASES].listeners.append(self._on_releases)

    def on_pause(self) -> None:
        """Admit and lend nothing until the roster is current again.

        Called when the process was paused for a while.
        """
        self._shares.on_pause()

    def on_caught_up(self) -> None:
        """Apply the current roster and admit again after a pause."""
        self._on_roster()
        self.task.perform(self._shares.on_caught_up(boottime_ms()))

    def _on_roster(self) -> None:
        roster = self._core.folds.roster
        self.task.perform(
            self._shares.on_roster(
                boottime_ms(),
                roster.memberships,
                roster.version,
            ),
        )

    def _on_releases(self) -> None:
        releases = self._core.folds.releases
        self._core.timeline.record(
            'releases',
            'in_force',
            cause=f'releases {releases.next_offset}',
        )
        self.task.perform(
            self._shares.on_limits(
                boottime_ms(),
                releases.organisations(),
                releases.next_offset,
            ),
        )

    async def _on_borrow_request(self, request: BorrowRequest) -> BorrowReply:
        return self.task.on_borrow_request(request)

    async def _on_hand_over(self, hand_over: HandOver) -> Ack:
        self.task.on_hand_over(hand_over)
        return self._ack()

    async def _on_returned(self, returned: Returned) -> Ack:
        self.task.on_returned(returned)
        return self._ack()

    async def _on_ack(self, ack: RosterAck) -> Ack:
        self.task.on_ack(ack)
        return self._ack()

    def _ack(self) -> Ack:
        return Ack(self._core.folds.versions())
