"""The jobs that sessions own: joined by key, held, released, ended, reported and forgotten.

A part of the engine, through which it acts. `control.decide_order` decides what an order does; the ledger
holds the state of each job.
"""

from linedeal import interface as api
from linedeal.engine import control, effects, events, recovery
from linedeal.engine.admission import FairShares
from linedeal.engine.control import Fault, OrderAction
from linedeal.engine.ledger import AT_HOST, Entry, Ledger, Stage

RECORD_BYTES = 300  # that the journal takes for a job without work
PAGE_SIZE = 200  # job states sent for one request; the client asks for the next page
# jobs retained after their end for owners that do not return; beyond it the oldest are forgotten
MAX_ENDED_JOBS = 100_000


class Sessions:
    """Manages the sessions' jobs and notifies the clients that follow them."""

    def __init__(self, engine):
        """Starts with no jobs; `engine`: the engine that this is a part of."""
        self.engine = engine
        self.ledger = Ledger()
        self.journal_bytes = FairShares()  # of each customer's jobs, approximately
        self.followers: dict[str, dict[int, None]] = {}  # links that are notified of each change, by session
        self.unaccounted: dict[str, list[Entry]] = {}  # placed by an earlier incarnation, by host
        # keys of entries retained after their end, by customer, oldest first
        self.retained: dict[str, dict[tuple[str, str], None]] = {}
        self.retained_count = 0  # over all customers

    # -- submission

    def join(self, event: events.Submitted) -> bool:
        """Whether the session has used this key before.

        Then the client joins the job; it is declined if the submission names a different job.
        """
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
            self.add_follower(event.session, event.client)
            self.send_status(event.client, entry)
        if entry.verdict:
            engine.emitted.append(
                effects.Answer(event.client, event.key, job.id, effects.Verdict(entry.verdict), entry.host)
            )
        else:
            owed = engine.unanswered[job.id]
            engine.clients.get(owed.client, set()).discard(job.id)
            owed.client = event.client
            engine.add_unanswered(owed)
        return True

    def add_job(self, event: events.Submitted, job: api.Job, wait: float) -> Entry:
        """Adds an accepted job; `wait`: seconds until its expiry, once it may be launched."""
        stage = Stage.HELD if event.hold else Stage.LATER if event.start_in else Stage.WAITING
        entry = Entry(event.session, event.key, job, event.work, event.follow, stage, self.engine.now)
        self.add(entry)
        if event.follow:
            self.add_follower(event.session, event.client)
        if stage is not Stage.WAITING:
            self.suspend(entry, wait, event.start_in)
        return entry

    def suspend(self, entry: Entry, remaining: float, start_in: float = 0.0) -> None:
        """Stops the job's time, with `remaining` seconds left, until its release or its start time."""
        engine = self.engine
        engine.unanswered[entry.job.id].remaining = remaining
        entry.job.expiry = float("inf")
        self.cancel_timer(entry)
        if entry.stage is Stage.LATER:
            entry.timer = engine.timers.arm(engine.now + start_in, "start time", entry.job.id)
        else:
            entry.timer = engine.timers.arm(
                engine.now + engine.cluster.limits.hold, "hold limit", entry.job.id
            )

    def cancel_timer(self, entry: Entry) -> None:
        """Cancels the timer of a hold or a start time: a job has at most one, however often it is held and
        released.
        """
        if entry.timer:
            self.engine.timers.cancel(entry.timer)
            entry.timer = 0

    def resume(self, entry: Entry) -> None:
        """Passes a suspended job to the module, with the time that remained."""
        engine, owed = self.engine, self.engine.unanswered[entry.job.id]
        if engine.current_offering(owed) is None:  # held over a restart; none of its launches can have run
            entry.reason = f"offering {entry.job.offering} is gone or has changed"
            engine.answer(entry.job.id, effects.Verdict.REJECTED)
            return
        self.cancel_timer(entry)
        entry.stage, entry.job.expiry = Stage.WAITING, engine.now + owed.remaining
        engine.emitted.append(effects.RecordHold(entry.job.id, False, owed.remaining, 0.0))
        self.notify_followers(entry)
        engine.notify_module(api.JobArrived(entry.job, owed.uncertain_launch))

    def handle_start_time(self, job_id: str) -> None:
        """Resumes a job at its start time."""
        entry = self.ledger.by_job.get(job_id)
        if entry is not None and entry.stage is Stage.LATER:
            entry.timer = 0
            self.resume(entry)

    def handle_hold_timeout(self, job_id: str) -> None:
        """Rejects a job that has been held for too long: held jobs count against the controller's limit."""
        engine, entry = self.engine, self.ledger.by_job.get(job_id)
        if entry is not None and entry.stage is Stage.HELD:
            entry.timer = 0
            entry.reason = f"held for {engine.cluster.limits.hold:g} s"
            engine.answer(job_id, effects.Verdict.REJECTED)

    # -- orders

    def handle_order(self, event: events.Ordered) -> None:
        """Carries out an owner's order, or refuses it, and replies."""
        engine, entry = self.engine, self.ledger.entries.get((event.session, event.key))
        if entry is None:
            engine.emitted.append(effects.Reply(event.client, event.key, event.kind, Fault.NO_SUCH_JOB))
            return
        owed, launch = engine.unanswered.get(entry.job.id), engine.by_job.get(entry.job.id)
        offering = engine.current_offering(owed) if owed else None
        recovered = engine.unresolved.get(entry.job.id)
        may_have_run = bool(owed and owed.uncertain_launch) or bool(
            recovered and any(not old.void for old in recovered.launches)
        )
        decision = control.decide_order(
            event.kind,
            entry,
            launch is not None,
            may_have_run,
            offering.effect if offering else api.Effect.IRREVERSIBLE,
        )
        if decision.action is OrderAction.REFUSE:
            engine.emitted.append(
                effects.Reply(event.client, event.key, event.kind, Fault.WRONG_STATE, decision.reason)
            )
            return
        engine.emitted.append(effects.Reply(event.client, event.key, event.kind, Fault.NONE))
        if decision.action is OrderAction.HOLD:
            self.hold(entry)
        elif decision.action is OrderAction.RELEASE:
            self.resume(entry)
        elif decision.action is OrderAction.STOP:
            self.end_at_host(entry)
        elif decision.action in (OrderAction.REJECT, OrderAction.WRITE_OFF):
            self.end_unplaced(entry, launch, decision.action)

    def hold(self, entry: Entry) -> None:
        """Withdraws a job from the module and suspends it."""
        engine, owed = self.engine, self.engine.unanswered[entry.job.id]
        if entry.stage is not Stage.LATER:
            owed.remaining = max(0.0, entry.job.expiry - engine.now)
            if engine.unresolved.pop(entry.job.id, None) is None and not owed.returning:
                engine.notify_module(api.JobWithdrawn(entry.job.id))
            owed.returning = False
        entry.stage = Stage.HELD
        self.suspend(entry, owed.remaining)
        engine.emitted.append(effects.RecordHold(entry.job.id, True, owed.remaining, 0.0))
        self.notify_followers(entry)

    def end_at_host(self, entry: Entry) -> None:
        """Ends a placed job.

        The host reports when it has ended; until then the order persists across broken links and restarts.
        """
        engine, launch = self.engine, self.engine.by_job.get(entry.job.id)
        entry.ending = True
        engine.emitted.append(
            effects.RecordProgress(entry.job.id, entry.stage.name, entry.reason, None, ending=True)
        )
        if launch is not None:
            launch.wanted = False
            engine.send_stop(launch)
        self.notify_followers(entry)

    def end_unplaced(self, entry: Entry, launch, action: OrderAction) -> None:
        """Ends a job that is not placed: answers it at once, and stops its launch if one is out."""
        engine, job_id, waits = self.engine, entry.job.id, entry.stage is Stage.WAITING
        entry.reason = "ended by its owner"
        if launch is not None:
            launch.wanted = False
            engine.send_stop(launch)
        known = (
            waits and engine.unresolved.pop(job_id, None) is None and not engine.unanswered[job_id].returning
        )
        engine.answer(
            job_id, effects.Verdict.REJECTED if action is OrderAction.REJECT else effects.Verdict.WRITTEN_OFF
        )
        if known:
            engine.notify_module(api.JobWithdrawn(job_id))

    # -- progress

    def record_answer(
        self, entry: Entry, verdict: str, host: str, launch: events.LaunchId | None, reason: str
    ) -> None:
        """Records a job's answer."""
        self.cancel_timer(entry)
        self.ledger.record_answer(entry, self.engine.now, verdict, host, launch, reason)
        if not entry.follow or entry.over:
            self.retain(entry)

    def record_start(self, job_id: str, launch_id: events.LaunchId) -> None:
        """Records that a placed job runs."""
        entry = self.ledger.record_start(job_id, launch_id)
        if entry is not None:
            self.record_progress(entry)

    def record_end(
        self, job_id: str, launch_id: events.LaunchId, result: api.Result, reason: api.Reason, ran
    ) -> None:
        """Records how a placed job ended."""
        entry = self.ledger.record_end(job_id, launch_id, self.engine.now, result, reason, ran)
        if entry is not None:
            self.record_progress(entry)
            self.retain(entry)

    def record_progress(self, entry: Entry) -> None:
        """Stores the progress of a job that is followed, and notifies its followers."""
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
            self.notify_followers(entry)

    def handle_inventory(self, host: str) -> None:
        """The host has sent its inventory, or is gone: recovered jobs that were placed there and are missing
        are lost.
        """
        for entry in self.unaccounted.pop(host, ()):
            if entry.stage in AT_HOST and entry.job.id not in self.engine.by_job:
                self.record_end(entry.job.id, entry.launch, api.Result.CUT, api.Reason.UNTOLD, None)

    # -- notification

    def add_follower(self, session: str, client: int) -> None:
        """From now on the client is notified of each change of the session's followed jobs."""
        if client:
            self.followers.setdefault(session, {})[client] = None

    def remove_client(self, client: int) -> None:
        """Removes a disconnected client from all followers."""
        for session in [session for session, clients in self.followers.items() if client in clients]:
            del self.followers[session][client]
            if not self.followers[session]:
                del self.followers[session]

    def notify_followers(self, entry: Entry) -> None:
        """Sends a job's state to the clients that follow its session."""
        if entry.follow:
            for client in self.followers.get(entry.session, ()):
                self.send_status(client, entry)

    def send_status(self, client: int, entry: Entry) -> None:
        """Sends a job's state to one client."""

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

    def handle_status_request(self, event: events.StatusRequested) -> None:
        """Sends the state of one job, or a page of the session's jobs, which the client then follows."""
        if event.key:
            entry = self.ledger.entries.get((event.session, event.key))
            if entry is None:
                self.engine.emitted.append(effects.Reply(event.client, event.key, None, Fault.NO_SUCH_JOB))
            else:
                self.send_status(event.client, entry)
            return
        self.add_follower(event.session, event.client)
        page, more = self.ledger.page(event.session, event.after, PAGE_SIZE)
        for entry in page:
            self.send_status(event.client, entry)
        self.engine.emitted.append(effects.StatusPageEnd(event.client, more))

    # -- retention

    def handle_answer_seen(self, event: events.AnswerSeen) -> None:
        """Forgets a job whose owner has received its answer, unless the job is followed."""
        entry = self.ledger.entries.get((event.session, event.key))
        if entry is not None and entry.verdict and not entry.follow:
            self.forget(entry)

    def handle_forget_request(self, event: events.ForgetRequested) -> None:
        """Forgets a job that is over, or that is answered and not followed."""
        entry = self.ledger.entries.get((event.session, event.key))
        if entry is not None and (entry.over or entry.verdict and not entry.follow):
            self.forget(entry)

    def handle_retention_end(self, key: tuple[str, str]) -> None:
        """Forgets a job that has been retained for long enough."""
        entry = self.ledger.entries.get(key)
        if entry is None or key not in self.retained.get(entry.job.customer, ()):
            return
        since = entry.ended_at if entry.follow else entry.ended_at or entry.placed_at
        if self.engine.now >= since + self.engine.cluster.journal.answers_kept - 1e-6:
            self.forget(entry)  # otherwise the key names a newer job, which has a timer of its own

    def add(self, entry: Entry) -> None:
        """Adds an entry and counts its bytes in the journal."""
        self.ledger.add(entry)
        self.journal_bytes.add(entry.job.customer, RECORD_BYTES + len(entry.work))

    def forget(self, entry: Entry) -> None:
        """Drops an entry, its timer and its record."""
        self.cancel_timer(entry)
        self.ledger.remove(entry)
        self.journal_bytes.add(entry.job.customer, -RECORD_BYTES - len(entry.work))
        of_customer = self.retained.get(entry.job.customer, {})
        if (entry.session, entry.key) in of_customer:
            del of_customer[entry.session, entry.key]
            self.retained_count -= 1
            if not of_customer:
                del self.retained[entry.job.customer]
        self.engine.emitted.append(effects.DeleteRecord(entry.job.id))

    def retain(self, entry: Entry, elapsed: float = 0.0) -> None:
        """Retains an ended job for the configured time, of which `elapsed` seconds have passed."""
        engine, key = self.engine, (entry.session, entry.key)
        of_customer = self.retained.setdefault(entry.job.customer, {})
        self.retained_count += key not in of_customer
        of_customer[key] = None
        engine.timers.arm(engine.now + max(0.0, engine.cluster.journal.answers_kept - elapsed), "forget", key)
        # by a timer, so that it happens in a step: only a step deletes records from the journal
        if self.retained_count == MAX_ENDED_JOBS + 1:
            engine.timers.arm(engine.now, "retained limit", "")

    def trim_retained(self) -> None:
        """Forgets the oldest retained jobs beyond the limit, of the customer that has most.

        An owner that has not seen its answer submits again, and the job would run twice: one customer must
        not cause that for another.
        """
        while self.retained_count > MAX_ENDED_JOBS:
            largest = max(self.retained.values(), key=len)
            self.forget(self.ledger.entries[next(iter(largest))])

    # -- recovery of what an earlier incarnation left

    def recover_open(self, job: recovery.OpenJob, record: api.Job) -> Entry:
        """Restores a job for which an answer is owed."""
        stage = Stage.HELD if job.held else Stage.LATER if job.start_in else Stage.WAITING
        entry = Entry(
            job.session, job.key, record, job.work, job.follow, stage, self.engine.now - job.taken_ago
        )
        self.add(entry)
        if stage is not Stage.WAITING:
            self.suspend(entry, job.expires_in, job.start_in)
        return entry

    def recover_answered(self, stored: recovery.StoredAnswer) -> None:
        """Restores a job that is answered; one that is followed awaits its host's inventory."""
        now = self.engine.now
        entry = Entry(
            stored.session,
            stored.key,
            stored.job,
            stored.work,
            stored.follow,
            Stage[stored.stage],
            now - stored.taken_ago,
            now - stored.placed_ago if stored.placed_ago is not None else None,
            now - stored.ended_ago if stored.ended_ago is not None else None,
            stored.host,
            stored.launch,
            stored.reason,
            stored.ran,
            stored.ending,
        )
        self.add(entry)
        if entry.stage in AT_HOST and entry.follow:
            self.unaccounted.setdefault(entry.host, []).append(entry)
        else:
            self.retain(entry, stored.ended_ago if stored.ended_ago is not None else stored.placed_ago or 0.0)
