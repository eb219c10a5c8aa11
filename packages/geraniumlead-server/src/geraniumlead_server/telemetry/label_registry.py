from geraniumlead.configuration import ClusterView

OTHER = "other"
MAX_LABELS = 500


class LabelRegistry:
    """Assigns labels to the contracts and classes in force, and a common label to all others.

    A label stays in memory until the process ends. Without the limit, made-up names, or
    contracts that are added and removed for months, could use memory without bound.
    """

    def __init__(self, max_labels: int = MAX_LABELS) -> None:
        self._max_labels = max_labels
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
        if len(self._labels) >= self._max_labels:
            return self._other
        labels = {"contract": customer, "class": class_name}
        self._labels[customer, class_name] = labels
        return labels
