"""Passes on the stream versions that incoming messages and replies carry.

Every message states how far its sender has read the streams. A process that
has read less learns from this that it has to pull records.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.methods import Method
from lagoonflow.wire.peer_client import PeerClient

SENDER_FIELDS = ('router', 'agent', 'home', 'borrower', 'giver', 'sender')

OnVersions = Callable[[str, Versions], None]
Handler = Callable[[Any], Awaitable[Any]]


def sender_of(message: Any) -> str:
    """Return the name of a message's sender; empty when it has none."""
    for field in SENDER_FIELDS:
        name = getattr(message, field, '')
        if name:
            return name
    return ''


def observe_sender_versions(
    handler: Handler, on_versions: OnVersions
) -> Handler:
    """Wrap a unary handler, so that the sender's versions are passed on first.

    :param handler: handles the message and returns the reply.
    :param on_versions: called with the sender's name and versions.
    """

    async def observe_and_handle(message: Any) -> Any:
        sender = sender_of(message)
        if sender:
            on_versions(sender, message.versions)
        return await handler(message)

    return observe_and_handle


class VersionObservingPeers:
    """Sends messages to peers, and passes on the versions in the replies.

    :param peers: connections to the other processes.
    :param on_versions: called with a peer's name and versions.
    """

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
        """Call a unary method of a member, and return its reply or a refusal.

        :param timeout_ms: longest wait for the reply; 0 for the default.
        """
        reply = await self._peers.send(
            member_name,
            method,
            message,
            timeout_ms,
        )
        if not isinstance(reply, Refusal):
            self._on_versions(member_name, reply.versions)
        return reply
