from dataclasses import dataclass
from random import Random

from geraniumlead_standins.histories.failures import FAILURES
from geraniumlead_standins.histories.simulated_callers import build_operation
from geraniumlead_standins.histories.testbed import NOORD, Testbed
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
    """A schedule of failures during ordinary operations; everything is drawn from the seed."""

    seed: int
    failures: tuple[str, ...] = ()

    def run(self) -> History:
        """Run the schedule and return its history."""
        testbed = Testbed.from_seed(self.seed)
        random = Random(f"{self.seed}/{self.failures}")
        _schedule_callers(testbed, random)
        _schedule_operators(testbed, random)
        for name in self.failures:
            FAILURES[name](testbed, random.uniform(FIRST_FAILURE_MS, LAST_FAILURE_MS))
        testbed.run.queue.run_until(RUN_MS)
        testbed.run.recorder.record("run", "ended_run")
        return History(testbed.run.recorder.events)


def _schedule_callers(testbed: Testbed, random: Random) -> None:
    times_ms = [random.uniform(500.0, CALLS_UNTIL_MS) for _ in range(OPERATIONS)]
    for _ in range(BURSTS):
        # More requests at once than the contract allows, so that some are refused.
        burst_ms = random.uniform(FIRST_FAILURE_MS, CALLS_UNTIL_MS)
        times_ms += [burst_ms + random.uniform(0.0, BURST_MS) for _ in range(OPERATIONS_PER_BURST)]
    for number, at_ms in enumerate(times_ms):
        operation = build_operation(number, random)
        testbed.schedule(at_ms, lambda o=operation: testbed.callers.start(o))


def _schedule_operators(testbed: Testbed, random: Random) -> None:
    """Schedule the changes that operators make in every run.

    One upstream leaves, one data centre is taken out and back in, the contract changes, and
    one instance is stopped gracefully and replaced.
    """
    leaving = random.choice(testbed.upstream_ids())
    data_centre = leaving.split("-")[1]
    testbed.schedule(
        random.uniform(3e3, 8e3), lambda: testbed.set_upstream_states(data_centre, {leaving})
    )
    out_ms = random.uniform(3_000.0, 8_000.0)
    testbed.schedule(out_ms, lambda: testbed.set_data_centre_state(NOORD, "out"))
    testbed.schedule(out_ms + 9_000.0, lambda: testbed.bring_back(NOORD))
    testbed.schedule(random.uniform(3e3, 12e3), lambda: testbed.change_contract(weight=5))
    stopped, stop_ms = random.choice(testbed.instance_names), random.uniform(3e3, 9e3)
    testbed.schedule(stop_ms, lambda: testbed.stop_gracefully(stopped))
    testbed.schedule(stop_ms + 4_000.0, lambda: testbed.replace_instance(stopped))
