"""Council duties and campaigns, measured with processes over sockets. Not in CI; see docs/measurements.md.

    python benchmarks/duties.py takeovers [--changes 200] [--controllers 50] [--members 5]
    python benchmarks/duties.py load --controllers 16,100,300
    python benchmarks/duties.py placing [--rounds 20]
    python benchmarks/duties.py campaign [--hosts 60] [--most 6]

Hosts and the replacement tool are stand-ins, so no job is executed. Each benchmark prints its sizes.
"""

import argparse
import random
import statistics
import tempfile
import time
from pathlib import Path

import anyio

from linedeal import audit
from linedeal.audit.duties import campaign_outcomes, find_duty_breaches
from linedeal.client.client import Client, JobRequest
from linedeal.lab.day import Day, parse_day
from linedeal.lab.load import LoadGenerator, Tally
from linedeal.lab.processes import ProcessCluster
from linedeal.lab.procfs import processor_seconds, resident_memory_mb
from linedeal.lab.record import read_record
from linedeal.net import TcpNet
from linedeal.protocol import pb

LEASE_SECONDS = 2.0
CLUSTER = """
cluster {{
  controllers = {controllers}
}}
young {{
  time = 2
}}
kind "std" {{
  cores = 16
  memory = 64
}}
offering "web" {{
  expiry = 8
  effect = "redoable"
}}
offering "feed" {{
  expiry = 8
  effect = "irreversible"
}}
"""
COUNCIL = """
council {{
  id = "bench"
  lease = {lease}
}}
campaign {{
  tool = "tool:1"
  most = {most}
  cells = {cells}
  room = {room}
  patience = {patience}
  warm = 1
  strain = 1.0
}}
"""


def make_day(
    directory: Path,
    controllers: int,
    hosts: int,
    members: int,
    lines: str = "",
    most: int = 2,
    cells: int = 99,
    room: float = 1.0,
    patience: float = 30.0,
    lease: float = LEASE_SECONDS,
) -> Day:
    """Writes a cluster file into the directory and returns a day that uses it.

    Without members there is no council.
    """
    directory.mkdir(parents=True, exist_ok=True)
    text = CLUSTER.format(controllers=controllers)
    if members:
        text += COUNCIL.format(lease=lease, most=most, cells=cells, room=room, patience=patience)
        text += "".join(
            f'member "c{n}" {{\n  address = "council-c{n}:1"\n}}\n' for n in range(1, members + 1)
        )
    (directory / "cluster.hcl").write_text(text)
    return parse_day(
        f"cluster cluster.hcl\ncontrollers {controllers} zones a b\n"
        f"hosts {hosts} kind std zones a b cells 4\n"
        f"{lines or 'load web 1'}\n",
        str(directory / "bench.day"),
        directory,
    )


def percentiles(figures: list[float]) -> str:
    """Percentiles and maximum of times in seconds, as text."""
    ordered = sorted(figures)
    quantile = lambda share: ordered[min(len(ordered) - 1, int(share * len(ordered)))]  # noqa: E731
    return (
        f"p50 {quantile(0.5):.2f} p90 {quantile(0.9):.2f} p99 {quantile(0.99):.2f} "
        f"max {ordered[-1]:.2f} s, n={len(ordered)}"
    )


async def poll_until(condition, within: float):
    """Polls until `condition()` is true and returns its value; raises TimeoutError after `within` seconds."""
    with anyio.fail_after(within):
        while not (value := await condition()):
            await anyio.sleep(0.05)
        return value


# --- change of the duty's owner


async def takeovers(arguments) -> None:
    """Measures the time from a fault of a duty's owner until the first effect of the next owner."""
    with tempfile.TemporaryDirectory() as directory:
        day = make_day(
            Path(directory),
            arguments.controllers,
            4,
            arguments.members,
            "habit life=1e9\nload feed 1",
            4,
            patience=1e9,
        )
        faults: list[tuple[str, int]] = []
        async with ProcessCluster(day, Path(directory) / "day") as cluster:
            operator = cluster.operator

            async def owned_status():
                status = await operator.campaign_status()
                return status if status.duty.owner else None

            await poll_until(owned_status, 60)
            # Irreversible jobs that never end keep the hosts draining for the whole benchmark.
            for controller in ("c1", "c2"):
                async with Client.connect(TcpNet(), cluster.controllers[controller], "owner") as client:
                    for _ in range(8):
                        await client.submit(JobRequest("feed", "", "s", 1.0, 1.0))
            await operator.start_campaign("bench", tuple(f"h{n:02}" for n in range(1, 5)), {})
            await poll_until(lambda: all_hosts_out(operator), 30)
            started_at = time.monotonic()
            async with anyio.create_task_group() as faults_in_progress:
                for number in range(arguments.changes):
                    duty = (await poll_until(owned_status, 60)).duty
                    owner, fault = duty.owner.partition("/")[0], ("kill", "stop", "cut")[number % 3]
                    faults_in_progress.start_soon(inject_fault, cluster, owner, fault)
                    faults.append((fault, duty.token))

                    async def owner_changed():
                        status = await operator.campaign_status()
                        # The function is called in this iteration only.
                        return status.duty.owner and status.duty.token > duty.token  # noqa: B023

                    await poll_until(owner_changed, 60)
                    await anyio.sleep(1.5 * LEASE_SECONDS)  # the next owner acts; a stopped one resumes
            print(f"{arguments.changes} changes in {time.monotonic() - started_at:.0f} s")
            await cluster.order("tap", {"flush": True})
            await anyio.sleep(1.0)
        traffic = audit.reconstruct_traffic(read_record(Path(directory) / "day" / "traffic.jsonl"))
    fault_marks = [(t, what, who) for t, what, who in traffic.marks if what == "fault"]
    first_effects: dict[int, float] = {}
    for order in traffic.orders:
        first_effects[order.token] = min(
            first_effects.get(order.token, float("inf")), order.answered_at if order.done else float("inf")
        )
    gaps: dict[str, list[float]] = {}
    for (t, _, _), (fault, token) in zip(fault_marks, faults, strict=False):
        next_effects = [
            first for other, first in first_effects.items() if other > token and first < float("inf")
        ]
        if next_effects:
            gaps.setdefault(fault, []).append(min(next_effects) - t)
    print(
        f"{arguments.controllers} controllers, {arguments.members} members, lease {LEASE_SECONDS:g} s, "
        "from the fault to the first effect of the next owner:"
    )
    for fault, figures in gaps.items():
        print(f"  {fault:5} {percentiles(figures)}")
    print(
        f"  all   {percentiles([gap for figures in gaps.values() for gap in figures])}; "
        f"goal: p99 under {2 * LEASE_SECONDS:g} s"
    )
    refused = [
        order
        for order in traffic.orders
        if not order.done and order.answered_at < float("inf") and order.token < order.highest_token
    ]
    print(
        f"orders {len(traffic.orders)}; from former owners that reached a host: {len(refused)} refused, "
        f"{len([b for b in find_duty_breaches(traffic, day.cluster) if b.claim == 'tokens'])} carried out"
    )
    print("duty rules broken:", find_duty_breaches(traffic, day.cluster) or "none")


async def all_hosts_out(operator):
    """Whether the campaign has taken all four hosts out of service."""
    return len((await operator.campaign_status()).progress.out) == 4


async def inject_fault(cluster: ProcessCluster, owner: str, fault: str) -> None:
    """Kills, stops or cuts off the owner for twice the lease, depending on `fault`."""
    await cluster.mark("fault", owner)
    members = [name.partition("/")[0] for name in cluster.routes if name.endswith("/council")]
    pairs = [pair for member in members if member != owner for pair in ((owner, member), (member, owner))]
    if fault == "kill":
        await cluster.kill(owner)
    elif fault == "stop":
        await cluster.set_paused(owner, True)
    else:
        await cluster.cut(pairs, True)
    await anyio.sleep(2 * LEASE_SECONDS)
    if fault == "kill":
        await cluster.start(owner)
    elif fault == "stop":
        await cluster.set_paused(owner, False)
    else:
        await cluster.cut(pairs, False)


# --- cost of the council


async def load(arguments) -> None:
    """Measures processor time, memory and messages with and without a council."""
    for controllers in map(int, arguments.controllers.split(",")):
        results = {}
        for members in (0, 5):
            with tempfile.TemporaryDirectory() as directory:
                day = make_day(Path(directory), controllers, 4, members, lease=6.0)
                async with ProcessCluster(day, Path(directory) / "day") as cluster:
                    names = list(cluster.controllers)
                    await anyio.sleep(15.0)
                    record = Path(directory) / "day" / "traffic.jsonl"
                    await cluster.order("tap", {"flush": True})
                    await anyio.sleep(0.3)
                    cpu_before, started_at, size = (
                        processor_seconds(cluster, names),
                        time.monotonic(),
                        record.stat().st_size,
                    )
                    await anyio.sleep(20.0)
                    seconds, cpu_seconds = (
                        time.monotonic() - started_at,
                        processor_seconds(cluster, names) - cpu_before,
                    )
                    await cluster.order("tap", {"flush": True})
                    await anyio.sleep(0.3)
                    results[members] = (
                        cpu_seconds / seconds,
                        resident_memory_mb(cluster, names[-1]),
                        resident_memory_mb(cluster, names[0]),
                    )
                    if members:
                        frames = council_frames(record, size)
                        print(
                            f"{controllers:4} controllers, 5 members, lease 6 s: "
                            f"{frames / seconds:.0f} messages/s to and from the council"
                        )
        (off, memory_off, _), (on, memory_on, memory_member) = results[0], results[5]
        print(
            f"     processor time of all controllers: {off:.3f} s/s without a council, {on:.3f} with; "
            f"{1000 * (on - off) / controllers:.2f} ms/s more per controller; "
            f"memory {memory_off:.0f} MB to {memory_on:.0f} MB, a member {memory_member:.0f} MB"
        )


def council_frames(record: Path, since: int) -> int:
    """The number of frames on the council's links after byte `since` of the record."""
    import base64

    import msgspec

    from linedeal.lab.record import Entry
    from linedeal.lab.tap import FrameSplitter

    decoder, links, splitters, count = msgspec.json.Decoder(Entry), set(), {}, 0
    position = 0
    with open(record, "rb") as file:
        for line in file:
            position += len(line)
            entry = decoder.decode(line)
            if entry.e == "open" and entry.to.endswith("/council"):
                links.add(entry.link)
            elif entry.e == "data" and entry.link in links:
                complete = splitters.setdefault((entry.link, entry.d), FrameSplitter()).feed(
                    base64.b64decode(entry.b)
                )
                count += len(complete) if position > since else 0
    return count


# --- placement latency with a council


async def placing(arguments) -> None:
    """Measures placement latency without a council, with one, and with members that are killed.

    The three clusters run at the same time and get jobs in turn, so that other load of the machine affects
    all of them.
    """
    kinds = {"off": 0, "on": 3, "dying": 3}
    delays: dict[str, list[float]] = {kind: [] for kind in kinds}
    with tempfile.TemporaryDirectory() as directory:
        async with anyio.create_task_group() as tasks:
            clusters = {}
            ready = anyio.Event()
            done = anyio.Event()

            async def run_cluster(kind, members):
                day = make_day(Path(directory) / kind, 4, 4, members)
                async with ProcessCluster(day, Path(directory) / kind / "day") as cluster:
                    clusters[kind] = cluster
                    if len(clusters) == len(kinds):
                        ready.set()
                    await done.wait()

            for kind, members in kinds.items():
                tasks.start_soon(run_cluster, kind, members)
            await ready.wait()
            await anyio.sleep(8.0)
            rng = random.Random(1)
            for number in range(arguments.rounds):
                dying = clusters["dying"]
                # Members are killed and restarted; the jobs go to c4, which is not a member.
                victim = f"c{number % 3 + 1}"
                await dying.kill(victim)
                order = list(kinds)
                rng.shuffle(order)
                for kind in order:
                    async with Client.connect(TcpNet(), clusters[kind].controllers["c4"], "owner") as client:
                        for _ in range(arguments.jobs):
                            sent_at = time.perf_counter()
                            answer = await client.submit(
                                JobRequest("web", "", f"s{rng.randrange(9)}", 0.01, 0.01)
                            )
                            assert answer.verdict == "placed", answer
                            delays[kind].append(time.perf_counter() - sent_at)
                await dying.start(victim)
            done.set()
    print(
        f"{arguments.rounds} rounds of {arguments.jobs} jobs one after the other, "
        f"4 controllers and 4 hosts in each cluster"
    )
    for kind, figures in delays.items():
        figures.sort()
        print(
            f"  council {kind:6} mean {1000 * statistics.mean(figures):.2f} ms, "
            f"p50 {1000 * figures[len(figures) // 2]:.2f}, "
            f"p99 {1000 * figures[int(0.99 * len(figures))]:.2f}; ratio to off: mean "
            f"{statistics.mean(figures) / statistics.mean(delays['off']):.3f}, p50 "
            f"{figures[len(figures) // 2] / sorted(delays['off'])[len(figures) // 2]:.3f}, p99 "
            f"{figures[int(0.99 * len(figures))] / sorted(delays['off'])[int(0.99 * len(figures))]:.3f}"
        )


# --- a complete campaign


async def campaign(arguments) -> None:
    """Compares a campaign over all hosts: a few hosts at a time, all at once and one by one."""
    for name, most in (
        ("a few at a time", arguments.most),
        ("all at once", arguments.hosts),
        ("one by one", 1),
    ):
        if name == "one by one" and arguments.no_single:
            continue
        with tempfile.TemporaryDirectory() as directory:
            lines = (
                f"seed 3\nlength 100000\nhabit life=3 setup=0.2\n"
                f"load web {arguments.hosts / 3} cores=1-4 memory=1-8 services=12\n"
                f"load feed {arguments.hosts / 30} cores=1-2 memory=1-4 services=4"
            )
            day = make_day(Path(directory), 4, arguments.hosts, 3, lines, most, patience=5.0)
            async with ProcessCluster(day, Path(directory) / "day") as cluster:
                operator = cluster.operator
                tally = Tally()
                generator = LoadGenerator(day, TcpNet(), cluster.controllers, tally)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(generator.run)
                    await anyio.sleep(8.0)
                    requested = sum(tally.asked.values())
                    started_at = time.monotonic()
                    await operator.start_campaign(
                        "bench", tuple(f"h{n:02}" for n in range(1, arguments.hosts + 1)), {}
                    )

                    async def ended():
                        # The function is called in this iteration only.
                        return (await operator.campaign_status()).progress.ended  # noqa: B023

                    await poll_until(ended, 1200)
                    seconds = time.monotonic() - started_at
                    await anyio.sleep(3.0)
                    requested = sum(tally.asked.values()) - requested
                    tasks.cancel_scope.cancel()
                await cluster.order("tap", {"flush": True})
                await anyio.sleep(1.0)
            traffic = audit.reconstruct_traffic(read_record(Path(directory) / "day" / "traffic.jsonl"))
        lost = sum(
            launch.outcome == pb.LOST or launch.lost < launch.ended
            for launch in traffic.launches.values()
            if launch.started < float("inf")
        )
        not_placed = [
            job
            for job in traffic.jobs.values()
            if not job.reported_verdicts or job.reported_verdicts[0][1] != pb.PLACED
        ]
        _, progress = campaign_outcomes(traffic)[0]
        print(
            f"{name}: {len(progress.done)} of {arguments.hosts} hosts in {seconds:.0f} s; {lost} of "
            f"{len(traffic.launches)} launches lost with their host, "
            f"{len(not_placed)} of {len(traffic.jobs)} jobs not placed, "
            f"{requested / (seconds + 3):.1f} jobs/s requested; "
            f"duty rules broken: {len(find_duty_breaches(traffic, day.cluster))}",
            flush=True,
        )


def main() -> None:
    """Runs the benchmark that the first argument names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    kinds = parser.add_subparsers(dest="kind", required=True)
    takeovers_parser = kinds.add_parser("takeovers")
    takeovers_parser.add_argument("--changes", type=int, default=200)
    takeovers_parser.add_argument("--controllers", type=int, default=50)
    takeovers_parser.add_argument("--members", type=int, default=5)
    kinds.add_parser("load").add_argument("--controllers", default="16,100,300")
    placing_parser = kinds.add_parser("placing")
    placing_parser.add_argument("--rounds", type=int, default=20)
    placing_parser.add_argument("--jobs", type=int, default=100)
    campaign_parser = kinds.add_parser("campaign")
    campaign_parser.add_argument("--hosts", type=int, default=60)
    campaign_parser.add_argument("--most", type=int, default=6)
    campaign_parser.add_argument("--no-single", action="store_true")
    arguments = parser.parse_args()
    benchmark = {"takeovers": takeovers, "load": load, "placing": placing, "campaign": campaign}[
        arguments.kind
    ]
    anyio.run(benchmark, arguments)


if __name__ == "__main__":
    main()
