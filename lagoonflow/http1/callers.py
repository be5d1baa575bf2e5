"""What a server knows of the callers at the other end of its connections."""

from lagoonflow.http1.channel import Channel, is_writable


class Caller:
    """The caller at the other end of a connection."""

    def __init__(self, channel: Channel) -> None:
        """Look at the given connection."""
        self._channel = channel

    @property
    def has_closed(self) -> bool:
        """Whether it sends no more, or its connection has ended."""
        channel = self._channel
        return channel.has_peer_closed or not is_writable(channel)

    @property
    def is_half_closed(self) -> bool:
        """Whether it sends no more, but may still read.

        This is all that shows of a caller that has left, too, until something
        is sent to it.
        """
        return self._channel.has_peer_closed and is_writable(self._channel)
