"""Takes the versions out of every message that comes in."""

from collections.abc import Awaitable, Callable
from typing import Any

from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.methods import Method
from lagoonflow.wire.peer_client import PeerClient

SENDER_FIELDS = ('router', 'agent', 'home', 'borrower', 'giver', 'sender')

OnVersions = Callable[[str, Versions], None]
Answer = Callable[[Any], Awaitable[Any]]


def sender_of(message: Any) -> str:
    """Return the name of the process that sent a message, or nothing."""
    for field in SENDER_FIELDS:
        name = getattr(message, field, '')
        if name:
            return name
    return ''


def observe_sender_versions(answer: Answer, on_versions: OnVersions) -> Answer:
    """Wrap a unary handler so that it learns from the sender's versions."""

    async def answer_and_observe(message: Any) -> Any:
        sender = sender_of(message)
        if sender:
            on_versions(sender, message.versions)
        return await answer(message)

    return answer_and_observe


class VersionObservingPeers:
    """Sends messages, and learns from the versions in the replies."""

    def __init__(self, peers: PeerClient, on_versions: OnVersions) -> None:
        """Wrap the connections."""
        self._peers = peers
        self._on_versions = on_versions

    async def send(
        self,
        member_name: str,
        method: Method,
        message: Any,
        timeout_ms: int = 0,
    ) -> Any:
        """Call a unary method, and return its reply or a refusal."""
        reply = await self._peers.send(
            member_name,
            method,
            message,
            timeout_ms,
        )
        if not isinstance(reply, Refusal):
            self._on_versions(member_name, reply.versions)
        return reply
