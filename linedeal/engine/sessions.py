"""The jobs that sessions own: joined by key, held, released, ended, told of, forgotten.

A part of the engine, which it acts through: `control.decide_order` says what an order does, the ledger how each job stands.
"""

from linedeal import interface as api
from linedeal.engine import control, recovery
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.engine.admission import FairShares
from linedeal.engine.control import Fault, OrderAction
from linedeal.engine.ledger import AT_HOST, Entry, Ledger, Stage

RECORD = 300  # bytes that the journal takes for a job without work
PAGE = 200  # jobs told in one go; the client asks for the next
MAX_ENDED_JOBS = 100_000  # jobs kept after their end for owners that do not come; then the oldest go


class Sessions:
    def __init__(self, engine):
        self.engine = engine
        self.ledger = Ledger()
        self.bytes = FairShares()  # of each customer's jobs in the journal, roughly
        self.followers: dict[str, dict[int, None]] = {}  # links that are told of each change, by session
        self.unaccounted: dict[str, list[Entry]] = {}  # placed by an earlier life, by host
        self.over: dict[
            str, dict[tuple[str, str], None]
        ] = {}  # kept after their end, by customer, oldest first
        self.kept = 0  # how many these are

    # -- taking

    def joined(self, event: events.Submitted) -> bool:
        """Whether the session has asked for this key before: the same job is joined, another is a fault."""
        engine, entry = self.engine, self.ledger.entries.get((event.session, event.key))
        if entry is None:
            return False
        job = entry.job
        if (job.offering, job.customer, job.service, job.cores, job.memory, entry.work) != (
            event.offering,
            event.customer,
            event.service,
            event.cores,
            event.memory,
            event.work,
        ):
            engine.counts["turned away"] += 1
            engine.emitted.append(
                effects.DeclineJob(event.client, event.key, "this key names another job", 0.0)
            )
            return True
        engine.emitted.append(effects.AcceptJob(event.client, event.key, job.id))
        if entry.follow:
            self.follow(event.session, event.client)
            self.tell_one(event.client, entry)
        if entry.verdict:
            engine.emitted.append(
                effects.Answer(event.client, event.key, job.id, effects.Verdict(entry.verdict), entry.host)
            )
        else:
            taken = engine.unanswered[job.id]
            engine.clients.get(taken.client, set()).discard(job.id)
            taken.client = event.client
            engine.own(taken)
        return True

    def took(self, event: events.Submitted, job: api.Job, wait: float) -> Entry:
        stage = Stage.HELD if event.hold else Stage.LATER if event.start_in else Stage.WAITING
        entry = Entry(event.session, event.key, job, event.work, event.follow, stage, self.engine.now)
        self.add(entry)
        if event.follow:
            self.follow(event.session, event.client)
        if stage is not Stage.WAITING:
            self.set_aside(entry, wait, event.start_in)
        return entry

    def set_aside(self, entry: Entry, left: float, start_in: float = 0.0) -> None:
        """Its time stops at `left` seconds; it goes on when released, or when its start time comes."""
        engine = self.engine
        engine.unanswered[entry.job.id].left = left
        entry.job.expiry = float("inf")
        self.unmind(entry)
        if entry.stage is Stage.LATER:
            entry.timer = engine.timers.arm(engine.now + start_in, "later", entry.job.id)
        else:
            entry.timer = engine.timers.arm(
                engine.now + engine.cluster.limits.hold, "held too long", entry.job.id
            )

    def unmind(self, entry: Entry) -> None:
        """Its hold or its wait for a start time has ended: one timer a job, however often it is held and released."""
        if entry.timer:
            self.engine.timers.cancel(entry.timer)
            entry.timer = 0

    def go_on(self, entry: Entry) -> None:
        """Back to the module, with the time that was left."""
        engine, taken = self.engine, self.engine.unanswered[entry.job.id]
        if engine.in_force(taken) is None:  # held over a restart, and nothing of it can have run
            entry.reason = f"offering {entry.job.offering} is gone or has changed"
            engine.answer(entry.job.id, effects.Verdict.REJECTED)
            return
        self.unmind(entry)
        entry.stage, entry.job.expiry = Stage.WAITING, engine.now + taken.left
        engine.emitted.append(effects.RecordHold(entry.job.id, False, taken.left, 0.0))
        self.tell(entry)
        engine.tell(api.JobArrived(entry.job, taken.risk))

    def later_due(self, job_id: str) -> None:
        entry = self.ledger.by_job.get(job_id)
        if entry is not None and entry.stage is Stage.LATER:
            entry.timer = 0
            self.go_on(entry)

    def held_too_long(self, job_id: str) -> None:
        # guards against jobs that are held for ever: they count against what this controller may hold
        engine, entry = self.engine, self.ledger.by_job.get(job_id)
        if entry is not None and entry.stage is Stage.HELD:
            entry.timer = 0
            entry.reason = f"held for {engine.cluster.limits.hold:g} s"
            engine.answer(job_id, effects.Verdict.REJECTED)

    # -- orders

    def ordered(self, event: events.Ordered) -> None:
        engine, entry = self.engine, self.ledger.entries.get((event.session, event.key))
        if entry is None:
            engine.emitted.append(effects.Reply(event.client, event.key, event.kind, Fault.NO_SUCH_JOB))
            return
        taken, launch = engine.unanswered.get(entry.job.id), engine.by_job.get(entry.job.id)
        offering = engine.in_force(taken) if taken else None
        earlier = engine.unresolved.get(entry.job.id)
        may_have_run = bool(taken and taken.risk) or bool(
            earlier and any(not old.void for old in earlier.launches)
        )
        ruling = control.decide_order(
            event.kind,
            entry,
            launch is not None,
            may_have_run,
            offering.effect if offering else api.Effect.IRREVERSIBLE,
        )
        if ruling.action is OrderAction.REFUSE:
            engine.emitted.append(
                effects.Reply(event.client, event.key, event.kind, Fault.WRONG_STATE, ruling.reason)
            )
            return
        engine.emitted.append(effects.Reply(event.client, event.key, event.kind, Fault.NONE))
        if ruling.action is OrderAction.HOLD:
            self.hold(entry)
        elif ruling.action is OrderAction.RELEASE:
            self.go_on(entry)
        elif ruling.action is OrderAction.STOP:
            self.end_at_host(entry)
        elif ruling.action in (OrderAction.REJECT, OrderAction.WRITE_OFF):
            self.end_before(entry, launch, ruling.action)

    def hold(self, entry: Entry) -> None:
        engine, taken = self.engine, self.engine.unanswered[entry.job.id]
        if entry.stage is not Stage.LATER:
            taken.left = max(0.0, entry.job.expiry - engine.now)
            if engine.unresolved.pop(entry.job.id, None) is None and not taken.returning:
                engine.tell(api.JobWithdrawn(entry.job.id))
            taken.returning = False
        entry.stage = Stage.HELD
        self.set_aside(entry, taken.left)
        engine.emitted.append(effects.RecordHold(entry.job.id, True, taken.left, 0.0))
        self.tell(entry)

    def end_at_host(self, entry: Entry) -> None:
        """The host says when it has ended; until then the order stands, over broken links and restarts."""
        engine, launch = self.engine, self.engine.by_job.get(entry.job.id)
        entry.ending = True
        engine.emitted.append(
            effects.RecordProgress(entry.job.id, entry.stage.name, entry.reason, None, ending=True)
        )
        if launch is not None:
            launch.wanted = False
            engine.stop(launch)
        self.tell(entry)

    def end_before(self, entry: Entry, launch, move: OrderAction) -> None:
        engine, job_id, waits = self.engine, entry.job.id, entry.stage is Stage.WAITING
        entry.reason = "ended by its owner"
        if launch is not None:
            launch.wanted = False
            engine.stop(launch)
        known = (
            waits and engine.unresolved.pop(job_id, None) is None and not engine.unanswered[job_id].returning
        )
        engine.answer(
            job_id, effects.Verdict.REJECTED if move is OrderAction.REJECT else effects.Verdict.WRITTEN_OFF
        )
        if known:
            engine.tell(api.JobWithdrawn(job_id))

    # -- its course

    def answered(
        self, entry: Entry, verdict: str, host: str, launch: events.LaunchId | None, reason: str
    ) -> None:
        self.unmind(entry)
        self.ledger.answered(entry, self.engine.now, verdict, host, launch, reason)
        if not entry.follow or entry.over:
            self.keep_for_a_while(entry)

    def started(self, job_id: str, launch_id: events.LaunchId) -> None:
        entry = self.ledger.started(job_id, launch_id)
        if entry is not None:
            self.keep_course(entry)

    def ended(
        self, job_id: str, launch_id: events.LaunchId, result: api.Result, why: api.Reason, ran
    ) -> None:
        entry = self.ledger.ended(job_id, launch_id, self.engine.now, result, why, ran)
        if entry is not None:
            self.keep_course(entry)
            self.keep_for_a_while(entry)

    def keep_course(self, entry: Entry) -> None:
        if entry.follow:
            self.engine.emitted.append(
                effects.RecordProgress(
                    entry.job.id,
                    entry.stage.name,
                    entry.reason,
                    entry.ran,
                    over=entry.over,
                    ending=entry.ending,
                )
            )
            self.tell(entry)

    def accounted(self, host: str) -> None:
        """The host has said what it holds: what an earlier life placed there and it does not name has been lost."""
        for entry in self.unaccounted.pop(host, ()):
            if entry.stage in AT_HOST and entry.job.id not in self.engine.by_job:
                self.ended(entry.job.id, entry.launch, api.Result.CUT, api.Reason.UNTOLD, None)

    # -- telling

    def follow(self, session: str, client: int) -> None:
        if client:
            self.followers.setdefault(session, {})[client] = None

    def left(self, client: int) -> None:
        for session in [session for session, clients in self.followers.items() if client in clients]:
            del self.followers[session][client]
            if not self.followers[session]:
                del self.followers[session]

    def tell(self, entry: Entry) -> None:
        if entry.follow:
            for client in self.followers.get(entry.session, ()):
                self.tell_one(client, entry)

    def tell_one(self, client: int, entry: Entry) -> None:
        def ago(then):
            return -1.0 if then is None else max(0.0, self.engine.now - then)

        self.engine.emitted.append(
            effects.JobStatus(
                client,
                entry.key,
                entry.job,
                entry.work,
                entry.stage,
                entry.host,
                entry.reason,
                entry.ran,
                ago(entry.taken_at),
                ago(entry.placed_at),
                ago(entry.ended_at),
                entry.ending,
            )
        )

    def asked(self, event: events.StatusRequested) -> None:
        if event.key:
            entry = self.ledger.entries.get((event.session, event.key))
            if entry is None:
                self.engine.emitted.append(effects.Reply(event.client, event.key, None, Fault.NO_SUCH_JOB))
            else:
                self.tell_one(event.client, entry)
            return
        self.follow(event.session, event.client)
        page, more = self.ledger.page(event.session, event.after, PAGE)
        for entry in page:
            self.tell_one(event.client, entry)
        self.engine.emitted.append(effects.StatusPageEnd(event.client, more))

    # -- forgetting

    def answer_seen(self, event: events.AnswerSeen) -> None:
        entry = self.ledger.entries.get((event.session, event.key))
        if entry is not None and entry.verdict and not entry.follow:
            self.forget(entry)

    def forgotten(self, event: events.ForgetRequested) -> None:
        entry = self.ledger.entries.get((event.session, event.key))
        if entry is not None and (entry.over or entry.verdict and not entry.follow):
            self.forget(entry)

    def forget_due(self, key: tuple[str, str]) -> None:
        entry = self.ledger.entries.get(key)
        if entry is None or key not in self.over.get(entry.job.customer, ()):
            return
        since = entry.ended_at if entry.follow else entry.ended_at or entry.placed_at
        if self.engine.now >= since + self.engine.cluster.journal.answers_kept - 1e-6:
            self.forget(entry)  # else the key names a newer job, which has a timer of its own

    def add(self, entry: Entry) -> None:
        self.ledger.add(entry)
        self.bytes.add(entry.job.customer, RECORD + len(entry.work))

    def forget(self, entry: Entry) -> None:
        self.unmind(entry)
        self.ledger.drop(entry)
        self.bytes.add(entry.job.customer, -RECORD - len(entry.work))
        mine = self.over.get(entry.job.customer, {})
        if (entry.session, entry.key) in mine:
            del mine[entry.session, entry.key]
            self.kept -= 1
            if not mine:
                del self.over[entry.job.customer]
        self.engine.emitted.append(effects.DeleteRecord(entry.job.id))

    def keep_for_a_while(self, entry: Entry, passed: float = 0.0) -> None:
        engine, key = self.engine, (entry.session, entry.key)
        mine = self.over.setdefault(entry.job.customer, {})
        self.kept += key not in mine
        mine[key] = None
        engine.timers.arm(engine.now + max(0.0, engine.cluster.journal.answers_kept - passed), "forget", key)
        if self.kept == MAX_ENDED_JOBS + 1:  # in a turn, which writes to the journal what it forgets
            engine.timers.arm(engine.now, "too many kept", "")

    def too_many_kept(self) -> None:
        while self.kept > MAX_ENDED_JOBS:
            # of the customer that has most: an answer that another has not seen is asked for again, and would run twice
            most = max(self.over.values(), key=len)
            self.forget(self.ledger.entries[next(iter(most))])

    # -- what an earlier life left

    def recover_open(self, job: recovery.OpenJob, record: api.Job) -> Entry:
        stage = Stage.HELD if job.held else Stage.LATER if job.start_in else Stage.WAITING
        entry = Entry(
            job.session, job.key, record, job.work, job.follow, stage, self.engine.now - job.taken_ago
        )
        self.add(entry)
        if stage is not Stage.WAITING:
            self.set_aside(entry, job.expires_in, job.start_in)
        return entry

    def recover_answered(self, kept: recovery.StoredAnswer) -> None:
        now = self.engine.now
        entry = Entry(
            kept.session,
            kept.key,
            kept.job,
            kept.work,
            kept.follow,
            Stage[kept.stage],
            now - kept.taken_ago,
            now - kept.placed_ago if kept.placed_ago is not None else None,
            now - kept.ended_ago if kept.ended_ago is not None else None,
            kept.host,
            kept.launch,
            kept.reason,
            kept.ran,
            kept.ending,
        )
        self.add(entry)
        if entry.stage in AT_HOST and entry.follow:
            self.unaccounted.setdefault(entry.host, []).append(entry)
        else:
            self.keep_for_a_while(
                entry, kept.ended_ago if kept.ended_ago is not None else kept.placed_ago or 0.0
            )
