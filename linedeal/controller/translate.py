"""Converts protocol messages to engine events, and engine effects to messages. Makes no decisions."""

from google.protobuf.message import DecodeError

from linedeal import interface as api
from linedeal.engine import effects, events
from linedeal.engine.control import Fault, OrderKind
from linedeal.net import LinkLostError
from linedeal.protocol import pb

MAX_TEXT_CHARS = 200  # of a text from a peer that is logged or passed on
RESULTS = {
    pb.DONE: api.Result.DONE,
    pb.ERROR: api.Result.ERROR,
    pb.LOST: api.Result.CUT,
    pb.STOPPED: api.Result.STOPPED,
}
REASONS = {
    pb.NO_CORES: api.Reason.CORES,
    pb.NO_MEMORY: api.Reason.MEMORY,
    pb.QUEUE_FULL: api.Reason.QUEUE,
    pb.NOT_HERE: api.Reason.NOT_HERE,
    pb.EVICTED: api.Reason.EVICTED,
    pb.PUSHED_OUT: api.Reason.PUSHED_OUT,
    pb.SENT_AWAY: api.Reason.SENT_AWAY,
}
PHASES = {
    pb.QUEUED: events.Phase.QUEUED,
    pb.ACCEPTED: events.Phase.ACCEPTED,
    pb.RUNNING: events.Phase.RUNNING,
    pb.OVER: events.Phase.OVER,
}
MODES = {pb.SERVING: api.Mode.SERVING, pb.DRAINING: api.Mode.DRAINING, pb.GONE: api.Mode.GONE}
ORDERS = {pb.HOLD: OrderKind.HOLD, pb.RELEASE: OrderKind.RELEASE, pb.END: OrderKind.END}
ORDER_CODES = {kind: code for code, kind in ORDERS.items()}
FAULTS = {Fault.NONE: pb.FAULT_NONE, Fault.NO_SUCH_JOB: pb.NO_SUCH_JOB, Fault.WRONG_STATE: pb.WRONG_STATE}
VERDICTS = {
    effects.Verdict.PLACED: pb.PLACED,
    effects.Verdict.REJECTED: pb.REJECTED,
    effects.Verdict.WRITTEN_OFF: pb.WRITTEN_OFF,
}


def launch_id(message) -> events.LaunchId:
    """The ID in a message, without the controller's name."""
    return events.LaunchId(message.life, message.number)


def job_of(spec) -> api.Job:
    """The job in a message; its expiry is not part of it and is 0."""
    return api.Job(spec.id, spec.offering, spec.customer, spec.service, spec.cores, spec.memory, 0.0)


def spec_of(job: api.Job, work: bytes = b"") -> pb.JobSpec:
    """The message that describes a job."""
    return pb.JobSpec(
        id=job.id,
        offering=job.offering,
        customer=job.customer,
        service=job.service,
        cores=job.cores,
        memory=job.memory,
        work=work,
    )


def ran_of(message) -> events.Ran | None:
    """How a run ended; None if the host did not report it."""
    if not message.HasField("ran"):
        return None
    ran = message.ran
    return events.Ran(
        ran.status if ran.HasField("status") else None, ran.seconds, ran.core_seconds, ran.memory
    )


def held_launch(item) -> events.HeldLaunch:
    """A launch that a host reports when a link is established."""
    return events.HeldLaunch(
        launch_id(item.launch),
        job_of(item.job),
        PHASES.get(item.phase, events.Phase.ACCEPTED),
        RESULTS.get(item.outcome, api.Result.ERROR),
        REASONS.get(item.reason, api.Reason.UNTOLD),
        ran_of(item),
    )


def listed_host(entry) -> events.ListedHost:
    """An entry of the host list. A host with an unknown mode counts as draining and gets no launches."""
    return events.ListedHost(
        entry.id,
        tuple(entry.addresses),
        entry.kind,
        entry.zone,
        entry.cell,
        MODES.get(entry.mode, api.Mode.DRAINING),
        entry.boot,
        entry.age,
        entry.free_cores if entry.HasField("free_cores") else None,
        entry.free_memory if entry.HasField("free_memory") else None,
    )


def host_event(host: str, message):
    """The event of a message on a host's link; None for a message that the engine does not need.

    Raises LinkLostError for a message that no host may send.
    """
    match message:
        case pb.Accepted():
            return events.Accepted(host, launch_id(message.launch))
        case pb.Refused():
            return events.Refused(
                host,
                launch_id(message.launch),
                REASONS.get(message.reason, api.Reason.UNTOLD),
                message.detail[:MAX_TEXT_CHARS],
            )
        case pb.Started():
            return events.Started(host, launch_id(message.launch))
        case pb.Use():
            return events.UsageReported(host, launch_id(message.launch), message.cores, message.memory)
        case pb.Service():
            return events.ServiceReported(
                host, launch_id(message.launch), message.served, message.host_memory
            )
        case pb.Ended():
            return events.LaunchEnded(
                host,
                launch_id(message.launch),
                RESULTS.get(message.outcome, api.Result.ERROR),
                REASONS.get(message.reason, api.Reason.UNTOLD),
                ran_of(message),
            )
        case pb.Report():
            return (
                events.ProbeReported(host, message.number, dict(message.figures)) if message.number else None
            )
        case pb.Bye():
            if message.fenced:
                return events.Fenced(host, message.reason[:MAX_TEXT_CHARS])
            raise LinkLostError(f"closed by the host: {message.reason[:MAX_TEXT_CHARS]}")
    raise LinkLostError(f"a host may not send {type(message).__name__}")


def submit_event(client: int, session: str, customer: str, message) -> events.Submitted:
    """The event of a submitted job; `customer` is the authenticated one, empty without a key."""
    job = message.job
    return events.Submitted(
        client,
        message.key,
        job.offering,
        job.customer or customer,
        job.service,
        job.cores,
        job.memory,
        message.wait,
        session,
        customer,
        job.work,
        message.follow,
        message.hold,
        message.start_in,
    )


def status_message(effect: effects.JobStatus) -> pb.Standing:
    """The message with the status of a job."""
    ran = None
    if effect.ran is not None:
        ran = pb.Ran(
            status=effect.ran.status,
            seconds=effect.ran.seconds,
            core_seconds=effect.ran.core_seconds,
            memory=effect.ran.memory,
        )
    return pb.Standing(
        key=effect.key,
        job=spec_of(effect.job),
        stage=pb.Stage.Value(f"STAGE_{effect.stage.name}"),
        host=effect.host,
        reason=effect.reason,
        ran=ran,
        taken_ago=effect.taken_ago,
        placed_ago=effect.placed_ago,
        ended_ago=effect.ended_ago,
        name=name_of(effect.work),
        ending=effect.ending,
    )


def offerings(settings: api.Settings) -> list[pb.OfferingInfo]:
    """The offerings as sent to clients, which need to know the jobs that may be submitted again elsewhere."""
    return [
        pb.OfferingInfo(name=name, redoable=item.effect is api.Effect.REDOABLE, expiry=item.expiry)
        for name, item in settings.offerings.items()
    ]


def name_of(work: bytes) -> str:
    """The name that its owner gave a job, the only part of the work that is shown; empty if there is none."""
    try:
        return pb.Work.FromString(work).name[:MAX_TEXT_CHARS] if work else ""
    except DecodeError:
        return ""  # only the owner and the host interpret the work


def message_for_client(effect):
    """The message that notifies a client of an effect."""
    match effect:
        case effects.AcceptJob(_, key, job):
            return pb.Taken(key=key, job=job)
        case effects.DeclineJob(_, key, reason, retry_after):
            return pb.TurnedAway(key=key, reason=reason, retry_after=retry_after)
        case effects.Answer(_, key, job, verdict, host):
            return pb.Answer(key=key, job=job, verdict=VERDICTS[verdict], host=host)
        case effects.JobStatus():
            return status_message(effect)
        case effects.StatusPageEnd(_, more):
            return pb.AllTold(more=more)
        case effects.Reply(_, key, kind, fault, reason):
            return pb.Ordered(
                key=key,
                kind=ORDER_CODES.get(kind, pb.ORDER_UNKNOWN),
                fault=FAULTS[fault],
                reason=reason or (fault.value if fault is not Fault.NONE else ""),
            )
    raise TypeError(f"no message for {effect!r}")
