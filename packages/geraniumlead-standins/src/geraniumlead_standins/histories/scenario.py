"""Run one schedule of failures over the operations of an ordinary day."""

from dataclasses import dataclass
from random import Random

from geraniumlead_standins.histories.caller_crowd import build_operation
from geraniumlead_standins.histories.failures import FAILURES
from geraniumlead_standins.histories.stage import HERE, Stage
from geraniumlead_standins.history import History

RUN_MS = 26_000.0
CALLS_UNTIL_MS = 23_000.0
OPERATIONS = 400
BURSTS = 5
OPERATIONS_PER_BURST = 60
BURST_MS = 60.0
FIRST_FAILURE_MS = 4_000.0
LAST_FAILURE_MS = 9_000.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """Name the failures of one run and the seed of everything else."""

    seed: int
    failures: tuple[str, ...] = ()

    def run(self) -> History:
        """Run the schedule and return its history."""
        stage = Stage.from_seed(self.seed)
        random = Random(f"{self.seed}/{self.failures}")
        _schedule_callers(stage, random)
        _schedule_operators(stage, random)
        for name in self.failures:
            FAILURES[name](stage, random.uniform(FIRST_FAILURE_MS, LAST_FAILURE_MS))
        stage.run.queue.run_until(RUN_MS)
        stage.run.recorder.note("run", "ended_run")
        return History(stage.run.recorder.events)


def _schedule_callers(stage: Stage, random: Random) -> None:
    times_ms = [random.uniform(500.0, CALLS_UNTIL_MS) for _ in range(OPERATIONS)]
    for _ in range(BURSTS):
        # More at once than the contract allows, so that some are refused.
        burst_ms = random.uniform(FIRST_FAILURE_MS, CALLS_UNTIL_MS)
        times_ms += [burst_ms + random.uniform(0.0, BURST_MS) for _ in range(OPERATIONS_PER_BURST)]
    for number, at_ms in enumerate(times_ms):
        operation = build_operation(number, random)
        stage.at(at_ms, lambda o=operation: stage.crowd.start(o))


def _schedule_operators(stage: Stage, random: Random) -> None:
    """Let one upstream leave, take a centre out and back, and restart one instance."""
    leaving = random.choice(stage.upstream_ids())
    home = leaving.split("-")[1]
    stage.at(random.uniform(3e3, 8e3), lambda: stage.set_upstream_states(home, {leaving}))
    out_ms = random.uniform(3_000.0, 8_000.0)
    stage.at(out_ms, lambda: stage.set_data_centre(HERE, "out"))
    stage.at(out_ms + 9_000.0, lambda: stage.bring_back(HERE))
    stage.at(random.uniform(3e3, 12e3), lambda: stage.change_contract(weight=5))
    stopped, stop_ms = random.choice(stage.names), random.uniform(3e3, 9e3)
    stage.at(stop_ms, lambda: stage.stop_gracefully(stopped))
    stage.at(stop_ms + 4_000.0, lambda: stage.replace_instance(stopped))
