"""Bound the label sets of metrics."""

from geraniumlead.configuration import ClusterView

OTHER = "other"
MOST_LABELS = 500


class LabelBook:
    """Give labels to contracts and classes in force, and one label to all else.

    A label that was once given stays in memory for the life of the process, so a made-up
    name, or contracts that come and go for months, could otherwise grow it without bound.
    """

    def __init__(self, most: int = MOST_LABELS) -> None:
        self._most = most
        self._labels: dict[tuple[str, str], dict[str, str]] = {}
        self._other = {"contract": OTHER, "class": OTHER}

    def labels_of(self, view: ClusterView, customer: str, class_name: str) -> dict[str, str]:
        """Return the labels of a request."""
        known = self._labels.get((customer, class_name))
        if known is not None:
            return known
        contract = view.contracts.get(customer)
        if contract is None or all(item.name != class_name for item in contract.classes):
            return self._other
        if len(self._labels) >= self._most:
            return self._other
        labels = {"contract": customer, "class": class_name}
        self._labels[customer, class_name] = labels
        return labels
