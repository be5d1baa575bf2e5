"""Client of the weight store's home, which grants permits for loads."""

from typing import Any

from lagoonflow.placement.messages import (
    LoadFinished,
    PermitReply,
    PermitRequest,
)
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.messages import SendLoadReport
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.methods import LOAD_FINISHED, PERMIT, Method


class StoreClient:
    """Requests permits from the weight store's home and reports loads."""

    def __init__(self, agent: str, peers: RankedPeers) -> None:
        self._agent = agent
        self._peers = peers

    async def request_permit(
        self, request: PermitRequest
    ) -> PermitReply | Refusal:
        """Request a permit."""
        return await self._send(PERMIT, request)

    async def report_load(
        self, report: SendLoadReport, versions: Versions
    ) -> None:
        """Report that a load has ended."""
        message = LoadFinished(
            permit_id=report.permit_id,
            agent=self._agent,
            took_ms=report.took_ms,
            is_loaded=report.is_loaded,
            versions=versions,
            memory_mb=report.memory_mb,
        )
        await self._send(LOAD_FINISHED, message)

    async def _send(self, method: Method, message: Any) -> Any:
        ranking = self._peers.store_ranking()
        if not ranking:
            return Refusal(Result.NO_RUNNER, 'The roster is empty.')
        return await self._peers.send(ranking[0], method, message)
