"""The five rules, each checked against the record alone."""

from bisect import bisect_right
from dataclasses import dataclass

from linedeal.audit.traffic import NEVER, ObservedJob, ObservedLaunch, Traffic
from linedeal.interface import Effect, TopologyLevel
from linedeal.protocol import pb
from linedeal.settings.records import Cluster

# seconds after a session reconnects within which it must receive the answers that it missed; covers the time
# for which a new incarnation of the controller waits for its hosts' inventories
RECONNECT_GRACE = 2.5
# seconds by which the recorded times of messages on different links may differ although the controller
# handled them at the same moment
JITTER = 0.15
RULES = {
    1: "every job taken is answered once, in time, and nothing is sent after",
    2: "no effect twice, one launch out at a time",
    3: "nothing new to a draining or gone host past the grace",
    4: "hosts in slow start are not overloaded",
    5: "spread is kept at each send",
}


@dataclass(frozen=True, slots=True)
class Breach:
    """A breach of one rule; `t` in seconds on the recorder's clock."""

    rule: int
    t: float
    text: str


def find_breaches(traffic: Traffic, cluster: Cluster) -> list[Breach]:
    """Returns all breaches, in order of rule and time; an empty list if all five rules hold."""
    found = [Breach(rule, t, text) for t, rule, text in traffic.duplicates]
    for job in traffic.jobs.values():
        found += check_answer(traffic, cluster, job)
        found += check_repeats(traffic, cluster, job)
    found += check_drains(traffic, cluster)
    found += check_slow_start(traffic, cluster)
    found += check_spread(traffic, cluster)
    return sorted(found, key=lambda breach: (breach.rule, breach.t, breach.text))


def offering_of(cluster, job):
    """Returns the settings of the job's offering."""
    return cluster.settings.offerings[job.offering]


# -- rule 1


def next_kill(traffic: Traffic, name: str, since: float) -> float:
    """Returns when the process was first killed at or after `since`, or NEVER."""
    return next((t for t, what, who in traffic.marks if what == "kill" and who == name and t >= since), NEVER)


def end_of_pause(traffic: Traffic, name: str, t: float) -> float:
    """Returns the end of the process's injected pause that was in effect at `t`, or `t` if there was none."""
    stopped = None
    for at, what, who in traffic.marks:
        if who == name and what == "stop":
            stopped = at
        elif who == name and what == "continue" and stopped is not None:
            if stopped <= t <= at:
                return at
            stopped = None
    return t


def check_answer(traffic, cluster, job: ObservedJob):
    """Rule 1: one answer by the due time, the same however often it is sent, and no launch after it."""
    offering = offering_of(cluster, job)
    wait = min(job.wait or offering.expiry, offering.expiry)
    due = end_of_pause(traffic, job.controller, max(job.taken, job.began) + wait) + cluster.rules.answer_slack
    if job.session:
        # A session's job survives kills and broken links: its answer is due once the controller runs and a
        # link is open. A job on hold has no due time.
        due, excused_at = delivery_deadline(traffic, job, due), NEVER if not job.on_hold else 0.0
    else:
        # Without a session, the end of the controller or of the owner's link excuses a missing answer.
        excused_at = min(next_kill(traffic, job.controller, job.taken), job.left)
    verdicts = job.reported_verdicts
    if not verdicts:
        if excused_at > due and traffic.end > due:
            yield Breach(1, due, f"{job.id} ({job.offering}) was taken at {job.taken:.3f} and never answered")
        return
    first = verdicts[0][0]
    if first > due:
        yield Breach(
            1, first, f"{job.id} ({job.offering}) was answered {first - due:.3f} s past its time and slack"
        )
    if not job.session and len(job.answers) > 1:
        yield Breach(1, job.answers[1][0], f"{job.id} ({job.offering}) was answered {len(job.answers)} times")
    # After a reconnect a session may be sent the same verdict again, never a different one.
    for t, verdict in verdicts:
        if verdict != verdicts[0][1]:
            yield Breach(
                1,
                t,
                f"{job.id} ({job.offering}) was answered {pb.Verdict.Name(verdicts[0][1])} and then "
                f"{pb.Verdict.Name(verdict)}",
            )
            break
    for launch in job.launches:
        if launch.t > first:
            yield Breach(
                1, launch.t, f"{job.id} was sent to {launch.host} {launch.t - first:.3f} s after its answer"
            )


def delivery_deadline(traffic: Traffic, job: ObservedJob, due: float) -> float:
    """Returns when a session must have its answer: at `due`, or RECONNECT_GRACE after it reconnects.

    Only links that remain open for RECONNECT_GRACE count.
    """
    end = NEVER
    for opened, ended, _ in traffic.sessions.get((job.controller, job.session), ()):
        if opened <= due <= ended - RECONNECT_GRACE:
            # This link is open at the due time. Answers lost with an earlier link are repeated when it opens.
            end = min(end, max(due, opened + RECONNECT_GRACE))
        elif opened > due and ended > opened + RECONNECT_GRACE:
            end = min(end, opened + RECONNECT_GRACE)
    return end


# -- rule 2


def check_repeats(traffic, cluster, job: ObservedJob):
    """Rule 2: launches of a job do not overlap, and it runs again only as its offering's effect permits."""
    offering = offering_of(cluster, job)
    for index, launch in enumerate(job.launches):
        earlier = job.launches[:index]
        for other in earlier:
            ended_at = min(
                other.t + other.wait,
                other.refused,
                other.ended,
                other.stopped,
                other.link_end,
                other.absent,
                other.lost,
            )
            if ended_at > launch.t + JITTER:
                yield Breach(
                    2,
                    launch.t,
                    f"{job.id} was sent to {launch.host} while its launch at {other.host} was out",
                )
        may_have_run = [other for other in earlier if other.never_ran > launch.t]
        if not may_have_run or offering.effect is Effect.REDOABLE:
            continue
        first = may_have_run[0]
        if offering.effect is Effect.IRREVERSIBLE:
            yield Breach(
                2,
                launch.t,
                f"{job.id} (irreversible) was sent to {launch.host}, and may have run at {first.host}",
            )
        elif domain_of(traffic, offering.dedup_level, launch.host) != domain_of(
            traffic, offering.dedup_level, first.host
        ):
            yield Breach(
                2,
                launch.t,
                f"{job.id} (labelled) was sent to {launch.host}, outside the group of "
                f"{first.host} where it may have run",
            )
        elif launch.t > first.t + offering.dedup_window + JITTER:
            yield Breach(
                2,
                launch.t,
                f"{job.id} (labelled) was sent again {launch.t - first.t:.3f} s after a launch "
                f"that may have run, past its window",
            )
    for t, verdict in job.answers + job.status_verdicts[:1]:
        may_have_run = [launch for launch in job.launches if launch.never_ran > t]
        # After a rejection the owner may submit the job again, and any host may run it.
        harmless = offering.effect is Effect.REDOABLE or (
            offering.effect is Effect.LABELLED and offering.dedup_level is TopologyLevel.ALL
        )
        if verdict == pb.REJECTED and may_have_run and not harmless:
            yield Breach(
                2,
                t,
                f"{job.id} ({offering.effect.name.lower()}) was rejected, and may have run at "
                f"{may_have_run[0].host}",
            )


def domain_of(traffic, level: TopologyLevel, host: str):
    """Returns the topology domain of a host at a level: "all", its zone, its cell or its own name."""
    zone, cell = traffic.places.get(host, ("", 0))
    return {TopologyLevel.ALL: "all", TopologyLevel.ZONE: zone, TopologyLevel.CELL: cell}.get(level, host)


# -- rule 3


def check_drains(traffic, cluster):
    """Rule 3: past the grace, no launch is sent to a host that its controller knows is draining or gone."""
    for launch in traffic.launches.values():
        view = traffic.host_views.get((launch.controller, launch.life, launch.host))
        since = None
        for t, mode in view.modes if view else ():
            if t > launch.t:
                break
            if mode == pb.SERVING:
                since = None
            elif since is None:
                since = t
        if since is not None and launch.t > since + cluster.rules.drain_grace:
            yield Breach(
                3,
                launch.t,
                f"{launch.job.id} was sent to {launch.host} {launch.t - since:.3f} s after "
                f"{launch.controller} was notified that it drains or is gone",
            )


# -- rule 4


def check_slow_start(traffic, cluster):
    """Rule 4: a host in slow start is offered no more launches within the window than its limit.

    Reports each boot at most once. A burst is a breach only if controllers that knew of the boot sent at
    least two thirds of its launches: other controllers could not know that the host had just started.
    """
    settings = cluster.settings
    by_boot: dict[tuple, list[ObservedLaunch]] = {}
    for launch in traffic.launches.values():
        booted = traffic.booted.get((launch.host, launch.boot))
        if (
            booted is not None
            and booted <= launch.t < booted + settings.slow_start_duration
            and not launch.held_back
        ):
            by_boot.setdefault((launch.host, launch.boot), []).append(launch)
    for (host, boot), sent in sorted(by_boot.items()):
        sent.sort(key=lambda launch: launch.t)
        times = [launch.t for launch in sent]
        for end, launch in enumerate(sent):
            burst = sent[bisect_right(times, launch.t - settings.slow_start_window) : end + 1]
            informed = [other for other in burst if other.t >= known_boots(traffic, other).get(boot, NEVER)]
            if len(burst) > settings.slow_start_limit and 3 * len(informed) >= 2 * len(burst):
                yield Breach(
                    4,
                    launch.t,
                    f"{host} was offered {len(burst)} jobs within {settings.slow_start_window:g} s, "
                    f"{launch.t - traffic.booted[host, boot]:.1f} s after its start",
                )
                break


def known_boots(traffic, launch) -> dict[int, float]:
    """Returns when the launch's controller was first informed of each boot of the host."""
    view = traffic.host_views.get((launch.controller, launch.life, launch.host))
    return view.boots if view else {}


# -- rule 5


def check_spread(traffic, cluster):
    """Rule 5: at each send a domain holds no more launches of a service than the offering's spread permits.

    Launches are counted for each incarnation of a controller. It also counts the launches of earlier
    incarnations that a host's welcome named to it.
    """
    spread = {
        name: offering
        for name, offering in cluster.settings.offerings.items()
        if offering.spread_level is not TopologyLevel.NONE
    }
    counted: dict[tuple, list[tuple[float, float, ObservedLaunch]]] = {}
    for launch in traffic.launches.values():
        offering = spread.get(launch.job.offering)
        if offering is None:
            continue
        known_since = [(launch.t, launch.life)] + [
            (t, life) for t, name, life, recovered in traffic.recovered if recovered is launch
        ]
        for t, life in known_since:
            domain = (
                launch.controller,
                life,
                launch.job.service,
                domain_of(traffic, offering.spread_level, launch.host),
            )
            counted.setdefault(domain, []).append((t, end_of_launch(traffic, launch), launch))
    for domain, launches in sorted(counted.items(), key=lambda item: str(item[0])):
        for t, _, launch in launches:
            limit = spread[launch.job.offering].max_per_domain
            if launch.t != t:
                continue  # the incarnation recovered this launch and did not send it
            present = [
                other
                for since, until, other in launches
                if since <= t and until > t + JITTER or other is launch
            ]
            if len(present) > limit:
                yield Breach(
                    5,
                    t,
                    f"{launch.job.id} was sent to {launch.host} as number {len(present)} of service "
                    f"{launch.job.service} in {domain[3]}, at most {limit}",
                )


def end_of_launch(traffic, launch: ObservedLaunch) -> float:
    """When a launch no longer counts: at its end, or if not accepted, at its timeout or its link's end."""
    view = traffic.host_views.get((launch.controller, launch.life, launch.host))
    gone = (
        min((t for t, mode in view.modes if mode == pb.GONE and t > launch.t), default=NEVER)
        if view
        else NEVER
    )
    ended_at = min(launch.refused, launch.ended, launch.lost, launch.absent, launch.stopped, gone)
    if launch.accepted > launch.t + launch.wait:
        ended_at = min(ended_at, launch.t + launch.wait)
    if launch.accepted > launch.link_end:
        ended_at = min(ended_at, launch.link_end)
    return ended_at
