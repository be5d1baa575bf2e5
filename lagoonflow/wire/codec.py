"""MessagePack codec for grpclib; data classes define the messages."""

from typing import Any

import msgspec
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

# RecursionError is raised for input that is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
ENCODE_ERRORS = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    TypeError,
    UnicodeEncodeError,
)


class MessagePackCodec(CodecBase):
    """Encodes data classes as MessagePack; unknown fields are ignored."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message.

        :raises GRPCError: when the message has another type, or holds a
            value that can't be encoded.
        """
        if not isinstance(message, message_type):
            raise GRPCError(Status.INTERNAL, 'message has the wrong type')
        try:
            return msgspec.msgpack.encode(message)
        except ENCODE_ERRORS as error:
            raise GRPCError(Status.INTERNAL, str(error)) from error

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and validate one message.

        :raises GRPCError: when the bytes are not a valid message.
        """
        try:
            return msgspec.msgpack.decode(data, type=message_type)
        except DECODE_ERRORS as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
