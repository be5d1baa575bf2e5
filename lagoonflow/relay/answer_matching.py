"""Whether an answer on a reused connection belongs to the request sent last.

A faulty server may write an earlier answer once more, so what is read next may
belong to an earlier request on the same connection.
"""

import dataclasses

from lagoonflow.http1.client import ClientConnection
from lagoonflow.http1.messages import ExchangeError, ExchangeStage
from lagoonflow.relay.messages import Answer


class AnswerMatcher:
    """Matches the answers on a connection with the request sent last.

    :param request_id: id of that request; empty if it has none.
    """

    def __init__(self, request_id: str, connection: ClientConnection) -> None:
        """Match nothing yet; the request is about to be sent."""
        self._request_id = request_id
        self._connection = connection
        self._is_identified = False

    def is_expected(self, answer: Answer, stated_id: bytes | None) -> bool:
        """Return whether an answer is taken as the one to the request.

        Servers state an id in all answers or in none. Where they do, a refusal
        without one may be an earlier one, so the next answer is awaited.

        :param stated_id: id of the answered request; ``None`` if unstated.
        :raises ExchangeError: for a success that can't be told from the answer
            to an earlier request.
        """
        if stated_id is not None:
            self._connection.has_stated_ids = True
            self._is_identified = stated_id == self._request_id.encode()
            return self._is_identified
        is_ambiguous = (
            bool(self._request_id)
            and self._connection.is_reused
            and self._connection.has_stated_ids
        )
        if is_ambiguous and answer.is_success:
            raise ExchangeError(ExchangeStage.SENT, 'the answer states no id')
        return not (is_ambiguous and answer.was_not_run)

    def believed(self, answer: Answer) -> Answer:
        """Return the expected answer without what may not concern the request.

        That the request has not run is believed only if the answer can't belong
        to an earlier request on the connection.
        """
        if not answer.was_not_run:
            return answer
        if self._connection.is_reused and not self._is_identified:
            return dataclasses.replace(answer, was_not_run=False)
        self._connection.refused_ids.add(self._request_id)
        return answer
