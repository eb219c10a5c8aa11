from random import Random

from geraniumlead.routes.targets import SplitServices


class SplitChooser:
    """Distributes requests over services with the least deviation from the weights.

    Load pattern: a few requests a second at each of several instances. Independent random
    choices deviate from the weights by a tenth or more over 50 requests. Choosing each time the
    service that is furthest behind its share deviates by less than one request. The initial
    credits are random, so that instances which start together do not all begin with the same
    service.
    """

    __slots__ = ("_credits", "_random", "_target")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._target: SplitServices | None = None
        self._credits: dict[str, float] = {}

    def choose(self, target: SplitServices) -> str | None:
        """Return the next service; None when no service has a positive weight."""
        if target != self._target:
            self._target = target
            self._credits = {name: self._random.random() for name, _ in target.weights}
        total = sum(weight for _, weight in target.weights)
        if total <= 0.0:
            return None
        for name, weight in target.weights:
            self._credits[name] += weight / total
        chosen = max((name for name, weight in target.weights if weight > 0), key=self._credit)
        self._credits[chosen] -= 1.0
        return chosen

    def _credit(self, name: str) -> float:
        return self._credits[name]
