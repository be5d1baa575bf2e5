"""Client of the platform's metadata store, with keyed topics over HTTP."""

import base64
import dataclasses
import functools
import operator
import struct
from urllib.parse import quote

import msgspec
import structlog

from lagoonflow.declared.positions import (
    MAX_ERA,
    UNSTATED_ERA,
    EraTracker,
    Position,
)
from lagoonflow.declared.records import (
    DEFAULT_LATE_MS,
    DEFAULT_OPTIONS,
    NEWEST_LATE_MS,
    Answer,
    EraChanged,
    HistoryExpired,
    HistoryTooLong,
    KeyedRecord,
    ReadOptions,
    RecordCut,
    RecordPage,
    StoreFailure,
)
from lagoonflow.http1.client import (
    ConnectionPool,
    Transfer,
    WholeResponse,
    send_request,
)
from lagoonflow.http1.messages import (
    ExchangeError,
    Headers,
    RequestHead,
    ResponseHead,
)

CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'
SERVERS_TOPIC = 'keyed.servers'
MEMBERS_TOPIC = 'keyed.lagoonflow-members'
CRASHES_TOPIC = 'keyed.lagoonflow-crashes'

OK_STATUS = 200
GONE_STATUS = 410
# Time beyond the wait of a long poll after which the poll fails, in ms.
POLL_TIMEOUT_MARGIN_MS = DEFAULT_LATE_MS
# Timeout of other calls, in ms; the store normally answers in a few ms.
CALL_TIMEOUT_MS = 1500
# Longest record that is read, in bytes; answers are longer by their framing and,
# where values are encoded as text, by a third.
MAX_RECORD_BYTES = 8_388_608
MAX_ANSWER_BYTES = 12_582_912
# Records of one page that are decoded. A page may be as long as the longest
# record, which would hold millions of tiny ones.
MAX_PAGE_RECORDS = 16_384
# All newest records of a topic.
MAX_NEWEST_RECORDS = 65_536
MAX_NEWEST_BYTES = 16_777_216
PARTITION = 0
ERA_HEADER = b'store-era'
# Digits of an era that are read; a greater number isn't one.
MAX_ERA_DIGITS = 18
_PAGE_HEAD = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class _NewestItem(msgspec.Struct):
    key: str
    value: str = ''
    offset: int = 0


class _NewestBody(msgspec.Struct):
    items: list[_NewestItem]
    end_offset: int
    has_more: bool = False


class _NewestRecords:
    """Newest records of a topic, as far as their pages have been read.

    :ivar next_position: from where to read changes. The pages aren't one
        consistent snapshot, so it is that of the first one.
    :ivar last_key: key after which the next page begins; empty for the first.
    """

    def __init__(self) -> None:
        self._items: list[tuple[int, KeyedRecord]] = []
        self.next_position: Position | None = None
        self.last_key = ''
        self._bytes = 0

    def add(self, body: _NewestBody, era: int) -> StoreFailure | None:
        """Add a page; return a failure if the pages don't seem to end.

        :param era: era of the store in which the page was read.
        :raises ValueError: when a value isn't encoded in base64.
        """
        if self.next_position is None:
            self.next_position = Position(era, body.end_offset)
        if era != self.next_position.era:
            return StoreFailure('the store was restored between two pages')
        for item in body.items:
            value = base64.b64decode(item.value) or None
            record = KeyedRecord(item.key, value)
            self._items.append((item.offset, record))
            self._bytes += len(item.key) + len(value or b'')
        if body.has_more and not body.items:
            return StoreFailure('a page without records before the last')
        if (
            len(self._items) > MAX_NEWEST_RECORDS
            or self._bytes > MAX_NEWEST_BYTES
        ):
            return StoreFailure('the newest records are too many or too long')
        last_key = body.items[-1].key if body.items else ''
        if body.has_more and last_key == self.last_key:
            return StoreFailure('a page that ends where it should begin')
        self.last_key = last_key
        return None

    def in_log_order(self) -> tuple[KeyedRecord, ...]:
        """Return the records in the order in which they were written."""
        ordered = sorted(self._items, key=operator.itemgetter(0))
        return tuple(record for _, record in ordered)


class _AppendBody(msgspec.Struct):
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _EraAnswer:
    """A response, and the era of the store that it states."""

    response: WholeResponse
    era: int


class _ReadEndedError(Exception):
    """What has arrived tells that the rest need not be read.

    :ivar answer: what it tells.
    """

    def __init__(
        self, answer: EraChanged | HistoryTooLong | RecordCut | StoreFailure
    ) -> None:
        super().__init__()
        self.answer = answer


class StoreClient:
    """Calls the metadata store.

    :param address: ``IP:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Create the client; it connects on the first call."""
        self._pool = ConnectionPool(address)
        self._host: Headers = ((b'host', address.encode()),)
        self._eras = EraTracker()
        self._log = structlog.get_logger(part='store')

    async def newest(
        self, topic: str, max_late_ms: float = NEWEST_LATE_MS
    ) -> RecordPage | StoreFailure:
        """Read the newest record of each key of a topic, page by page.

        :param max_late_ms: time within which each page has to begin, and
            longest pause between two parts of it, in ms.
        :returns: the records in the order of the log, and the position from
            which to read changes.
        """
        newest = _NewestRecords()
        while True:
            target = f'/log-newest?topic={topic}&part={PARTITION}'
            if newest.last_key:
                last_key = quote(newest.last_key, safe='')
                target = f'{target}&after={last_key}'
            answer = await self._get(target, max_late_ms)
            if isinstance(answer, StoreFailure):
                return answer
            body = _decode_json(answer.response.body, _NewestBody)
            if isinstance(body, StoreFailure):
                return body
            try:
                failure = newest.add(body, answer.era)
            except ValueError as error:
                return StoreFailure(f'malformed answer: {error}')
            if failure is not None:
                return failure
            if not body.has_more:
                return RecordPage(newest.in_log_order(), newest.next_position)

    async def read(
        self,
        topic: str,
        position: Position,
        wait_ms: int,
        options: ReadOptions = DEFAULT_OPTIONS,
    ) -> Answer:
        """Read the records of a topic from a position.

        :param wait_ms: longest time that the store waits for a first record
            before it answers with none.
        """
        target = (
            f'/log-read?topic={topic}&part={PARTITION}&from={position.offset}'
            f'&max_size={options.max_bytes}&wait_ms={wait_ms}'
        )
        transfer = Transfer(
            options.max_late_ms,
            functools.partial(self._note_part, options, position),
        )
        try:
            answer = await self._call(
                b'GET', target, b'', wait_ms + options.max_late_ms, transfer
            )
        except _ReadEndedError as ended:
            return ended.answer
        if isinstance(answer, StoreFailure):
            return answer
        if answer.era != position.era:
            return EraChanged()
        if answer.response.status == GONE_STATUS:
            return HistoryExpired()
        try:
            return _decode_page(answer.response.body, position)
        except (struct.error, ValueError) as error:
            return StoreFailure(f'malformed page: {error}')

    async def append(
        self, topic: str, key: str, value: bytes
    ) -> Position | StoreFailure:
        """Append a record to a topic and return its position."""
        encoded = key.encode()
        record = bytes([len(encoded)]) + encoded + value
        target = f'/log-append?topic={topic}&part={PARTITION}'
        answer = await self._call(
            b'POST',
            target,
            _LENGTH.pack(len(record)) + record,
            CALL_TIMEOUT_MS,
        )
        if isinstance(answer, StoreFailure):
            return answer
        body = _decode_json(answer.response.body, _AppendBody)
        if isinstance(body, StoreFailure):
            return body
        return Position(answer.era, body.offset)

    async def _get(
        self, target: str, max_late_ms: float
    ) -> _EraAnswer | StoreFailure:
        transfer = Transfer(max_late_ms, _ignore_part)
        return await self._call(b'GET', target, b'', max_late_ms, transfer)

    async def _call(
        self,
        method: bytes,
        target: str,
        body: bytes,
        timeout_ms: float,
        transfer: Transfer | None = None,
    ) -> _EraAnswer | StoreFailure:
        """Return the answer to a call that the store has carried out.

        An answer of an era that is over counts as a failure: the store may have
        lost what the call has done or told.
        """
        headers = self._host
        if method == b'POST':
            length = (b'content-length', str(len(body)).encode())
            headers = (*headers, length)
        head = RequestHead(method, target.encode(), headers)
        begun = self._eras.begin_request()
        may_have_run = method == b'POST'
        try:
            response = await send_request(
                self._pool, head, body, timeout_ms, MAX_ANSWER_BYTES, transfer
            )
        except ExchangeError as error:
            return StoreFailure(str(error), may_have_run=may_have_run)
        if response.status not in {OK_STATUS, GONE_STATUS}:
            return StoreFailure(f'status {response.status}')
        era = self._stated_era(response.headers)
        if not self._eras.is_current(era, begun):
            reason = f'an answer of the past era {era}'
            return StoreFailure(reason, may_have_run=may_have_run)
        return _EraAnswer(response, era)

    def _stated_era(self, headers: Headers) -> int:
        """Return the era that an answer states; one that can't be read is none."""
        stated = {text for name, text in headers if name.lower() == ERA_HEADER}
        if not stated:
            return UNSTATED_ERA
        text = stated.pop()
        is_number = text.isdigit() and len(text) <= MAX_ERA_DIGITS
        if stated or not is_number or int(text) > MAX_ERA:
            self._log.warning(
                'store era not readable',
                era=text[:MAX_ERA_DIGITS].decode('latin-1'),
                others=len(stated),
            )
            return UNSTATED_ERA
        return int(text)

    def _note_part(
        self,
        options: ReadOptions,
        position: Position,
        head: ResponseHead,
        body: bytearray,
    ) -> None:
        """Report progress, and end a read that can't be used.

        :raises _ReadEndedError: when it is of another era, when its first
            record is longer than asked for or than any that is read, or when
            too many bytes of records follow it.
        """
        if head.status != OK_STATUS or len(body) < (
            _PAGE_HEAD.size + _LENGTH.size
        ):
            return
        if self._stated_era(head.headers) != position.era:
            raise _ReadEndedError(EraChanged())
        _check_length(options, position.offset, head, body)
        if options.on_progress is not None:
            options.on_progress(len(body))


def evacuated_zone(key: str) -> str | None:
    """Return the zone that a key of the configuration's topic evacuates.

    :returns: ``None`` for other keys; the name may be empty or have slashes.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX)


def _ignore_part(head: ResponseHead, body: bytearray) -> None:
    """Nothing is known from a part."""


def _check_length(
    options: ReadOptions, offset: int, head: ResponseHead, body: bytearray
) -> None:
    """Raise an error if a page is too long to be read."""
    record_bytes = _LENGTH.size + _LENGTH.unpack_from(body, _PAGE_HEAD.size)[0]
    if record_bytes > MAX_RECORD_BYTES:
        reason = f'a record of {record_bytes} bytes is too long'
        raise _ReadEndedError(StoreFailure(reason))
    if record_bytes > options.max_bytes:
        raise _ReadEndedError(RecordCut(record_bytes))
    end_offset, _ = _PAGE_HEAD.unpack_from(body)
    following_bytes = _body_bytes(head) - _PAGE_HEAD.size - record_bytes
    if end_offset - offset > 1 and following_bytes > options.max_replaced_bytes:
        raise _ReadEndedError(HistoryTooLong())


def _body_bytes(head: ResponseHead) -> int:
    """Return the stated length of a body; 0 if it isn't stated."""
    length = head.get(b'content-length') or b''
    return int(length) if length.isdigit() else 0


def _decode_json(body: bytes, kind: type):
    # Each record is an object.
    if body.count(b'{') > MAX_PAGE_RECORDS:
        return StoreFailure('an answer of too many records', may_have_run=True)
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        return StoreFailure(f'malformed answer: {error}', may_have_run=True)


def _decode_page(body: bytes, start: Position) -> RecordPage:
    # Raises struct.error when the body is too short for the page head.
    end_offset, _ = _PAGE_HEAD.unpack_from(body)
    records: list[KeyedRecord] = []
    position = _PAGE_HEAD.size
    next_offset = start.offset
    end_of_page = start.offset + MAX_PAGE_RECORDS
    # Records beyond are read again with the next page, like one that is cut
    # off at the end.
    while position + _LENGTH.size <= len(body) and next_offset < end_of_page:
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        if position + length > len(body):
            if next_offset == start.offset:
                raise ValueError('the only record is cut off')
            break
        next_offset += 1
        record = _decode_record(body[position : position + length])
        if record is not None:
            records.append(record)
        position += length
    return RecordPage(
        tuple(records), start.at(next_offset), next_offset >= end_offset
    )


def _decode_record(raw: bytes) -> KeyedRecord | None:
    if not raw or len(raw) < 1 + raw[0]:
        return None
    key_end = 1 + raw[0]
    key = raw[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, raw[key_end:] or None)
