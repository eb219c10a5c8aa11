"""Measure what each mechanism is worth by switching off one at a time."""

from collections.abc import Callable, Iterable, Sequence
from contextlib import AbstractContextManager, nullcontext
from unittest.mock import patch

from geraniumlead.forwarding import lateness_estimator, upstream_chooser
from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.forwarding.subrequest_sender import SubrequestSender
from geraniumlead.forwarding.upstream_estimate import UpstreamEstimate
from geraniumlead.forwarding.waiting_subrequests import WaitingSubrequests
from geraniumlead_standins.bench.forwarding_bound.forwarder_run import ForwarderRun
from geraniumlead_standins.bench.forwarding_bound.load_model import LoadModel

NEVER = float("inf")

VARIANTS: dict[str, Callable[[], AbstractContextManager]] = {
    "all on": nullcontext,
    "no second sending of late parts": lambda: patch.object(
        SubrequestSender, "hedge_late", lambda self, opened, now_ms: None
    ),
    "no bound on lateness by the usual time": lambda: patch.object(
        lateness_estimator, "MAX_LATE_FACTOR", NEVER
    ),
    "no estimate of slowness": lambda: patch.object(
        UpstreamEstimate, "slowness_at", lambda self, now_ms: 1.0
    ),
    "no share of failures": lambda: patch.object(
        UpstreamEstimate, "failure_share_at", lambda self, now_ms: 0.0
    ),
    "no passing over after a stall": lambda: patch.object(
        UpstreamEstimate, "_avoid", lambda self, first_ms, now_ms: None
    ),
    "no handicap of other regions": lambda: patch.object(
        upstream_chooser, "CROSS_REGION_PENALTY_MS", 0.0
    ),
    "no jitter": lambda: patch.object(upstream_chooser, "JITTER_SHARE", 0.0),
    "no wait for a place": lambda: patch.object(
        WaitingSubrequests, "add", lambda self, subrequest: False
    ),
    "no end at the goal": lambda: patch.object(OpenRequest, "has_enough", property(_has_all)),
}


def _has_all(opened: OpenRequest) -> bool:
    return opened.answered == len(opened.subrequests)


def run_ablation(loads: Sequence[LoadModel], seeds: Iterable[int]) -> None:
    """Print the mean credit over the seeds with each mechanism off."""
    seeds = list(seeds)
    print("| variant |" + "".join(f" {load.name} |" for load in loads))
    print("|---|" + "---|" * len(loads))
    for name, switch_off in VARIANTS.items():
        with switch_off():
            earned = [
                sum(ForwarderRun(load, seed).run().mean for seed in seeds) / len(seeds)
                for load in loads
            ]
        print(f"| {name} |" + "".join(f" {value:.3f} |" for value in earned), flush=True)
