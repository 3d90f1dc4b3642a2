"""Correlates crashes of engines with the requests that entry hosts lost in them.

Runs in the process beside each engine. It learns of the crash of its engine first, receives the
prompts that entry hosts lost at that engine, and shares them with the processes beside the other
engines. The process whose engine crashed last asks entry hosts for complete answers with the parts
that the crashes have in common; the first part without any is quarantined at all entry hosts.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.crash_evidence import CrashEvidence, Prompt
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    EngineCrash,
    LostRequest,
    QuarantineNotice,
    SoundParts,
    SuspectedParts,
)
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.prompt_quarantine import PromptQuarantine

#: Time after the loss of an engine in which the reports of lost requests arrive, in seconds.
SETTLE_S = 0.15
#: Longest time between the report of a lost request and the loss of its engine, in seconds.
LOST_REQUEST_MAX_AGE_S = 1.0
#: Longest wait for the replies of entry hosts to a question for complete answers, in seconds.
REPLY_TIMEOUT_S = 1.0
#: Maximum number of prompts of one crash, and of suspects in one question.
MAX_PROMPTS = 64
MAX_SUSPECTS = 64
#: Separates the parts of a prompt in messages; part ids do not contain it.
SEPARATOR = ","

_log = get_logger("crash_correlator")


@dataclass(frozen=True, slots=True)
class _Question:
    """A question to entry hosts that is not decided yet.

    :param parts: the suspects.
    :param awaited_peers: entry hosts that have not replied.
    :param timeout: decides without them.
    """

    parts: tuple[str, ...]
    awaited_peers: set[Peer]
    timeout: asyncio.TimerHandle


class CrashCorrelator:
    """Exchanges evidence with other processes and quarantines parts of prompts."""

    def __init__(self, *, hub: PeerHub, evidence: CrashEvidence, clock: Clock) -> None:
        self._hub = hub
        self._evidence = evidence
        self._clock = clock
        self._quarantine = PromptQuarantine(clock=clock)
        self._lost_at_by_prompt: OrderedDict[Prompt, float] = OrderedDict()
        self._question: _Question | None = None
        hub.on(LostRequest, self._on_lost_request)
        hub.on(EngineCrash, self._on_engine_crash)
        hub.on(SoundParts, self._on_sound_parts)
        hub.on(QuarantineNotice, self._on_quarantine_notice)
        hub.on_open(self._send_quarantine)
        hub.on_close(self._record_reply)

    def record_engine_lost(self, engine: str) -> None:
        """Record that the own engine was lost.

        :param engine: identifies the lifetime that ended.
        """
        asyncio.get_running_loop().call_later(SETTLE_S, self._settle, engine)

    def _settle(self, engine: str) -> None:
        oldest = self._clock.monotonic() - SETTLE_S - LOST_REQUEST_MAX_AGE_S
        prompts = {
            prompt for prompt, lost_at in self._lost_at_by_prompt.items() if lost_at >= oldest
        }
        self._lost_at_by_prompt.clear()
        if not prompts:
            return
        self._evidence.record(engine, prompts)
        encoded = tuple(SEPARATOR.join(prompt) for prompt in sorted(prompts))
        _log.info("requests were lost with the engine", engine=engine, prompts=encoded)
        self._hub.broadcast(EngineCrash(engine, encoded), role="upstream")
        self._question_suspects()

    def _question_suspects(self) -> None:
        """Ask entry hosts for complete answers with the suspects, and decide after their replies."""
        if self._question is not None:
            return
        suspects = self._evidence.list_suspects()[:MAX_SUSPECTS]
        if not suspects:
            return
        self._question = _Question(
            parts=suspects,
            awaited_peers=set(self._hub.list_peers(role="entry")),
            timeout=asyncio.get_running_loop().call_later(REPLY_TIMEOUT_S, self._decide),
        )
        self._hub.broadcast(SuspectedParts(suspects), role="entry")

    def _record_reply(self, peer: Peer) -> None:
        """Record that a peer has replied or can no longer reply."""
        question = self._question
        if question is None or peer not in question.awaited_peers:
            return
        question.awaited_peers.remove(peer)
        if not question.awaited_peers:
            question.timeout.cancel()
            self._decide()

    def _decide(self) -> None:
        """Quarantine the first suspect that no entry host has cleared."""
        assert self._question is not None
        questioned = self._question.parts
        self._question = None
        remaining = [part for part in self._evidence.list_suspects() if part in questioned]
        if remaining:
            part = remaining[0]
            self._apply_quarantine(part, self._evidence.quarantine(part))
        self._question_suspects()

    def _apply_quarantine(self, part: str, seconds: float) -> None:
        if not self._quarantine.add(part, seconds):
            return
        _log.warning("prompt part quarantined", part=part, seconds=round(seconds))
        self._hub.broadcast(QuarantineNotice(part, seconds))

    def _on_lost_request(self, peer: Peer, message: LostRequest) -> None:
        self._lost_at_by_prompt.pop(message.parts, None)
        self._lost_at_by_prompt[message.parts] = self._clock.monotonic()
        if len(self._lost_at_by_prompt) > MAX_PROMPTS:
            self._lost_at_by_prompt.popitem(last=False)

    def _on_engine_crash(self, peer: Peer, message: EngineCrash) -> None:
        prompts = (tuple(text.split(SEPARATOR)) for text in message.prompts[:MAX_PROMPTS])
        self._evidence.record(message.engine, prompts)

    def _on_sound_parts(self, peer: Peer, message: SoundParts) -> None:
        for part in message.parts:
            self._evidence.clear(part)
        self._record_reply(peer)

    def _on_quarantine_notice(self, peer: Peer, message: QuarantineNotice) -> None:
        if message.part not in self._quarantine.list_times_left():
            self._evidence.quarantine(message.part)
        self._apply_quarantine(message.part, message.seconds)

    def _send_quarantine(self, peer: Peer) -> None:
        for part, seconds in self._quarantine.list_times_left().items():
            peer.send(QuarantineNotice(part, seconds))
