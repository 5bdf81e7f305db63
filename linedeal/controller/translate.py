"""The protocol's messages to the engine's events, and its effects to messages. Decides nothing."""

from linedeal import interface as api
from linedeal.engine import effects as do
from linedeal.engine import events as on
from linedeal.net import LinkLost
from linedeal.protocol import pb

RESULTS = {pb.DONE: api.Result.DONE, pb.ERROR: api.Result.ERROR, pb.LOST: api.Result.CUT,
           pb.STOPPED: api.Result.STOPPED}
WHYS = {pb.NO_CORES: api.Why.CORES, pb.NO_MEMORY: api.Why.MEMORY, pb.QUEUE_FULL: api.Why.QUEUE,
        pb.NOT_HERE: api.Why.NOT_HERE, pb.EVICTED: api.Why.EVICTED, pb.PUSHED_OUT: api.Why.PUSHED_OUT,
        pb.SENT_AWAY: api.Why.SENT_AWAY}
PHASES = {pb.QUEUED: on.Phase.QUEUED, pb.ACCEPTED: on.Phase.ACCEPTED, pb.RUNNING: on.Phase.RUNNING,
          pb.OVER: on.Phase.OVER}
MODES = {pb.SERVING: api.Mode.SERVING, pb.DRAINING: api.Mode.DRAINING, pb.GONE: api.Mode.GONE}
VERDICTS = {do.Verdict.PLACED: pb.PLACED, do.Verdict.REJECTED: pb.REJECTED, do.Verdict.WRITTEN_OFF: pb.WRITTEN_OFF}


def launch_id(message) -> on.LaunchId:
    return on.LaunchId(message.life, message.number)


def job_of(spec) -> api.Job:
    return api.Job(spec.id, spec.offering, spec.customer, spec.service, spec.cores, spec.memory, 0.0)


def spec_of(job: api.Job) -> pb.JobSpec:
    return pb.JobSpec(id=job.id, offering=job.offering, customer=job.customer, service=job.service, cores=job.cores,
                      memory=job.memory)


def held(item) -> on.Held:
    return on.Held(launch_id(item.launch), job_of(item.job), PHASES.get(item.phase, on.Phase.ACCEPTED),
                   RESULTS.get(item.outcome, api.Result.ERROR), WHYS.get(item.reason, api.Why.UNTOLD))


def listed(entry) -> on.ListedHost:
    return on.ListedHost(
        entry.id, tuple(entry.addresses), entry.kind, entry.zone, entry.cell,
        MODES.get(entry.mode, api.Mode.DRAINING), entry.boot, entry.age,
        entry.free_cores if entry.HasField("free_cores") else None,
        entry.free_memory if entry.HasField("free_memory") else None)


def host_said(host: str, message):
    """The event of one message on a host's link; None for one that says nothing to the engine.

    Raises LinkLost for a message that no host may send.
    """
    match message:
        case pb.Accepted():
            return on.Accepted(host, launch_id(message.launch))
        case pb.Refused():
            return on.Refused(host, launch_id(message.launch), WHYS.get(message.reason, api.Why.UNTOLD),
                              message.detail[:200])
        case pb.Started():
            return on.Started(host, launch_id(message.launch))
        case pb.Use():
            return on.Used(host, launch_id(message.launch), message.cores, message.memory)
        case pb.Service():
            return on.Served(host, launch_id(message.launch), message.served, message.host_memory)
        case pb.Ended():
            return on.Over(host, launch_id(message.launch), RESULTS.get(message.outcome, api.Result.ERROR),
                           WHYS.get(message.reason, api.Why.UNTOLD))
        case pb.Report():
            return on.Reported(host, message.number, dict(message.figures)) if message.number else None
        case pb.Bye():
            if message.fenced:
                return on.Fenced(host, message.reason[:200])
            raise LinkLost(f"told to go: {message.reason[:200]}")
    raise LinkLost(f"a host may not send {type(message).__name__}")


def submitted(client: int, session: str, message) -> on.Submitted:
    job = message.job
    return on.Submitted(client, message.key, job.offering, job.customer, job.service, job.cores, job.memory,
                        message.wait, session)


def to_client(effect):
    """The message that an effect owes to a client."""
    match effect:
        case do.Take(_, key, job):
            return pb.Taken(key=key, job=job)
        case do.TurnAway(_, key, reason, retry_after):
            return pb.TurnedAway(key=key, reason=reason, retry_after=retry_after)
        case do.Answer(_, key, job, verdict, host):
            return pb.Answer(key=key, job=job, verdict=VERDICTS[verdict], host=host)
    raise TypeError(f"no message for {effect!r}")
