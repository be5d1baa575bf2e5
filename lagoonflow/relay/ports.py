"""What the relay needs from its surroundings."""

from typing import Protocol

from lagoonflow.http1.messages import AnswerHead, Headers, RequestHead
from lagoonflow.relay.messages import Answer, Call, Target


class CallCodec(Protocol):
    """Translates between messages and their headers."""

    def decode_call(self, head: RequestHead, body: bytes) -> Call:
        """Decode a caller's request."""

    def encode_call(self, call: Call, target: Target) -> RequestHead:
        """Return the head of a call as a backend server gets it."""

    def answers_call(self, call: Call, head: AnswerHead) -> bool:
        """Tell whether an answer belongs to a call."""

    def decode_answer(self, head: AnswerHead) -> Answer:
        """Decode the head of an answer."""

    def forwarded_answer_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of an answer that the caller gets."""
