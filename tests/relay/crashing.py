"""Backend servers that crash under certain requests."""

import asyncio
import enum

from lagoonflow.clock import boottime_ms
from tests.relay.harness import (
    Backend,
    ReceivedRequest,
    RelayHarness,
    answer_events,
    answer_with,
    encode_request,
    read_framed_answer,
)

WHOLE_ANSWER_DELAY_S = 0.03
STREAM_PATHS = ('/once/', '/resume/')


class Moment(enum.Enum):
    """What a server has sent when it crashes."""

    NOTHING = 'before any byte'
    SOME = 'amid the answer'
    ALL = 'after the whole answer'


class CrashingBackend(Backend):
    """A server that crashes under the requests for which it is told so.

    :param is_bad: tells whether a request crashes it.
    :param work_s: time that a sound request takes.
    """

    def __init__(self, is_bad, moment=Moment.NOTHING, work_s=0) -> None:
        super().__init__(self._answer)
        self.has_crashed = False
        self.moment = moment
        self._is_bad = is_bad
        self._work_s = work_s
        self._writers = set()

    async def _answer(self, writer, received: ReceivedRequest):
        self._writers.add(writer)
        if not self._is_bad(received):
            await asyncio.sleep(self._work_s)
            return await _sound_answer(received)(writer, received)
        match self.moment:
            case Moment.SOME:
                await answer_events(1, 2, ends=False)(writer, received)
            case Moment.ALL:
                await _sound_answer(received)(writer, received)
                await asyncio.sleep(WHOLE_ANSWER_DELAY_S)
        self.crash()
        return False

    def crash(self) -> None:
        self.has_crashed = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


def _sound_answer(received: ReceivedRequest):
    if received.target.startswith(STREAM_PATHS):
        return answer_events(1, 2)
    return answer_with('200 OK', 'fine')


async def crashing_fleet(count, *options):
    """Return a relay that listens, and its servers, which may crash."""
    harness = RelayHarness()
    await harness.http.listen('127.0.0.1:0')
    backends = [CrashingBackend(*options) for _ in range(count)]
    for index, backend in enumerate(backends):
        server = await backend.start(f'i-{index}', 'app')
        harness.fleet.roster.put(server, boottime_ms())
    return harness, backends


async def ask(harness, path, *headers, body=''):
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await harness.open_connection()
    writer.write(encode_request(path, *headers, body=body))
    answer = await read_framed_answer(reader)
    writer.close()
    return answer
