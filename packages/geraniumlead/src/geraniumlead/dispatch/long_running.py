from geraniumlead.configuration.cluster_view import ClusterView


def find_long_running(view: ClusterView) -> frozenset[tuple[str, str]]:
    """Return the customer and name of each traffic class with long-running requests."""
    return frozenset(
        (contract.customer, traffic_class.name)
        for contract in view.contracts.values()
        for traffic_class in contract.classes
        if traffic_class.long_running
    )
