"""The protocol's messages to the engine's events, and its effects to messages. Decides nothing."""

from google.protobuf.message import DecodeError

from linedeal import interface as api
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.engine.control import Fault, OrderKind
from linedeal.net import LinkLostError
from linedeal.protocol import pb

RESULTS = {
    pb.DONE: api.Result.DONE,
    pb.ERROR: api.Result.ERROR,
    pb.LOST: api.Result.CUT,
    pb.STOPPED: api.Result.STOPPED,
}
WHYS = {
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
    return events.LaunchId(message.life, message.number)


def job_of(spec) -> api.Job:
    return api.Job(spec.id, spec.offering, spec.customer, spec.service, spec.cores, spec.memory, 0.0)


def spec_of(job: api.Job, work: bytes = b"") -> pb.JobSpec:
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
    """How a run ended, where the host told it."""
    if not message.HasField("ran"):
        return None
    ran = message.ran
    return events.Ran(
        ran.status if ran.HasField("status") else None, ran.seconds, ran.core_seconds, ran.memory
    )


def held(item) -> events.HeldLaunch:
    return events.HeldLaunch(
        launch_id(item.launch),
        job_of(item.job),
        PHASES.get(item.phase, events.Phase.ACCEPTED),
        RESULTS.get(item.outcome, api.Result.ERROR),
        WHYS.get(item.reason, api.Reason.UNTOLD),
        ran_of(item),
    )


def listed(entry) -> events.ListedHost:
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


def host_said(host: str, message):
    """The event of one message on a host's link; None for one that says nothing to the engine.

    Raises LinkLostError for a message that no host may send.
    """
    match message:
        case pb.Accepted():
            return events.Accepted(host, launch_id(message.launch))
        case pb.Refused():
            return events.Refused(
                host,
                launch_id(message.launch),
                WHYS.get(message.reason, api.Reason.UNTOLD),
                message.detail[:200],
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
                WHYS.get(message.reason, api.Reason.UNTOLD),
                ran_of(message),
            )
        case pb.Report():
            return (
                events.ProbeReported(host, message.number, dict(message.figures)) if message.number else None
            )
        case pb.Bye():
            if message.fenced:
                return events.Fenced(host, message.reason[:200])
            raise LinkLostError(f"told to go: {message.reason[:200]}")
    raise LinkLostError(f"a host may not send {type(message).__name__}")


def submitted(client: int, session: str, proven: str, message) -> events.Submitted:
    job = message.job
    return events.Submitted(
        client,
        message.key,
        job.offering,
        job.customer or proven,
        job.service,
        job.cores,
        job.memory,
        message.wait,
        session,
        proven,
        job.work,
        message.follow,
        message.hold,
        message.start_in,
    )


def standing(effect: effects.JobStatus) -> pb.Standing:
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
    """What clients are told of the offerings: they need to know which may be asked for twice."""
    return [
        pb.OfferingInfo(name=name, redoable=item.effect is api.Effect.REDOABLE, expiry=item.expiry)
        for name, item in settings.offerings.items()
    ]


def name_of(work: bytes) -> str:
    """The name that a job's owner gave it; the one thing in its work that is shown."""
    try:
        return pb.Work.FromString(work).name[:200] if work else ""
    except DecodeError:
        return ""  # it is the owner's and the host's affair, nothing here depends on it


def message_for_client(effect):
    """The message that an effect owes to a client."""
    match effect:
        case effects.AcceptJob(_, key, job):
            return pb.Taken(key=key, job=job)
        case effects.DeclineJob(_, key, reason, retry_after):
            return pb.TurnedAway(key=key, reason=reason, retry_after=retry_after)
        case effects.Answer(_, key, job, verdict, host):
            return pb.Answer(key=key, job=job, verdict=VERDICTS[verdict], host=host)
        case effects.JobStatus():
            return standing(effect)
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
