"""Messages between the system's processes and their msgpack encoding.

A frame contains one msgpack array ``[message number, field, ...]`` with the fields in the order of
the class definition. Unknown trailing fields are ignored and missing ones take their default, so
that processes of different versions can communicate. New fields may only be appended.
"""

from __future__ import annotations

import operator
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from typing import Any, TypeVar, cast

import msgpack

#: Maximum frame size in bytes: the store's maximum value size of 1 MB, plus the other fields.
MAX_FRAME_BYTES = 1_200_000
#: Maximum number of signatures cached per class; each field has only a few valid types.
_MAX_CACHED_SIGNATURES = 16


class MessageError(Exception):
    """A frame does not contain a valid message, or a message is too large for a frame."""


_T = TypeVar("_T")
_classes_by_number: dict[int, type] = {}
_numbers_by_class: dict[type, int] = {}
_defaults_by_class: dict[type, tuple[Callable[[], Any] | None, ...]] = {}
_field_types_by_class: dict[type, tuple[tuple[type, ...], ...]] = {}
_getters_by_class: dict[type, Callable[[Any], Any]] = {}
#: Cache of valid signatures (tuples of the types of the array's items) by class, which allows all
#: fields of a message to be checked with one lookup.
_valid_signatures_by_class: dict[type, set[tuple[type, ...]]] = {}

_ACCEPTED_BY_ANNOTATION: dict[str, tuple[type, ...]] = {
    "str": (str,),
    "int": (int,),
    "float": (int, float),
    "bool": (bool,),
    "bytes": (bytes,),
    "HeaderPairs": (list, tuple),
    "Strings": (list, tuple),
    "IntByName": (dict,),
    "FloatByName": (dict,),
    "Json": (dict,),
}

HeaderPairs = tuple[tuple[str, str], ...]
Strings = tuple[str, ...]
IntByName = dict[str, int]
FloatByName = dict[str, float]
Json = dict[str, Any]


def message(number: int) -> Callable[[type[_T]], type[_T]]:
    """Return a decorator that registers a frozen data class as the message ``number``."""

    def register(cls: type[_T]) -> type[_T]:
        if number in _classes_by_number:
            raise ValueError(f"message number {number} is already registered")
        _classes_by_number[number] = cls
        _numbers_by_class[cls] = number
        defaults: list[Callable[[], Any] | None] = []
        field_types: list[tuple[type, ...]] = []
        for item in fields(cast(Any, cls)):
            if item.default_factory is not MISSING:
                defaults.append(item.default_factory)
            elif item.default is not MISSING:
                defaults.append(lambda value=item.default: value)  # type: ignore[misc]
            else:
                defaults.append(None)
            field_types.append(_ACCEPTED_BY_ANNOTATION[str(item.type)])
        names = [item.name for item in fields(cast(Any, cls))]
        _getters_by_class[cls] = operator.attrgetter(*names, names[0])
        _valid_signatures_by_class[cls] = set()
        _defaults_by_class[cls] = tuple(defaults)
        _field_types_by_class[cls] = tuple(field_types)
        return cls

    return register


def get_message_number(cls: type) -> int:
    """Return the message number of a message class."""
    return _numbers_by_class[cls]


def encode_message(value: object) -> bytes:
    """Return the msgpack bytes of a message, without the length prefix.

    :raises MessageError: if the result exceeds :data:`MAX_FRAME_BYTES`.
    """
    cls = type(value)
    # The getter names the first field twice, so that it also returns a tuple for a single field.
    array = (_numbers_by_class[cls], *_getters_by_class[cls](value)[:-1])
    data = cast(bytes, msgpack.packb(array, use_bin_type=True))
    if len(data) > MAX_FRAME_BYTES:
        raise MessageError(f"{cls.__name__} of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return data


def decode_message(data: bytes) -> Any:
    """Return the message of a frame.

    :raises MessageError: if the bytes are not a known message with valid field types.
    """
    try:
        array = msgpack.unpackb(data, raw=False, strict_map_key=True, use_list=False)
    except Exception as error:
        raise MessageError(f"not msgpack: {type(error).__name__}") from error
    if not isinstance(array, tuple) or not array or not isinstance(array[0], int):
        raise MessageError("a frame must be an array that starts with a message number")
    cls = _classes_by_number.get(array[0])
    if cls is None:
        raise MessageError(f"unknown message number {array[0]}")
    field_types = _field_types_by_class[cls]
    valid_signatures = _valid_signatures_by_class[cls]
    signature = tuple(map(type, array))
    if signature in valid_signatures:
        return cls(*array[1:])
    defaults = _defaults_by_class[cls]
    values = []
    for index, accepted in enumerate(field_types):
        if index + 1 < len(array):
            value = array[index + 1]
            if not isinstance(value, accepted) or (type(value) is bool and bool not in accepted):
                raise MessageError(f"{cls.__name__} field {index} has type {type(value).__name__}")
        else:
            default = defaults[index]
            if default is None:
                raise MessageError(f"{cls.__name__} lacks field {index}")
            value = default()
        values.append(value)
    if len(signature) == len(field_types) + 1 and len(valid_signatures) < _MAX_CACHED_SIGNATURES:
        valid_signatures.add(signature)
    return cls(*values)


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """First message sent by each side of a stream.

    :param host: the host's name in the host list.
    :param process_id: random text generated at each start, to detect a replaced process.
    :param role: ``entry``, ``upstream`` or ``admin``.
    :param protocol: protocol version; 2 and above support ``Repeat``, 3 and above ``LimitReport``
        and ``LimitNotice``, 4 and above revisions of a restored store.
    """

    host: str
    process_id: str
    role: str
    availability_zone: str
    region: str
    protocol: int = 4


@message(2)
@dataclass(frozen=True, slots=True)
class Status:
    """Heartbeat of an upstream process to an entry host, sent every second and on each change.

    :param state: ``starting``, ``ready`` or ``leaving``.
    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param version: served version, empty if none.
    :param running: number of requests sent to the engine.
    :param waiting_by_rank: number of queued requests.
    :param wait_ms_by_rank: predicted time until a new request would start.
    :param window: maximum number of concurrent requests to the engine.
    :param prefixes: recent prefix keys that the engine probably has cached, newest first.
    :param tokens_per_s: recent generation rate, 0 if unknown.
    """

    state: str
    kind: str
    name: str
    version: str = ""
    running: int = 0
    waiting_by_rank: IntByName = field(default_factory=dict)
    wait_ms_by_rank: IntByName = field(default_factory=dict)
    window: int = 0
    table_revision: int = 0
    table_digest: str = ""
    prefixes: Strings = ()
    tokens_per_s: float = 0.0


@message(3)
@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Heartbeat of an entry host, sent every second; also used between upstream processes.

    :param state: ``ready`` or ``leaving``.
    """

    state: str
    table_revision: int
    table_digest: str


@message(4)
@dataclass(frozen=True, slots=True)
class Submit:
    """One attempt of one request.

    :param attempt_id: unique across all entry hosts and their restarts.
    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param time_left_ms: time left from now until the first token, or the response, is due.
    :param method: HTTP method.
    :param path: path and query to request from the upstream.
    :param idempotent: whether the request may safely be executed more than once.
    :param prefix_key: digest of the prompt's prefix, for the engine's cache; may be empty.
    :param estimated_tokens: prompt tokens plus the expected output tokens; the initial cost of the
        request in the queue.
    :param stream: whether the caller asked for server-sent events.
    """

    attempt_id: str
    kind: str
    name: str
    client_account: str
    rank: str
    time_left_ms: int
    method: str
    path: str
    headers: HeaderPairs
    body: bytes
    idempotent: bool
    prefix_key: str = ""
    estimated_tokens: int = 0
    stream: bool = False


@message(5)
@dataclass(frozen=True, slots=True)
class Started:
    """The attempt was passed to the engine or service."""

    attempt_id: str
    waited_ms: int = 0


@message(6)
@dataclass(frozen=True, slots=True)
class ResponseHead:
    """HTTP status and headers of the upstream's response; precedes any ``Output``."""

    attempt_id: str
    status: int
    headers: HeaderPairs
    version: str = ""


@message(7)
@dataclass(frozen=True, slots=True)
class Output:
    """A part of the response body.

    :param sequence: sequence number within the attempt, starting at 0.
    """

    attempt_id: str
    sequence: int
    data: bytes
    tokens: int = 0


@message(8)
@dataclass(frozen=True, slots=True)
class Finish:
    """The response is complete.

    :param outputs: number of ``Output`` messages sent.
    :param sha256: hex digest of their concatenated data.
    """

    attempt_id: str
    outputs: int
    sha256: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    version: str = ""


@message(9)
@dataclass(frozen=True, slots=True)
class Refuse:
    """The attempt ended without a complete response.

    :param code: number of the result code.
    :param executed: ``no``, ``unknown`` or ``yes``.
    """

    attempt_id: str
    code: int
    executed: str
    retry_after_ms: int = 0
    detail: str = ""


@message(10)
@dataclass(frozen=True, slots=True)
class Cancel:
    """Requests that an attempt be stopped and cancelled in the engine."""

    attempt_id: str


@message(20)
@dataclass(frozen=True, slots=True)
class TableAnnounce:
    """Announces the table revision that is active at the sender."""

    revision: int
    digest: str


@message(21)
@dataclass(frozen=True, slots=True)
class TableFetch:
    """Requests the root of the table and the pages that the sender does not have.

    :param revision: minimum revision requested.
    :param held: digests of pages that need not be sent.
    """

    revision: int
    held: Strings = ()


@message(22)
@dataclass(frozen=True, slots=True)
class TablePages:
    """Reply to ``TableFetch``; also sent without a request for a small change.

    :param root: JSON text of the root.
    :param pages: JSON texts of pages; their digests are computed by the receiver.
    """

    root: str
    pages: Strings = ()


@message(30)
@dataclass(frozen=True, slots=True)
class ChunkHave:
    """Announces which chunks of a version a host holds.

    :param bitmap: bit i, least significant first, is set if chunk i is held.
    :param uploaded: bytes of this version sent to peers so far.
    :param closed: whether the host accepts no chunk requests.
    :param fetches: whether the host currently fetches its share of the chunks from the origin.
    :param from_origin: bytes of this version requested from the origin so far.
    :param spent: whether the host can't upload the next chunk that it fetches.
    """

    version: str
    bitmap: bytes
    uploaded: int = 0
    closed: bool = False
    fetches: bool = True
    from_origin: int = 0
    spent: bool = False


@message(31)
@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Requests one chunk by its digest."""

    version: str
    digest: str


@message(32)
@dataclass(frozen=True, slots=True)
class ChunkData:
    """One chunk, which the receiver verifies before storing it."""

    digest: str
    data: bytes


@message(33)
@dataclass(frozen=True, slots=True)
class ChunkDecline:
    """Refuses a chunk request.

    :param reason: ``absent``, ``budget``, ``busy`` or ``unlisted``. The last one says that the sender
        holds the version completely, and that its manifest does not contain the chunk.
    """

    digest: str
    reason: str


@message(34)
@dataclass(frozen=True, slots=True)
class ChunkSlice:
    """A part of one chunk, for links that carry both live requests and weights.

    :param offset: position of the first byte within the chunk.
    :param total: size of the chunk in bytes.
    """

    digest: str
    offset: int
    total: int
    data: bytes


@message(40)
@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """Transfers part of a limit's allowance to another entry host; the sender has subtracted it.

    :param key: the limit, as ``model|client account|rank|cell``.
    :param minute: not used; the time of a loan is that of the ``AllowanceAsk`` it replies to.
    :param amount: number of requests or tokens; 0 declines an ``AllowanceAsk``.
    :param number: number of the ``AllowanceAsk`` that this replies to, or of the loan that this
        returns.
    """

    key: str
    minute: int
    amount: float
    number: int = 0


@message(41)
@dataclass(frozen=True, slots=True)
class AllowanceAsk:
    """Requests unused allowance of a limit from another entry host.

    :param minute: not used; the time of a loan is that of the request it replies to.
    :param number: random number that the reply repeats, so that a late reply is recognized.
    """

    key: str
    minute: int
    amount: float
    number: int = 0


@message(50)
@dataclass(frozen=True, slots=True)
class CensusQuery:
    """Asks a process for its active table revision and version."""

    query_id: str


@message(51)
@dataclass(frozen=True, slots=True)
class CensusReply:
    """Reply to ``CensusQuery``.

    :param unmet: targets of the table that are not met, each as a sentence that states the reason.
    """

    query_id: str
    host: str
    role: str
    availability_zone: str
    table_revision: int
    version: str = ""
    unmet: Strings = ()


@message(60)
@dataclass(frozen=True, slots=True)
class Repeat:
    """Heartbeat that replaces a message equal to the last one of its class on the same stream.

    :param number: message number of the class.
    """

    number: int


@message(70)
@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of the engine on the sender's host, sent to entry hosts.

    :param address: ``IP:PORT`` of the engine.
    :param running: number of requests in the batch.
    :param waiting: number of requests that the engine has accepted but not started.
    :param pace: factor on the published timings; values above 1 are slower.
    :param is_loading: whether the engine accepts no new requests because it is loading weights.
    :param versions: versions of the weights by model.
    :param entry_hosts: number of entry hosts connected to the sender.
    :param open_requests: number of requests at the engine according to the latest reports of its
        entry hosts. The engine's own figures are older, by 200 ms on the users' machines.
    :param pending_prompt_tokens: prompt tokens of the open requests without output so far.
    :param cold_remaining_ms: time until the engine is warm, in milliseconds.
    """

    address: str
    running: int
    waiting: int
    pace: float
    is_loading: bool
    versions: IntByName = field(default_factory=dict)
    entry_hosts: int = 0
    open_requests: int = 0
    pending_prompt_tokens: int = 0
    cold_remaining_ms: int = 0


@message(74)
@dataclass(frozen=True, slots=True)
class EngineUse:
    """An entry host's requests at the engine on the receiver's host; replaces its earlier reports.

    :param open_requests: number of requests sent that have not ended.
    :param pending_prompt_tokens: prompt tokens of the open requests without output so far.
    """

    open_requests: int
    pending_prompt_tokens: int


@message(71)
@dataclass(frozen=True, slots=True)
class DocumentAnnounce:
    """Announces the revisions of the documents that the sender holds, by key.

    In this and the following messages, revisions are positions (see ``store_position``).
    """

    revisions: IntByName


@message(75)
@dataclass(frozen=True, slots=True)
class DocumentProgress:
    """Tells the processes of an availability zone that a process watches a prefix in the store.

    :param host: the process that watches the prefix; the sender may be relaying its message.
    :param age_s: time since the store last responded to that process, in seconds.
    :param revision: store revision up to which the sender's documents are complete.
    :param revisions: revisions of the documents below the prefix, by key; empty if ``digest`` is
        sent instead.
    :param digest: digest of the keys and revisions of the documents below the prefix; 0 if
        ``revisions`` is sent.
    """

    prefix: str
    host: str
    is_entry: bool
    revision: int
    revisions: IntByName
    age_s: float
    digest: int = 0


@message(77)
@dataclass(frozen=True, slots=True)
class DocumentProgressAsk:
    """Requests the progress below a prefix with all revisions, because the digests differ."""

    prefix: str


@message(78)
@dataclass(frozen=True, slots=True)
class DocumentClaim:
    """Tells the processes of an availability zone that a process starts to watch a store prefix.

    :param host: the process that starts to watch; the sender may be relaying its message.
    """

    prefix: str
    host: str


@message(76)
@dataclass(frozen=True, slots=True)
class DocumentReaders:
    """Entry hosts chosen to watch large documents in the store for their availability zone."""

    hosts: Strings


@message(72)
@dataclass(frozen=True, slots=True)
class DocumentFetch:
    """Requests documents by key."""

    keys: Strings


@message(73)
@dataclass(frozen=True, slots=True)
class DocumentData:
    """One document.

    :param revision: store revision of its last change.
    :param value: content compressed with zlib; empty if the document was deleted.
    """

    key: str
    revision: int
    value: bytes
    is_deleted: bool = False


@message(80)
@dataclass(frozen=True, slots=True)
class LostRequest:
    """Sent by an entry host: the engine on the receiver's host lost a request or may have lost it.

    The receiver takes it for evidence only if it loses the engine as well.

    :param parts: ids of the parts of its prompt that other requests may share.
    """

    parts: Strings


@message(81)
@dataclass(frozen=True, slots=True)
class EngineCrash:
    """The requests that were lost with an engine.

    :param engine: identifies the lifetime of the engine.
    :param prompts: the parts of each prompt, separated by commas.
    """

    engine: str
    prompts: Strings


@message(82)
@dataclass(frozen=True, slots=True)
class SuspectedParts:
    """Asks entry hosts for those of the parts with which they recently relayed complete answers."""

    parts: Strings


@message(83)
@dataclass(frozen=True, slots=True)
class SoundParts:
    """The parts in question with which the sender recently relayed complete answers, maybe none."""

    parts: Strings


@message(84)
@dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """A part of prompts that entry hosts do not send to engines.

    :param seconds: remaining time in quarantine.
    """

    part: str
    seconds: float


@message(85)
@dataclass(frozen=True, slots=True)
class LimitReport:
    """Sent by an entry host: the limit that the engine on the receiver's host named in an answer.

    :param instance: instance id of the engine.
    :param started_ms: start of the instance in Unix milliseconds.
    :param requests_per_s: limit in requests per second; infinite if an answer named none any more.
    :param age_s: time since the engine named it, in seconds.
    :param needs_permit: whether the sender needs a permit for a request.
    :param level: priority level of that request, 0 for the most urgent.
    """

    instance: str
    started_ms: int
    requests_per_s: float
    age_s: float
    needs_permit: bool = False
    level: int = 0


@message(86)
@dataclass(frozen=True, slots=True)
class LimitNotice:
    """The newest known limit of the engine on the sender's host, for its entry hosts.

    :param instance: instance id of the engine.
    :param started_ms: start of the instance in Unix milliseconds.
    :param requests_per_s: as for ``LimitReport``.
    :param age_s: as for ``LimitReport``.
    :param permits: number of requests that the receiver may send.
    """

    instance: str
    started_ms: int
    requests_per_s: float
    age_s: float
    permits: int = 0
