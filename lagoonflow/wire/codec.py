"""MessagePack codec for grpclib: the data classes are the schema."""

from typing import Any

import msgspec
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError


class MessagePackCodec(CodecBase):
    """Encodes data classes as MessagePack; unknown fields are ignored."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message.

        :raises GRPCError: when the message is of another type.
        """
        if not isinstance(message, message_type):
            raise GRPCError(Status.INTERNAL, 'message of another type')
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and validate one message.

        :raises GRPCError: when the bytes are not a valid message.
        """
        try:
            return msgspec.msgpack.decode(data, type=message_type)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
