"""The failures by name; each takes the testbed and the time at which it starts."""

from collections.abc import Callable

from geraniumlead.documents import DocumentKind, InstanceEntry, InstanceListDocument
from geraniumlead_standins.histories.operation import Operation
from geraniumlead_standins.histories.testbed import COLD_ANSWERS, NOORD, ZUID, Testbed
from geraniumlead_standins.history.checks.cold_load import WHILE_AWAY
from geraniumlead_standins.virtual.virtual_run import PLATFORM

FAILURE_MS = 5_000.0
"""Duration of most failures, longer than every timeout of an instance."""

Failure = Callable[[Testbed, float], None]


def _pick_instance(testbed: Testbed) -> str:
    return testbed.random.choice(testbed.instance_names)


def _pick_upstream(testbed: Testbed):
    return testbed.run.find_upstream(testbed.random.choice(testbed.upstream_ids()))


def straggle(testbed: Testbed, at_ms: float) -> None:
    """One upstream is fifty times slower for ``FAILURE_MS``."""
    upstream = _pick_upstream(testbed)
    testbed.schedule(at_ms, lambda: setattr(upstream, "slowdown", 50.0))
    testbed.schedule(at_ms + FAILURE_MS, lambda: setattr(upstream, "slowdown", 1.0))


def lose_replica(testbed: Testbed, at_ms: float) -> None:
    """One upstream loses its calls and is down for ``FAILURE_MS``, then starts cold."""
    upstream = _pick_upstream(testbed)

    def lose() -> None:
        upstream.restart(COLD_ANSWERS)
        upstream.down_until_ms = testbed.run.now_ms + FAILURE_MS

    testbed.schedule(at_ms, lose)


def retire_version(testbed: Testbed, at_ms: float) -> None:
    """The index is repartitioned, and the old version is dropped while queries run."""
    version, shard_count = testbed.random.choice(((11, 4), (12, 5)))
    testbed.schedule(at_ms, lambda: testbed.repartition(version, shard_count))
    testbed.schedule(at_ms + 700.0, lambda: testbed.burst("retired", 40))
    testbed.schedule(at_ms + 702.0, lambda: testbed.retire(1))


def answer_newest(testbed: Testbed, at_ms: float) -> None:
    """The index is repartitioned, and upstreams answer old queries from the new version."""
    upstreams = list(testbed.run.upstreams.values())
    for upstream in upstreams:
        upstream.answers_newest = True
    testbed.schedule(at_ms, lambda: testbed.repartition(20, 4, published_after_ms=400.0))
    for number, upstream in enumerate(upstreams):
        testbed.schedule(at_ms + 20.0 * number + 1.0, lambda up=upstream: up.holds.pop(1, None))
    for number in range(4):
        burst_ms = at_ms + 100.0 * number
        testbed.schedule(burst_ms, lambda: testbed.burst("newest", 12))


def turn_cold(testbed: Testbed, at_ms: float) -> None:
    """Two upstreams turn cold without notice; their connections stay open."""
    for _ in range(2):
        upstream = _pick_upstream(testbed)
        testbed.schedule(at_ms, lambda up=upstream: up.turn_cold(COLD_ANSWERS))


def restart_cold(testbed: Testbed, at_ms: float) -> None:
    """Two upstreams restart: their calls are reset, and they are cold for the next ones."""
    for _ in range(2):
        upstream = _pick_upstream(testbed)
        testbed.schedule(at_ms, lambda up=upstream: up.restart(COLD_ANSWERS))


def return_cold(testbed: Testbed, at_ms: float) -> None:
    """The upstreams of the data centre that was out are cold when it returns to service."""
    testbed.returns_cold = True


def upstream_returns_cold(testbed: Testbed, at_ms: float) -> None:
    """An upstream leaves, restarts, and is listed as serving again while it is cold."""
    upstream = _pick_upstream(testbed)
    data_centre = upstream.upstream_id.split("-")[1]
    testbed.schedule(
        at_ms, lambda: testbed.set_upstream_states(data_centre, {upstream.upstream_id})
    )
    testbed.schedule(
        at_ms + FAILURE_MS,
        lambda: upstream.turn_cold(COLD_ANSWERS, reason=WHILE_AWAY),
    )
    testbed.schedule(
        at_ms + FAILURE_MS + 1.0, lambda: testbed.set_upstream_states(data_centre, set())
    )


def platform_down(testbed: Testbed, at_ms: float) -> None:
    """The platform answers no calls."""
    testbed.schedule(at_ms, lambda: testbed.run.set_platform(is_down=True))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.set_platform)


def platform_slow(testbed: Testbed, at_ms: float) -> None:
    """The platform takes a second for each answer."""
    platform = testbed.run.platform
    testbed.schedule(at_ms, lambda: setattr(platform, "delay_ms", 1_000.0))
    testbed.schedule(at_ms + FAILURE_MS, lambda: setattr(platform, "delay_ms", 0.0))


def make_platform_stale(testbed: Testbed, at_ms: float) -> None:
    """The platform serves an old copy, and an instance is replaced meanwhile."""
    name = _pick_instance(testbed)
    testbed.schedule(at_ms, lambda: testbed.run.set_platform(stale_at_revision=9))
    testbed.schedule(at_ms + 500.0, lambda: testbed.run.kill(name))
    testbed.schedule(at_ms + 1_000.0, lambda: testbed.replace_instance(name))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.set_platform)


def freeze(testbed: Testbed, at_ms: float) -> None:
    """One instance is frozen for longer than every timeout, and resumes with a stale view."""
    name = _pick_instance(testbed)
    testbed.schedule(at_ms, lambda: testbed.run.freeze(name))
    testbed.schedule(at_ms + FAILURE_MS, lambda: testbed.run.thaw(name))


def freeze_then_isolate(testbed: Testbed, at_ms: float) -> None:
    """One instance is frozen, and resumes isolated from the platform and all peers."""
    name = _pick_instance(testbed)
    others = {PLATFORM, *testbed.instance_names} - {name}
    testbed.schedule(at_ms, lambda: testbed.run.freeze(name))
    testbed.schedule(at_ms + 1_000.0, lambda: testbed.cut_between({name}, others))
    testbed.schedule(at_ms + FAILURE_MS, lambda: testbed.run.thaw(name))
    testbed.schedule(at_ms + FAILURE_MS + 4_000.0, testbed.run.heal)


def split_data_centres(testbed: Testbed, at_ms: float) -> None:
    """The data centres cannot reach each other; both reach the platform."""
    noord = testbed.instances_in(NOORD) | set(testbed.upstream_ids(NOORD))
    zuid = testbed.instances_in(ZUID) | set(testbed.upstream_ids(ZUID))
    testbed.schedule(at_ms, lambda: testbed.cut_between(noord, zuid))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.heal)


def cut_platform(testbed: Testbed, at_ms: float) -> None:
    """One data centre cannot reach the platform."""
    testbed.schedule(at_ms, lambda: testbed.cut_between(testbed.instances_in(NOORD), {PLATFORM}))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.heal)


def isolate_data_centre(testbed: Testbed, at_ms: float) -> None:
    """One data centre is isolated from the platform and the other data centre."""
    others = testbed.instances_in(ZUID) | {PLATFORM} | set(testbed.upstream_ids(ZUID))
    testbed.schedule(at_ms, lambda: testbed.cut_between(testbed.instances_in(NOORD), others))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.heal)


def cut_one_way(testbed: Testbed, at_ms: float) -> None:
    """Messages from one instance to its peers are lost, messages to it arrive."""
    name = _pick_instance(testbed)
    pairs = {(name, other) for other in testbed.instance_names if other != name}
    testbed.schedule(at_ms, lambda: testbed.run.cut(pairs))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.heal)


def cut_within(testbed: Testbed, at_ms: float) -> None:
    """Two instances of one data centre cannot reach each other."""
    one, other = sorted(testbed.instances_in(NOORD))[:2]
    testbed.schedule(at_ms, lambda: testbed.cut_between({one}, {other}))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.heal)


def crash_query(testbed: Testbed, at_ms: float) -> None:
    """A query crashes each upstream that runs it, and its caller retries it."""
    operation = Operation("crash", "lookup", b'{"token":"crash","text":"crash"}')
    for number in range(6):
        testbed.schedule(at_ms + 400.0 * number, lambda: testbed.callers.start(operation))


def silence_connections(testbed: Testbed, at_ms: float) -> None:
    """The answers of one upstream to one instance never arrive."""
    name, upstream = _pick_instance(testbed), _pick_upstream(testbed)
    testbed.schedule(at_ms, lambda: testbed.run.cut({(upstream.upstream_id, name)}))
    testbed.schedule(at_ms + FAILURE_MS, testbed.run.heal)


def lose_messages(testbed: Testbed, at_ms: float) -> None:
    """One message in twenty is lost between any two endpoints."""
    testbed.schedule(at_ms, lambda: testbed.run.set_loss(0.05))
    testbed.schedule(at_ms + FAILURE_MS, lambda: testbed.run.set_loss(0.0))


def kill_and_replace(testbed: Testbed, at_ms: float) -> None:
    """Instances are killed one after the other and replaced within 30 ms."""
    for number, name in enumerate(testbed.instance_names):
        testbed.schedule(at_ms + 900.0 * number, lambda n=name: testbed.run.kill(n))
        testbed.schedule(at_ms + 900.0 * number + 30.0, lambda n=name: testbed.replace_instance(n))


def kill_twice(testbed: Testbed, at_ms: float) -> None:
    """Instances are killed during a burst of requests and replaced, twice in a row."""
    for number, name in enumerate(testbed.instance_names):
        for turn in range(2):
            killed_ms = at_ms + 1_000.0 * number + 120.0 * turn
            testbed.schedule(killed_ms - 8.0, lambda: testbed.burst("kill", 40))
            testbed.schedule(killed_ms, lambda n=name: testbed.run.kill(n))
            testbed.schedule(killed_ms + 2.0, lambda n=name: testbed.replace_instance(n))
            testbed.schedule(killed_ms + 6.0, lambda: testbed.burst("killed", 20))


def kill_while_stopping(testbed: Testbed, at_ms: float) -> None:
    """An instance is killed during its graceful stop."""
    name = _pick_instance(testbed)
    testbed.schedule(at_ms, lambda: testbed.stop_gracefully(name))
    testbed.schedule(at_ms + 1_000.0, lambda: testbed.run.kill(name))
    testbed.schedule(at_ms + 3_000.0, lambda: testbed.replace_instance(name))


def restart_all(testbed: Testbed, at_ms: float) -> None:
    """All instances are stopped gracefully and replaced, one after the other."""
    for number, name in enumerate(testbed.instance_names):
        began_ms = at_ms + 3_000.0 * number
        testbed.schedule(began_ms, lambda n=name: testbed.stop_gracefully(n))
        testbed.schedule(began_ms + 2_600.0, lambda n=name: testbed.replace_instance(n))


def race_operators(testbed: Testbed, at_ms: float) -> None:
    """Two operators publish conflicting states of a data centre and conflicting contracts."""
    for number in range(6):
        state = ("out", "in")[number % 2]
        testbed.schedule(
            at_ms + 7.0 * number, lambda s=state: testbed.set_data_centre_state(NOORD, s)
        )
        testbed.schedule(at_ms + 7.0 * number, lambda w=number: testbed.change_contract(w % 3 + 1))


def lag_lists(testbed: Testbed, at_ms: float) -> None:
    """An instance is missing in the list while it serves, and is listed again later."""

    def publish(names: set[str]) -> None:
        entries = [
            InstanceEntry(instance_id=name, peer_address="10.0.0.1:1") for name in sorted(names)
        ]
        document = InstanceListDocument(data_centre=NOORD, instances=entries)
        testbed.publish(DocumentKind.INSTANCE_LIST, NOORD, document=document)

    everyone = testbed.instances_in(NOORD)
    testbed.schedule(at_ms, lambda: publish(everyone - {f"{NOORD}-1"}))
    testbed.schedule(at_ms + FAILURE_MS, lambda: publish(everyone))


def send_twice(testbed: Testbed, at_ms: float) -> None:
    """Callers disconnect and retry elsewhere, or send the same request twice at once."""
    for number in range(60):
        operation = testbed.draw_operation()
        operation.sends_twice = number % 2 == 0
        operation.gives_up_after_ms = testbed.random.uniform(1.0, 15.0) if number % 3 else None
        testbed.schedule(at_ms + 60.0 * number, lambda o=operation: testbed.callers.start(o))


FAILURES: dict[str, Failure] = {
    "straggler": straggle,
    "replica lost": lose_replica,
    "version retired": retire_version,
    "newest answered": answer_newest,
    "cold unwarned": turn_cold,
    "cold restart": restart_cold,
    "centre returns cold": return_cold,
    "upstream returns cold": upstream_returns_cold,
    "platform down": platform_down,
    "platform slow": platform_slow,
    "platform back in time": make_platform_stale,
    "instance frozen": freeze,
    "frozen, then cut off": freeze_then_isolate,
    "data centres split": split_data_centres,
    "centre without platform": cut_platform,
    "centre cut off": isolate_data_centre,
    "one-way cut": cut_one_way,
    "cut within a centre": cut_within,
    "crash query": crash_query,
    "silent connections": silence_connections,
    "messages lost": lose_messages,
    "kills": kill_and_replace,
    "kills twice": kill_twice,
    "kill while stopping": kill_while_stopping,
    "rolling restart": restart_all,
    "operators race": race_operators,
    "lists lag": lag_lists,
    "callers send again": send_twice,
}
