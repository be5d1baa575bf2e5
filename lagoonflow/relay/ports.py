"""Interface that the relay needs of the platform's message format."""

from typing import Protocol

from lagoonflow.http1.body_parts import Body
from lagoonflow.http1.messages import Headers, RequestHead, ResponseHead
from lagoonflow.relay.messages import Answer, Call, Target


class CallCodec(Protocol):
    """Translates between the relay's messages and HTTP heads."""

    def decode_call(self, head: RequestHead, body: Body) -> Call:
        """Decode a caller's request."""

    def encode_call(self, call: Call, target: Target) -> RequestHead:
        """Return the request head that a backend server receives."""

    def answered_id(self, head: ResponseHead) -> bytes | None:
        """Return the id of the call that an answer states; ``None`` for none."""

    def decode_answer(self, head: ResponseHead) -> Answer:
        """Decode the head of a backend server's answer."""

    def forwarded_answer_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""
