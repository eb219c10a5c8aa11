"""Choose among the services of a split route by their weights."""

from random import Random

from geraniumlead.routes.targets import SplitServices


class SplitChooser:
    """Spread requests over services with the least deviation from the weights.

    Load pattern: a few requests a second at each of several instances. Independent draws
    stray from the weights by a tenth or more over 50 requests; the service that is furthest
    behind its share, taken each time, strays by less than one request. The start is drawn,
    so that instances which start together do not all begin with the same service.
    """

    __slots__ = ("_credits", "_random", "_target")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._target: SplitServices | None = None
        self._credits: dict[str, float] = {}

    def choose(self, target: SplitServices) -> str | None:
        """Return the next service; None when no service has a weight."""
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
