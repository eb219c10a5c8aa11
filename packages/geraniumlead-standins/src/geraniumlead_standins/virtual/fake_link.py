from random import Random


class FakeLink:
    """A simulated network that delays, loses or blocks messages between endpoints.

    An endpoint is the name of an instance or an upstream, or ``platform``. ``cut`` holds
    ordered (sender, receiver) pairs, so a link can be cut in one direction only.
    """

    __slots__ = ("_delays_ms", "_random", "cut", "default_delay_ms", "jitter", "loss")

    def __init__(self, random: Random, default_delay_ms: float = 0.25) -> None:
        self._random = random
        self._delays_ms: dict[tuple[str, str], float] = {}
        self.default_delay_ms = default_delay_ms
        self.jitter = 0.2
        self.loss = 0.0
        self.cut: set[tuple[str, str]] = set()

    def set_delay(self, sender: str, receiver: str, delay_ms: float) -> None:
        """Set the one-way delay between two endpoints."""
        self._delays_ms[sender, receiver] = delay_ms

    def cut_between(self, group: set[str], others: set[str]) -> None:
        """Cut both directions between two groups of endpoints."""
        for member in group:
            for other in others:
                self.cut |= {(member, other), (other, member)}

    def heal(self) -> None:
        """Remove all cuts."""
        self.cut.clear()

    def draw_delay_ms(self, sender: str, receiver: str) -> float | None:
        """Return the delay of one message, or None if it is lost."""
        if (sender, receiver) in self.cut:
            return None
        if self.loss and self._random.random() < self.loss:
            return None
        delay_ms = self._delays_ms.get((sender, receiver), self.default_delay_ms)
        return delay_ms * (1.0 + self.jitter * self._random.random())
