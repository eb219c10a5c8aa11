from functools import partial

from msgspec.json import decode

from geraniumlead.actions import Action, CallUpstream, Report, StopNow
from geraniumlead.instance import Instance
from geraniumlead.settings import InstanceSettings
from geraniumlead.upstreams import Records, UpstreamAnswer
from geraniumlead_standins.history import MemoryRecorder
from geraniumlead_standins.virtual import FakeUpstream, VirtualRun

FAULTS = "faults"


class RecordedRun(VirtualRun):
    """A virtual run that records publications, processes, links and upstreams as a history."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.recorder = MemoryRecorder(lambda: self.now_ms)
        self.on_action = self._record_action
        self.on_reply = self._record_reply
        self.on_kill = lambda name: None
        self._unfinished_at_exit: dict[str, int] = {}

    def add_upstream(self, address: str, upstream_id: str, **changes) -> FakeUpstream:
        """Start an upstream that records its calls and changes."""
        upstream = super().add_upstream(address, upstream_id, **changes)
        upstream.log = partial(self.recorder.record, upstream_id)
        return upstream

    def find_upstream(self, upstream_id: str) -> FakeUpstream:
        """Return an upstream by its id."""
        return next(u for u in self.upstreams.values() if u.upstream_id == upstream_id)

    def start_instance(self, settings: InstanceSettings) -> Instance:
        """Start the process of an instance."""
        name = settings.instance_id
        instance = super().start_instance(settings)
        self._record_process_event(name, "process_started")
        return instance

    def publish(self, values: dict[str, bytes | None]) -> None:
        """Publish documents."""
        for number, (key, value) in enumerate(values.items()):
            self.recorder.record(
                "platform",
                "published",
                key=key,
                revision=self.platform.revision + 1 + number,
                value=None if value is None else decode(value),
            )
        super().publish(values)

    def kill(self, name: str) -> None:
        """End a process; record it as stopped if it asked for its end itself, else as killed."""
        if not self.instances[name].is_alive:
            return
        unfinished = self._unfinished_at_exit.pop(name, None)
        if unfinished is None:
            self._record_process_event(name, "process_killed")
        else:
            self._record_process_event(name, "process_stopped", cut_off=unfinished)
        super().kill(name)
        self.on_kill(name)

    def freeze(self, name: str) -> None:
        """Suspend a process until ``thaw``."""
        self._record_process_event(name, "frozen")
        super().freeze(name)

    def thaw(self, name: str) -> None:
        """Resume a frozen process."""
        if self.instances[name].is_frozen:
            self._record_process_event(name, "thawed")
            super().thaw(name)

    def cut(self, pairs: set[tuple[str, str]]) -> None:
        """Cut links, each in one direction."""
        self.recorder.record(FAULTS, "cut", pairs=tuple(sorted(pairs)))
        self.link.cut |= pairs

    def heal(self) -> None:
        """Open all links again."""
        self.recorder.record(FAULTS, "healed")
        self.link.heal()

    def set_loss(self, share: float) -> None:
        """Set the share of all messages that is lost; 0 ends the losses."""
        self.recorder.record(FAULTS, "losses_began" if share else "losses_ended")
        self.link.loss = share

    def set_platform(self, is_down: bool = False, stale_at_revision: int | None = None) -> None:
        """Set the platform to down, stale or healthy, and make its watchers read again."""
        self.platform.is_down = is_down
        self.platform.stale_at_revision = stale_at_revision
        if is_down:
            self.recorder.record(FAULTS, "platform_down")
        elif stale_at_revision is not None:
            self.recorder.record(FAULTS, "platform_stale")
        else:
            self.recorder.record(FAULTS, "platform_up")
        self.restart_watches()

    def _record_process_event(self, name: str, event: str, **fields) -> None:
        incarnation = self.instances[name].instance.parts.incarnation
        self.recorder.record(FAULTS, event, instance=name, incarnation=incarnation, **fields)

    def _record_action(self, name: str, action: Action, now_ms: float) -> None:
        match action:
            case StopNow(unfinished_requests=unfinished):
                self._unfinished_at_exit[name] = unfinished
            case Report(name="configuration_in_force"):
                parts = self.instances[name].instance.parts
                revisions = {item.key: item.revision for item in parts.store.documents_above(0)}
                self.recorder.record(
                    name, "in_force", incarnation=parts.incarnation, revisions=revisions
                )

    def _record_reply(self, name: str, action: CallUpstream, answer: UpstreamAnswer) -> None:
        if isinstance(answer, Records):
            self.recorder.record(
                name,
                "reply_arrived",
                request_id=action.subquery.request_id,
                index_version=answer.index_version,
                shard=answer.shard,
            )
