"""Attempts on upstream processes: sent as ``Submit``, answered by id, checked for wholeness."""

from __future__ import annotations

import hashlib
import secrets
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from sycamoreproxy import result_codes as codes
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    Cancel,
    Finish,
    HeaderPairs,
    MessageError,
    Output,
    Refuse,
    ResponseHead,
    Started,
    Submit,
)
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.result_codes import Executed, Refusal

_log = get_logger("upstream_links")


@dataclass(frozen=True, slots=True)
class CompletedAttempt:
    """A whole answer: count, digest and version of ``Finish`` match what was received."""

    prompt_tokens: int
    output_tokens: int
    version: str


class AttemptListener(Protocol):
    """Receives what happens to one attempt; no method may block or raise."""

    def on_started(self) -> None:
        """The upstream handed the attempt to the engine or service."""

    def on_head(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Status and headers of the answer; precedes every output."""

    def on_output(self, data: bytes, tokens: int) -> None:
        """The next part of the body, in sequence."""

    def on_end(self, end: CompletedAttempt | Refusal) -> None:
        """The attempt ended; called exactly once, unless it was cancelled."""


class Attempt:
    """One attempt in progress.

    :param attempt_id: unique over all entry hosts and starts.
    :param peer: the stream that it was sent on; messages from any other are not for it.
    """

    __slots__ = (
        "attempt_id",
        "has_started",
        "listener",
        "next_sequence",
        "peer",
        "sha256",
        "version",
    )

    def __init__(self, *, attempt_id: str, peer: Peer, listener: AttemptListener) -> None:
        self.attempt_id = attempt_id
        self.peer = peer
        self.listener = listener
        self.next_sequence = 0
        self.sha256 = hashlib.sha256()
        self.has_started = False
        #: Version named by the head; None until the head arrived.
        self.version: str | None = None


class UpstreamLinks:
    """Owns the attempts of this entry host on the streams of a :class:`PeerHub`.

    :param hub: streams of the process; the handlers of answers are registered on it.
    """

    def __init__(self, *, hub: PeerHub) -> None:
        self._attempts_by_id: dict[str, Attempt] = {}
        self._id_prefix = secrets.token_hex(6)
        self._last_number = 0
        #: Messages for no attempt of their stream, by reason: late ones after a cancel, and
        #: crossed ones that name an attempt of another stream.
        self.unmatched_messages: Counter[str] = Counter()
        hub.on(Output, self._take_output)
        hub.on(Started, self._take_started)
        hub.on(ResponseHead, self._take_head)
        hub.on(Finish, self._take_finish)
        hub.on(Refuse, self._take_refuse)
        hub.on_close(self._end_attempts_of)

    @property
    def open_attempts(self) -> int:
        """How many attempts are in progress."""
        return len(self._attempts_by_id)

    def make_id(self) -> str:
        """Return a new attempt id."""
        self._last_number += 1
        return f"{self._id_prefix}-{self._last_number:x}"

    def submit(self, peer: Peer, submit: Submit, listener: AttemptListener) -> Attempt | None:
        """Send an attempt.

        :returns: the attempt, or None if nothing was written, so that it certainly was not run.
        :raises MessageError: if the request does not fit a frame; nothing was written.
        """
        attempt = Attempt(attempt_id=submit.attempt_id, peer=peer, listener=listener)
        self._attempts_by_id[submit.attempt_id] = attempt
        try:
            sent = peer.send(submit)
        except MessageError:
            self._attempts_by_id.pop(submit.attempt_id, None)
            raise
        if not sent:
            self._attempts_by_id.pop(submit.attempt_id, None)
            return None
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt if it is still in progress; its listener hears nothing more."""
        if self._attempts_by_id.pop(attempt.attempt_id, None) is not None:
            attempt.peer.send(Cancel(attempt.attempt_id))

    def _find(self, peer: Peer, attempt_id: str) -> Attempt | None:
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None:
            self.unmatched_messages["late"] += 1
            return None
        if attempt.peer is not peer:
            self.unmatched_messages["wrong_stream"] += 1
            return None
        return attempt

    def _take_output(self, peer: Peer, message: Output) -> None:
        attempt = self._attempts_by_id.get(message.attempt_id)
        if attempt is None or attempt.peer is not peer:
            self._find(peer, message.attempt_id)
            return
        if message.sequence != attempt.next_sequence or attempt.version is None:
            self._break(attempt, f"output {message.sequence} after {attempt.next_sequence}")
            return
        attempt.next_sequence += 1
        attempt.sha256.update(message.data)
        try:
            attempt.listener.on_output(message.data, message.tokens)
        except Exception:
            _log.exception("output not passed on")
            self._break(attempt, "output not passed on")

    def _take_started(self, peer: Peer, message: Started) -> None:
        attempt = self._find(peer, message.attempt_id)
        if attempt is not None:
            attempt.has_started = True
            attempt.listener.on_started()

    def _take_head(self, peer: Peer, message: ResponseHead) -> None:
        attempt = self._find(peer, message.attempt_id)
        if attempt is None:
            return
        if attempt.version is not None:
            self._break(attempt, "a second head")
            return
        if not 200 <= message.status <= 599:
            self._break(attempt, f"status {message.status}")
            return
        for pair in message.headers:
            if len(pair) != 2 or not (isinstance(pair[0], str) and isinstance(pair[1], str)):
                self._break(attempt, "malformed headers")
                return
        attempt.has_started = True
        attempt.version = message.version
        attempt.listener.on_head(message.status, message.headers, message.version)

    def _take_finish(self, peer: Peer, message: Finish) -> None:
        attempt = self._find(peer, message.attempt_id)
        if attempt is None:
            return
        if attempt.version is None:
            self._break(attempt, "no head")
        elif message.outputs != attempt.next_sequence:
            self._break(attempt, f"{attempt.next_sequence} of {message.outputs} outputs")
        elif message.sha256 != attempt.sha256.hexdigest():
            self._break(attempt, "the digest differs")
        elif message.version and attempt.version and message.version != attempt.version:
            detail = f"Head {attempt.version}, end {message.version}."
            self._end(attempt, Refusal(codes.MIXED_VERSIONS, Executed.YES, detail))
        else:
            whole = CompletedAttempt(message.prompt_tokens, message.output_tokens, attempt.version)
            self._end(attempt, whole)

    def _take_refuse(self, peer: Peer, message: Refuse) -> None:
        attempt = self._find(peer, message.attempt_id)
        if attempt is None:
            return
        try:
            executed = Executed(message.executed)
        except ValueError:
            executed = Executed.UNKNOWN
        if executed is Executed.NO and attempt.version is not None:
            # An answer that began proves that the request was run, at least in part.
            executed = Executed.UNKNOWN
        self._end(
            attempt,
            Refusal(codes.get_code(message.code), executed, message.detail, message.retry_after_ms),
        )

    def _break(self, attempt: Attempt, detail: str) -> None:
        _log.warning("answer not whole", host=attempt.peer.hello.host, detail=detail)
        attempt.peer.send(Cancel(attempt.attempt_id))
        self._end(attempt, Refusal(codes.ANSWER_INCOMPLETE, Executed.UNKNOWN, f"({detail})"))

    def _end(self, attempt: Attempt, end: CompletedAttempt | Refusal) -> None:
        if self._attempts_by_id.pop(attempt.attempt_id, None) is not None:
            attempt.listener.on_end(end)

    def _end_attempts_of(self, peer: Peer) -> None:
        # A lost Started looks like one never sent, so each attempt counts as possibly run.
        lost = Refusal(codes.UPSTREAM_LOST, Executed.UNKNOWN)
        for attempt in [a for a in self._attempts_by_id.values() if a.peer is peer]:
            self._end(attempt, lost)
