"""Show what callers' connections hold, and how many were refused, as OpenTelemetry metrics."""

from collections.abc import Iterable

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from geraniumlead_server.caller_guard import CallerGuard


def observe_guard(meter: Meter, guard: CallerGuard) -> None:
    """Add the metrics of callers' connections to a meter."""

    def observe_refused(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(count, {"cause": cause}) for cause, count in guard.refused.items()]

    def observe_connections(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(guard.account.connections)]

    def observe_held_bytes(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(guard.account.held_bytes)]

    meter.create_observable_counter(
        "geraniumlead_callers_refused",
        callbacks=[observe_refused],
        description="requests refused and connections closed before a request was forwarded",
    )
    meter.create_observable_gauge(
        "geraniumlead_caller_connections", callbacks=[observe_connections]
    )
    meter.create_observable_gauge(
        "geraniumlead_caller_held_bytes",
        callbacks=[observe_held_bytes],
        description="memory of callers' requests and of answers that they have not read",
    )
