"""Name the failures; each takes the stage and the time at which it comes."""

from collections.abc import Callable

from geraniumlead.documents import DocumentKind, InstanceEntry, InstanceListDocument
from geraniumlead_standins.histories.operation import Operation
from geraniumlead_standins.histories.stage import COLD_ANSWERS, HERE, THERE, Stage
from geraniumlead_standins.history.checks.cold_load import WHILE_AWAY
from geraniumlead_standins.virtual.virtual_run import PLATFORM

LASTS_MS = 5_000.0
"""How long most failures last: longer than every timeout of an instance."""

Failure = Callable[[Stage, float], None]


def _pick_instance(stage: Stage) -> str:
    return stage.random.choice(stage.names)


def _pick_upstream(stage: Stage):
    return stage.run.find_upstream(stage.random.choice(stage.upstream_ids()))


def straggle(stage: Stage, at_ms: float) -> None:
    """One upstream is fifty times slower for a while."""
    upstream = _pick_upstream(stage)
    stage.at(at_ms, lambda: setattr(upstream, "slowdown", 50.0))
    stage.at(at_ms + LASTS_MS, lambda: setattr(upstream, "slowdown", 1.0))


def lose_replica(stage: Stage, at_ms: float) -> None:
    """One upstream loses its calls and is gone for a while, then starts cold."""
    upstream = _pick_upstream(stage)

    def lose() -> None:
        upstream.restart(COLD_ANSWERS)
        upstream.down_until_ms = stage.run.now_ms + LASTS_MS

    stage.at(at_ms, lose)


def retire_version(stage: Stage, at_ms: float) -> None:
    """A repartition, and the old version is dropped under running queries."""
    version, shard_count = stage.random.choice(((11, 4), (12, 5)))
    stage.at(at_ms, lambda: stage.repartition(version, shard_count))
    stage.at(at_ms + 700.0, lambda: stage.burst("retired", 40))
    stage.at(at_ms + 702.0, lambda: stage.retire(1))


def answer_newest(stage: Stage, at_ms: float) -> None:
    """A repartition, after which upstreams answer old queries from the new version."""
    upstreams = list(stage.run.upstreams.values())
    for upstream in upstreams:
        upstream.answers_newest = True
    stage.at(at_ms, lambda: stage.repartition(20, 4, published_after_ms=400.0))
    for number, upstream in enumerate(upstreams):
        stage.at(at_ms + 20.0 * number + 1.0, lambda up=upstream: up.holds.pop(1, None))
    for number in range(4):
        burst_ms = at_ms + 100.0 * number
        stage.at(burst_ms, lambda: stage.burst("newest", 12))


def turn_cold(stage: Stage, at_ms: float) -> None:
    """Two upstreams turn cold without a word; their connections stay."""
    for _ in range(2):
        upstream = _pick_upstream(stage)
        stage.at(at_ms, lambda up=upstream: up.turn_cold(COLD_ANSWERS))


def restart_cold(stage: Stage, at_ms: float) -> None:
    """Two upstreams restart: calls are reset, and the next ones find them cold."""
    for _ in range(2):
        upstream = _pick_upstream(stage)
        stage.at(at_ms, lambda up=upstream: up.restart(COLD_ANSWERS))


def return_cold(stage: Stage, at_ms: float) -> None:
    """The upstreams of the data centre that was out are cold when it comes back."""
    stage.returns_cold = True


def upstream_returns_cold(stage: Stage, at_ms: float) -> None:
    """An upstream leaves, restarts, and is listed again while it is cold."""
    upstream = _pick_upstream(stage)
    home = upstream.upstream_id.split("-")[1]
    stage.at(at_ms, lambda: stage.set_upstream_states(home, {upstream.upstream_id}))
    stage.at(
        at_ms + LASTS_MS,
        lambda: upstream.turn_cold(COLD_ANSWERS, reason=WHILE_AWAY),
    )
    stage.at(at_ms + LASTS_MS + 1.0, lambda: stage.set_upstream_states(home, set()))


def platform_down(stage: Stage, at_ms: float) -> None:
    """The platform answers nobody."""
    stage.at(at_ms, lambda: stage.run.set_platform(is_down=True))
    stage.at(at_ms + LASTS_MS, stage.run.set_platform)


def platform_slow(stage: Stage, at_ms: float) -> None:
    """The platform takes a second for each answer."""
    platform = stage.run.platform
    stage.at(at_ms, lambda: setattr(platform, "delay_ms", 1_000.0))
    stage.at(at_ms + LASTS_MS, lambda: setattr(platform, "delay_ms", 0.0))


def platform_back_in_time(stage: Stage, at_ms: float) -> None:
    """The platform comes back from an old copy, and an instance is replaced meanwhile."""
    name = _pick_instance(stage)
    stage.at(at_ms, lambda: stage.run.set_platform(stale_at_revision=9))
    stage.at(at_ms + 500.0, lambda: stage.run.kill(name))
    stage.at(at_ms + 1_000.0, lambda: stage.replace_instance(name))
    stage.at(at_ms + LASTS_MS, stage.run.set_platform)


def freeze(stage: Stage, at_ms: float) -> None:
    """One instance is frozen for longer than each timeout, and wakes with an old view."""
    name = _pick_instance(stage)
    stage.at(at_ms, lambda: stage.run.freeze(name))
    stage.at(at_ms + LASTS_MS, lambda: stage.run.thaw(name))


def freeze_cut_off(stage: Stage, at_ms: float) -> None:
    """One instance is frozen, and wakes while it can reach neither platform nor peers."""
    name = _pick_instance(stage)
    others = {PLATFORM, *stage.names} - {name}
    stage.at(at_ms, lambda: stage.run.freeze(name))
    stage.at(at_ms + 1_000.0, lambda: stage.cut_between({name}, others))
    stage.at(at_ms + LASTS_MS, lambda: stage.run.thaw(name))
    stage.at(at_ms + LASTS_MS + 4_000.0, stage.run.heal)


def split_data_centres(stage: Stage, at_ms: float) -> None:
    """The data centres cannot reach each other; both reach the platform."""
    here = stage.names_in(HERE) | set(stage.upstream_ids(HERE))
    there = stage.names_in(THERE) | set(stage.upstream_ids(THERE))
    stage.at(at_ms, lambda: stage.cut_between(here, there))
    stage.at(at_ms + LASTS_MS, stage.run.heal)


def cut_platform(stage: Stage, at_ms: float) -> None:
    """One data centre cannot reach the platform."""
    stage.at(at_ms, lambda: stage.cut_between(stage.names_in(HERE), {PLATFORM}))
    stage.at(at_ms + LASTS_MS, stage.run.heal)


def cut_off_whole(stage: Stage, at_ms: float) -> None:
    """One data centre is cut off from everything."""
    others = stage.names_in(THERE) | {PLATFORM} | set(stage.upstream_ids(THERE))
    stage.at(at_ms, lambda: stage.cut_between(stage.names_in(HERE), others))
    stage.at(at_ms + LASTS_MS, stage.run.heal)


def cut_one_way(stage: Stage, at_ms: float) -> None:
    """What one instance sends is lost, what is sent to it arrives."""
    name = _pick_instance(stage)
    pairs = {(name, other) for other in stage.names if other != name}
    stage.at(at_ms, lambda: stage.run.cut(pairs))
    stage.at(at_ms + LASTS_MS, stage.run.heal)


def cut_within(stage: Stage, at_ms: float) -> None:
    """Two instances of one data centre cannot reach each other."""
    one, other = sorted(stage.names_in(HERE))[:2]
    stage.at(at_ms, lambda: stage.cut_between({one}, {other}))
    stage.at(at_ms + LASTS_MS, stage.run.heal)


def crash_query(stage: Stage, at_ms: float) -> None:
    """A query crashes each upstream that runs it, and its caller sends it again."""
    operation = Operation("crash", "lookup", b'{"token":"crash","text":"crash"}')
    for number in range(6):
        stage.at(at_ms + 400.0 * number, lambda: stage.crowd.start(operation))


def silence_connections(stage: Stage, at_ms: float) -> None:
    """What one upstream answers to one instance never arrives."""
    name, upstream = _pick_instance(stage), _pick_upstream(stage)
    stage.at(at_ms, lambda: stage.run.cut({(upstream.upstream_id, name)}))
    stage.at(at_ms + LASTS_MS, stage.run.heal)


def lose_messages(stage: Stage, at_ms: float) -> None:
    """One message in twenty is lost between any two ends."""
    stage.at(at_ms, lambda: stage.run.set_loss(0.05))
    stage.at(at_ms + LASTS_MS, lambda: stage.run.set_loss(0.0))


def kill_and_replace(stage: Stage, at_ms: float) -> None:
    """Instances are killed one after the other and replaced at once."""
    for number, name in enumerate(stage.names):
        stage.at(at_ms + 900.0 * number, lambda n=name: stage.run.kill(n))
        stage.at(at_ms + 900.0 * number + 30.0, lambda n=name: stage.replace_instance(n))


def kill_twice(stage: Stage, at_ms: float) -> None:
    """Instances are killed in a burst, replaced, killed again in a burst, and replaced."""
    for number, name in enumerate(stage.names):
        for turn in range(2):
            killed_ms = at_ms + 1_000.0 * number + 120.0 * turn
            stage.at(killed_ms - 8.0, lambda: stage.burst("kill", 40))
            stage.at(killed_ms, lambda n=name: stage.run.kill(n))
            stage.at(killed_ms + 2.0, lambda n=name: stage.replace_instance(n))
            stage.at(killed_ms + 6.0, lambda: stage.burst("killed", 20))


def kill_while_stopping(stage: Stage, at_ms: float) -> None:
    """An instance is killed during its graceful stop."""
    name = _pick_instance(stage)
    stage.at(at_ms, lambda: stage.stop_gracefully(name))
    stage.at(at_ms + 1_000.0, lambda: stage.run.kill(name))
    stage.at(at_ms + 3_000.0, lambda: stage.replace_instance(name))


def restart_all(stage: Stage, at_ms: float) -> None:
    """All instances are stopped gracefully and replaced, one after the other."""
    for number, name in enumerate(stage.names):
        began_ms = at_ms + 3_000.0 * number
        stage.at(began_ms, lambda n=name: stage.stop_gracefully(n))
        stage.at(began_ms + 2_600.0, lambda n=name: stage.replace_instance(n))


def race_operators(stage: Stage, at_ms: float) -> None:
    """Two operators write contract against contract and data centre out against in."""
    for number in range(6):
        state = ("out", "in")[number % 2]
        stage.at(at_ms + 7.0 * number, lambda s=state: stage.set_data_centre(HERE, s))
        stage.at(at_ms + 7.0 * number, lambda w=number: stage.change_contract(w % 3 + 1))


def lag_lists(stage: Stage, at_ms: float) -> None:
    """An instance goes from the list while it serves, and comes back late."""

    def publish(names: set[str]) -> None:
        entries = [
            InstanceEntry(instance_id=name, peer_address="10.0.0.1:1") for name in sorted(names)
        ]
        document = InstanceListDocument(data_centre=HERE, instances=entries)
        stage.publish(DocumentKind.INSTANCE_LIST, HERE, document=document)

    everyone = stage.names_in(HERE)
    stage.at(at_ms, lambda: publish(everyone - {f"{HERE}-1"}))
    stage.at(at_ms + LASTS_MS, lambda: publish(everyone))


def send_twice(stage: Stage, at_ms: float) -> None:
    """Callers hang up and send again elsewhere, or send the same request twice at once."""
    for number in range(60):
        operation = stage.draw_operation()
        operation.sends_twice = number % 2 == 0
        operation.gives_up_after_ms = stage.random.uniform(1.0, 15.0) if number % 3 else None
        stage.at(at_ms + 60.0 * number, lambda o=operation: stage.crowd.start(o))


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
    "platform back in time": platform_back_in_time,
    "instance frozen": freeze,
    "frozen, then cut off": freeze_cut_off,
    "data centres split": split_data_centres,
    "centre without platform": cut_platform,
    "centre cut off": cut_off_whole,
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
