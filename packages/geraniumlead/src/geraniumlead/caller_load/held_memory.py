from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)

SIZE_CLASSES = 64
"""One for each power of two; a holder is found without a look at the others."""

PROGRESS_BYTES = 4_096
"""Change of what is held that counts as progress: a byte now and then is none."""

STALLED_MS = 500.0
"""Time without progress after which a holder is the first to give up."""


@dataclass(slots=True)
class Holding:
    """What one holder has; ``size_class`` is None if it can't be asked to give it up."""

    progress_ms: float
    progress_bytes: int = 0
    held_bytes: int = 0
    size_class: int | None = None


class HeldMemory(Generic[Holder]):
    """The memory that each of many holders takes, and who has to give it up.

    Load pattern: a thousand callers send bodies of the largest size and stop before their end, or
    do not read their answers. Each is within its limits, and together they exceed the memory of the
    process. Above ``max_bytes`` holders give up until the rest fits:

    - first those without progress, since they keep out others for nothing;
    - then, of the requests that will be largest, the one that came last. If the largest gave up, it
      would be the one that is nearest to its end, and under pressure none would come to its end.

    A holder that is not refusable counts, but is never chosen: its request may have been run.
    """

    __slots__ = ("_by_progress", "_classes", "_holdings", "_total_bytes", "max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._total_bytes = 0
        self._holdings: dict[Holder, Holding] = {}
        self._by_progress: dict[Holder, None] = {}
        self._classes: list[dict[Holder, None]] = [{} for _ in range(SIZE_CLASSES)]

    @property
    def total_bytes(self) -> int:
        """Return the memory that all holders take."""
        return self._total_bytes

    def hold(
        self, holder: Holder, held_bytes: int, expected_bytes: int, now_ms: float
    ) -> list[Holder]:
        """Set the memory that a holder takes; return those that have to give theirs up.

        These are forgotten. ``expected_bytes`` is what the holder will take in the end. One holder
        counts for half of the memory at most, so that one request is served however large it is.
        """
        holding = self._holdings.setdefault(holder, Holding(now_ms))
        self._count(holding, held_bytes)
        if abs(held_bytes - holding.progress_bytes) >= PROGRESS_BYTES:
            holding.progress_bytes, holding.progress_ms = held_bytes, now_ms
            self._by_progress.pop(holder, None)
        self._by_progress.setdefault(holder)
        self._classify(holder, holding, expected_bytes.bit_length())
        return self._give_up(now_ms)

    def keep(self, holder: Holder, held_bytes: int, now_ms: float) -> list[Holder]:
        """Set the memory of a holder that is not refusable; return those that give theirs up."""
        holding = self._holdings.setdefault(holder, Holding(now_ms))
        self._count(holding, held_bytes)
        self._by_progress.pop(holder, None)
        self._classify(holder, holding, None)
        return self._give_up(now_ms)

    def release(self, holder: Holder) -> None:
        """Forget a holder."""
        holding = self._holdings.pop(holder, None)
        if holding is None:
            return
        self._by_progress.pop(holder, None)
        self._classify(holder, holding, None)
        self._total_bytes -= holding.held_bytes

    def _count(self, holding: Holding, held_bytes: int) -> None:
        counted_bytes = min(held_bytes, self.max_bytes // 2)
        self._total_bytes += counted_bytes - holding.held_bytes
        holding.held_bytes = counted_bytes

    def _classify(self, holder: Holder, holding: Holding, size_class: int | None) -> None:
        if holding.size_class == size_class:
            return
        if holding.size_class is not None:
            del self._classes[holding.size_class][holder]
        if size_class is not None:
            self._classes[size_class][holder] = None
        holding.size_class = size_class

    def _give_up(self, now_ms: float) -> list[Holder]:
        chosen = []
        while self._total_bytes > self.max_bytes:
            holder = self._choose(now_ms)
            if holder is None:
                break
            self.release(holder)
            chosen.append(holder)
        return chosen

    def _choose(self, now_ms: float) -> Holder | None:
        for holder in self._by_progress:
            if now_ms - self._holdings[holder].progress_ms >= STALLED_MS:
                return holder
            break
        for holders in reversed(self._classes):
            if holders:
                return next(reversed(holders))
        return None
