"""Messages between the system's processes and their msgpack encoding.

A frame holds one msgpack array ``[type number, field, ...]`` in the order of the class's fields.
Unknown trailing fields are ignored and missing ones take their default, so that processes of
different versions can talk; fields are only ever appended.
"""

from __future__ import annotations

import operator
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from typing import Any, TypeVar, cast

import msgpack

#: Largest frame, in bytes: the store's largest value is 1 MB, plus the frame's own fields.
MAX_FRAME_BYTES = 1_200_000
#: Sets of field types that are remembered per class; a field has few valid types.
_MAX_PASSED = 16


class MessageError(Exception):
    """A frame does not hold a valid message."""


_T = TypeVar("_T")
_types_by_number: dict[int, type] = {}
_numbers_by_type: dict[type, int] = {}
_defaults_by_type: dict[type, tuple[Callable[[], Any] | None, ...]] = {}
_checks_by_type: dict[type, tuple[tuple[type, ...], ...]] = {}
_getters_by_type: dict[type, Callable[[Any], Any]] = {}
#: Field types that passed the checks before, by class, so that they are compared at once.
_passed_by_type: dict[type, set[tuple[type, ...]]] = {}

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
    """Register a frozen data class as the message of ``number``."""

    def register(cls: type[_T]) -> type[_T]:
        if number in _types_by_number:
            raise ValueError(f"message number {number} is taken")
        _types_by_number[number] = cls
        _numbers_by_type[cls] = number
        defaults: list[Callable[[], Any] | None] = []
        checks: list[tuple[type, ...]] = []
        for item in fields(cast(Any, cls)):
            if item.default_factory is not MISSING:
                defaults.append(item.default_factory)
            elif item.default is not MISSING:
                defaults.append(lambda value=item.default: value)  # type: ignore[misc]
            else:
                defaults.append(None)
            checks.append(_ACCEPTED_BY_ANNOTATION[str(item.type)])
        names = [item.name for item in fields(cast(Any, cls))]
        _getters_by_type[cls] = operator.attrgetter(*names, names[0])
        _passed_by_type[cls] = set()
        _defaults_by_type[cls] = tuple(defaults)
        _checks_by_type[cls] = tuple(checks)
        return cls

    return register


def get_message_number(cls: type) -> int:
    """Return the message number of a class."""
    return _numbers_by_type[cls]


def encode_message(value: object) -> bytes:
    """Return the msgpack bytes of a message, without the length prefix.

    :raises MessageError: if the result exceeds :data:`MAX_FRAME_BYTES`.
    """
    cls = type(value)
    # The getter names the first field twice, so that it returns a tuple for one field, too.
    row = (_numbers_by_type[cls], *_getters_by_type[cls](value)[:-1])
    data = cast(bytes, msgpack.packb(row, use_bin_type=True))
    if len(data) > MAX_FRAME_BYTES:
        raise MessageError(f"{cls.__name__} of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return data


def decode_message(data: bytes) -> Any:
    """Return the message of a frame.

    :raises MessageError: if the bytes are no known, well-typed message.
    """
    try:
        row = msgpack.unpackb(data, raw=False, strict_map_key=True, use_list=False)
    except Exception as error:
        raise MessageError(f"not msgpack: {type(error).__name__}") from error
    if not isinstance(row, tuple) or not row or not isinstance(row[0], int):
        raise MessageError("a frame must be an array that starts with a type number")
    cls = _types_by_number.get(row[0])
    if cls is None:
        raise MessageError(f"unknown message number {row[0]}")
    checks = _checks_by_type[cls]
    passed = _passed_by_type[cls]
    types = tuple(map(type, row))
    if types in passed:
        return cls(*row[1:])
    defaults = _defaults_by_type[cls]
    values = []
    for index, accepted in enumerate(checks):
        if index + 1 < len(row):
            value = row[index + 1]
            if not isinstance(value, accepted) or (type(value) is bool and bool not in accepted):
                raise MessageError(f"{cls.__name__} field {index} has type {type(value).__name__}")
        else:
            default = defaults[index]
            if default is None:
                raise MessageError(f"{cls.__name__} lacks field {index}")
            value = default()
        values.append(value)
    if len(types) == len(checks) + 1 and len(passed) < _MAX_PASSED:
        passed.add(types)
    return cls(*values)


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side of a stream.

    :param host: the host's name in the host list.
    :param process_id: random text per start of the process; tells a replaced process.
    :param role: ``entry``, ``upstream`` or ``admin``.
    :param protocol: 2 and above understand ``Repeat``.
    """

    host: str
    process_id: str
    role: str
    availability_zone: str
    region: str
    protocol: int = 2


@message(2)
@dataclass(frozen=True, slots=True)
class Status:
    """Heartbeat of an upstream process to an entry host, each second and on change.

    :param state: ``starting``, ``ready`` or ``leaving``.
    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param version: version served, empty if none.
    :param running: requests given to the engine.
    :param waiting_by_rank: requests in the queue.
    :param wait_ms_by_rank: predicted time until a new request would start.
    :param window: how many requests the engine is given at once.
    :param prefixes: recent prefix keys whose cache the engine probably holds, newest first.
    :param tokens_per_s: generation rate of late, 0 if unknown.
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
    """Heartbeat of an entry host, each second; also between upstream processes.

    :param state: ``ready`` or ``leaving``.
    """

    state: str
    table_revision: int
    table_digest: str


@message(4)
@dataclass(frozen=True, slots=True)
class Submit:
    """One attempt of one request.

    :param attempt_id: unique over all entry hosts and starts.
    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param time_left_ms: time to the first token (or the answer) from now on.
    :param method: HTTP method.
    :param path: path and query at the upstream.
    :param idempotent: whether a repeat is harmless.
    :param prefix_key: digest of the prompt's prefix, for the engine's cache; may be empty.
    :param estimated_tokens: prompt tokens plus the expected output, the first cost in the queue.
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
    """The attempt was handed to the engine or service."""

    attempt_id: str
    waited_ms: int = 0


@message(6)
@dataclass(frozen=True, slots=True)
class ResponseHead:
    """HTTP status and headers of the upstream's answer; comes before any ``Output``."""

    attempt_id: str
    status: int
    headers: HeaderPairs
    version: str = ""


@message(7)
@dataclass(frozen=True, slots=True)
class Output:
    """A part of the answer's body.

    :param sequence: counts from 0 within the attempt.
    """

    attempt_id: str
    sequence: int
    data: bytes
    tokens: int = 0


@message(8)
@dataclass(frozen=True, slots=True)
class Finish:
    """The answer is whole.

    :param outputs: how many ``Output`` messages were sent.
    :param sha256: hex digest of their data in sequence.
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
    """The attempt has no (whole) answer.

    :param code: number of a result code.
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
    """Stop an attempt and cancel it in the engine."""

    attempt_id: str


@message(20)
@dataclass(frozen=True, slots=True)
class TableAnnounce:
    """A revision that the sender has in force."""

    revision: int
    digest: str


@message(21)
@dataclass(frozen=True, slots=True)
class TableFetch:
    """Asks for the root and the pages not held.

    :param revision: at least this revision is wanted.
    :param held: digests of pages that need not be sent.
    """

    revision: int
    held: Strings = ()


@message(22)
@dataclass(frozen=True, slots=True)
class TablePages:
    """Answers ``TableFetch``; also sent unasked with a small change.

    :param root: JSON text of the root.
    :param pages: JSON texts of pages; their digests are computed by the receiver.
    """

    root: str
    pages: Strings = ()


@message(30)
@dataclass(frozen=True, slots=True)
class ChunkHave:
    """Which chunks of a version a host holds.

    :param bitmap: bit i, least significant first, tells whether chunk i is held.
    :param uploaded: bytes of this version sent to peers so far.
    :param closed: whether the host takes no requests for chunks.
    :param fetches: whether the host fetches its share of the chunks from the origin now.
    :param from_origin: bytes of this version asked of the origin so far.
    """

    version: str
    bitmap: bytes
    uploaded: int = 0
    closed: bool = False
    fetches: bool = True
    from_origin: int = 0


@message(31)
@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks for one chunk by its digest."""

    version: str
    digest: str


@message(32)
@dataclass(frozen=True, slots=True)
class ChunkData:
    """One chunk; the receiver verifies it before it stores it."""

    digest: str
    data: bytes


@message(33)
@dataclass(frozen=True, slots=True)
class ChunkDecline:
    """The chunk is not sent.

    :param reason: ``absent``, ``budget`` or ``busy``.
    """

    digest: str
    reason: str


@message(34)
@dataclass(frozen=True, slots=True)
class ChunkSlice:
    """A part of one chunk, for links that live requests share with weights.

    :param offset: position of the first byte in the chunk.
    :param total: size of the chunk in bytes.
    """

    digest: str
    offset: int
    total: int
    data: bytes


@message(40)
@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """Hands allowance of a limit to another entry host; the sender has subtracted it.

    :param key: the limit, ``model|client account|rank|cell``.
    :param minute: not used; loans are timed by the ask that they answer.
    :param amount: requests or tokens; 0 answers an ask with nothing.
    :param number: the number of the ask that it answers, or of the loan that it returns.
    """

    key: str
    minute: int
    amount: float
    number: int = 0


@message(41)
@dataclass(frozen=True, slots=True)
class AllowanceAsk:
    """Asks a neighbour for allowance that it does not need.

    :param minute: not used; loans are timed by the ask that they answer.
    :param number: random; the answer repeats it, so that a late answer is known as such.
    """

    key: str
    minute: int
    amount: float
    number: int = 0


@message(50)
@dataclass(frozen=True, slots=True)
class CensusQuery:
    """Asks a process what it has in force."""

    query_id: str


@message(51)
@dataclass(frozen=True, slots=True)
class CensusReply:
    """Answers ``CensusQuery``.

    :param unmet: targets of the table that are not met, each a sentence with its reason.
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
    """Heartbeat in place of a message that equals the last one of its type on the same stream.

    :param number: message number of the type.
    """

    number: int


@message(70)
@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of the engine beside the sender, to entry hosts.

    :param address: ``IP:PORT`` of the engine.
    :param running: requests in the batch.
    :param waiting: requests that the engine has accepted and not begun.
    :param pace: factor on the published timings; over 1 is slower.
    :param is_loading: whether the engine takes no new requests because it loads weights.
    :param versions: versions of the weights by model.
    :param entry_hosts: entry hosts that the sender has a stream with.
    :param open_requests: requests at the engine by what its entry hosts said last. The engine's own
        figures are older: 200 ms on the users' machines.
    :param pending_prompt_tokens: prompt tokens of those without output so far.
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


@message(74)
@dataclass(frozen=True, slots=True)
class EngineUse:
    """An entry host's requests at the engine beside the receiver; replaces what it said before.

    :param open_requests: requests sent and not ended.
    :param pending_prompt_tokens: prompt tokens of those without output so far.
    """

    open_requests: int
    pending_prompt_tokens: int


@message(71)
@dataclass(frozen=True, slots=True)
class DocumentAnnounce:
    """Revisions of documents that the sender holds, by key."""

    revisions: IntByName


@message(75)
@dataclass(frozen=True, slots=True)
class DocumentProgress:
    """A process follows a prefix in the store; told to processes of its availability zone.

    :param host: the process that follows it; the sender may only pass on what that one told.
    :param age_s: time since the store answered it last, in seconds.
    :param revision: the store's revision up to which the sender's documents are complete.
    :param revisions: revisions of the documents below the prefix, by key; empty if a digest stands
        for them.
    :param digest: of the keys and revisions of the documents below the prefix; 0 if ``revisions``
        tells them.
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
    """Asks for the progress below a prefix with all revisions: the digests differ."""

    prefix: str


@message(78)
@dataclass(frozen=True, slots=True)
class DocumentClaim:
    """A process begins to follow a prefix in the store; told to processes of its availability zone.

    :param host: the process that begins; the sender may pass on what that one told.
    """

    prefix: str
    host: str


@message(76)
@dataclass(frozen=True, slots=True)
class DocumentReaders:
    """Entry hosts that are to follow large documents in the store for their availability zone."""

    hosts: Strings


@message(72)
@dataclass(frozen=True, slots=True)
class DocumentFetch:
    """Asks for documents."""

    keys: Strings


@message(73)
@dataclass(frozen=True, slots=True)
class DocumentData:
    """One document.

    :param revision: the store's revision of its last change.
    :param value: its bytes, compressed by zlib; empty if it was deleted.
    """

    key: str
    revision: int
    value: bytes
    is_deleted: bool = False
