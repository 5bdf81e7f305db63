"""Work on behalf of the fleet, measured with processes over sockets. Not in CI; docs/measurements.md has results.

    python benchmarks/duties.py takeovers [--changes 200] [--controllers 50] [--members 5]
    python benchmarks/duties.py load --controllers 16,100,300
    python benchmarks/duties.py placing [--rounds 20]
    python benchmarks/duties.py campaign [--hosts 60] [--most 6]

Hosts and the tool are stand-ins: nothing is really run. Each prints its sizes.
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
from linedeal.lab.procfs import resident_memory_mb, processor_seconds
from linedeal.lab.record import read_record
from linedeal.net import TcpNet
from linedeal.protocol import pb

LEASE = 2.0
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


def day_of(
    directory: Path,
    controllers: int,
    hosts: int,
    members: int,
    lines: str = "",
    most: int = 2,
    cells: int = 99,
    room: float = 1.0,
    patience: float = 30.0,
    lease: float = LEASE,
) -> Day:
    directory.mkdir(parents=True, exist_ok=True)
    text = CLUSTER.format(controllers=controllers)
    if members:
        text += COUNCIL.format(lease=lease, most=most, cells=cells, room=room, patience=patience)
        text += "".join(
            f'member "c{n}" {{\n  address = "council-c{n}:1"\n}}\n' for n in range(1, members + 1)
        )
    (directory / "cluster.hcl").write_text(text)
    return parse_day(
        f"cluster cluster.hcl\ncontrollers {controllers} zones a b\nhosts {hosts} kind std zones a b cells 4\n"
        f"{lines or 'load web 1'}\n",
        str(directory / "bench.day"),
        directory,
    )


def spread_of(figures: list[float]) -> str:
    ordered = sorted(figures)
    at = lambda share: ordered[min(len(ordered) - 1, int(share * len(ordered)))]  # noqa: E731
    return (
        f"p50 {at(0.5):.2f} p90 {at(0.9):.2f} p99 {at(0.99):.2f} most {ordered[-1]:.2f} s of {len(ordered)}"
    )


async def until(holds, within: float):
    with anyio.fail_after(within):
        while not (found := await holds()):
            await anyio.sleep(0.05)
        return found


# --- the next owner


async def takeovers(arguments) -> None:
    with tempfile.TemporaryDirectory() as place:
        day = day_of(
            Path(place),
            arguments.controllers,
            4,
            arguments.members,
            "habit life=1e9\nload feed 1",
            4,
            patience=1e9,
        )
        faults: list[tuple[str, int]] = []
        async with ProcessCluster(day, Path(place) / "day") as ground:
            operator = ground.operator

            async def standing():
                found = await operator.campaign_status()
                return found if found.duty.owner else None

            await until(standing, 60)
            for controller in (
                "c1",
                "c2",
            ):  # irreversible jobs that never end: hosts drain for as long as it lasts
                async with Client.connect(TcpNet(), ground.controllers[controller], "owner") as client:
                    for _ in range(8):
                        await client.submit(JobRequest("feed", "", "s", 1.0, 1.0))
            await operator.start_campaign("bench", tuple(f"h{n:02}" for n in range(1, 5)), {})
            await until(lambda: out_of(operator), 30)
            begun = time.monotonic()
            async with anyio.create_task_group() as later:
                for number in range(arguments.changes):
                    duty = (await until(standing, 60)).duty
                    owner, fault = duty.owner.partition("/")[0], ("kill", "stop", "cut")[number % 3]
                    later.start_soon(trouble, ground, owner, fault)
                    faults.append((fault, duty.token))

                    async def passed_on():
                        found = await operator.campaign_status()
                        return found.duty.owner and found.duty.token > duty.token

                    await until(passed_on, 60)
                    await anyio.sleep(1.5 * LEASE)  # the next owner acts; who was stopped goes on
            print(f"{arguments.changes} changes in {time.monotonic() - begun:.0f} s")
            await ground.order("tap", {"flush": True})
            await anyio.sleep(1.0)
        traffic = audit.reconstruct_traffic(read_record(Path(place) / "day" / "traffic.jsonl"))
    marks = [(t, what, who) for t, what, who in traffic.marks if what == "fault"]
    firsts: dict[int, float] = {}
    for order in traffic.orders:
        firsts[order.token] = min(
            firsts.get(order.token, float("inf")), order.answered_at if order.done else float("inf")
        )
    gaps: dict[str, list[float]] = {}
    for (t, _, _), (fault, token) in zip(marks, faults):
        later = [first for other, first in firsts.items() if other > token and first < float("inf")]
        if later:
            gaps.setdefault(fault, []).append(min(later) - t)
    print(
        f"{arguments.controllers} controllers, {arguments.members} members, lease {LEASE:g} s, from the fault to the next "
        "owner's first effect carried out:"
    )
    for fault, figures in gaps.items():
        print(f"  {fault:5} {spread_of(figures)}")
    print(
        f"  all   {spread_of([gap for figures in gaps.values() for gap in figures])}; goal: p99 under {2 * LEASE:g} s"
    )
    refused = [
        order
        for order in traffic.orders
        if not order.done and order.answered_at < float("inf") and order.token < order.highest_token
    ]
    print(
        f"orders {len(traffic.orders)}; of old owners that reached a host: {len(refused)} refused, "
        f"{len([b for b in find_duty_breaches(traffic, day.cluster) if b.claim == 'tokens'])} carried out"
    )
    print("claims broken:", find_duty_breaches(traffic, day.cluster) or "none")


async def out_of(operator):
    return len((await operator.campaign_status()).progress.out) == 4


async def trouble(ground: ProcessCluster, owner: str, fault: str) -> None:
    """One of three, for twice the lease."""
    await ground.mark("fault", owner)
    seats = [name.partition("/")[0] for name in ground.routes if name.endswith("/council")]
    pairs = [pair for seat in seats if seat != owner for pair in ((owner, seat), (seat, owner))]
    if fault == "kill":
        await ground.kill(owner)
    elif fault == "stop":
        await ground.set_paused(owner, True)
    else:
        await ground.cut(pairs, True)
    await anyio.sleep(2 * LEASE)
    if fault == "kill":
        await ground.start(owner)
    elif fault == "stop":
        await ground.set_paused(owner, False)
    else:
        await ground.cut(pairs, False)


# --- what it costs


async def load(arguments) -> None:
    for controllers in map(int, arguments.controllers.split(",")):
        found = {}
        for members in (0, 5):
            with tempfile.TemporaryDirectory() as place:
                day = day_of(Path(place), controllers, 4, members, lease=6.0)
                async with ProcessCluster(day, Path(place) / "day") as ground:
                    names = list(ground.controllers)
                    await anyio.sleep(15.0)
                    record = Path(place) / "day" / "traffic.jsonl"
                    await ground.order("tap", {"flush": True})
                    await anyio.sleep(0.3)
                    before, at, size = (
                        processor_seconds(ground, names),
                        time.monotonic(),
                        record.stat().st_size,
                    )
                    await anyio.sleep(20.0)
                    seconds, used = time.monotonic() - at, processor_seconds(ground, names) - before
                    await ground.order("tap", {"flush": True})
                    await anyio.sleep(0.3)
                    found[members] = (
                        used / seconds,
                        resident_memory_mb(ground, names[-1]),
                        resident_memory_mb(ground, names[0]),
                    )
                    if members:
                        frames = council_frames(record, size)
                        print(
                            f"{controllers:4} controllers, 5 members, lease 6 s: {frames / seconds:.0f} messages/s to and from "
                            f"the council"
                        )
        (off, small, _), (on, large, member) = found[0], found[5]
        print(
            f"     processor time of all controllers: {off:.3f} s/s without a council, {on:.3f} with; "
            f"{1000 * (on - off) / controllers:.2f} ms/s a controller more; memory {small:.0f} MB to {large:.0f} MB, a "
            f"member {member:.0f} MB"
        )


def council_frames(record: Path, since: int) -> int:
    """Frames on the council's links after that byte of the record."""
    import base64

    from linedeal.lab.record import Entry
    from linedeal.lab.tap import FrameSplitter
    import msgspec

    decoder, links, frames, count = msgspec.json.Decoder(Entry), set(), {}, 0
    position = 0
    with open(record, "rb") as file:
        for line in file:
            position += len(line)
            entry = decoder.decode(line)
            if entry.e == "open" and entry.to.endswith("/council"):
                links.add(entry.link)
            elif entry.e == "data" and entry.link in links:
                cut = frames.setdefault((entry.link, entry.d), FrameSplitter()).feed(
                    base64.b64decode(entry.b)
                )
                count += len(cut) if position > since else 0
    return count


# --- placing beside it


async def placing(arguments) -> None:
    """Three clusters at once, asked in turn, so that whatever the machine does falls on all of them."""
    kinds = {"off": 0, "on": 3, "dying": 3}
    delays: dict[str, list[float]] = {kind: [] for kind in kinds}
    with tempfile.TemporaryDirectory() as place:
        async with anyio.create_task_group() as tasks:
            grounds = {}
            ready = anyio.Event()
            done = anyio.Event()

            async def stand(kind, members):
                day = day_of(Path(place) / kind, 4, 4, members)
                async with ProcessCluster(day, Path(place) / kind / "day") as ground:
                    grounds[kind] = ground
                    if len(grounds) == len(kinds):
                        ready.set()
                    await done.wait()

            for kind, members in kinds.items():
                tasks.start_soon(stand, kind, members)
            await ready.wait()
            await anyio.sleep(8.0)
            chance = random.Random(1)
            for number in range(arguments.rounds):
                dying = grounds["dying"]
                victim = (
                    f"c{number % 3 + 1}"  # members die and come back; the jobs are asked of c4, which is none
                )
                await dying.kill(victim)
                order = list(kinds)
                chance.shuffle(order)
                for kind in order:
                    async with Client.connect(TcpNet(), grounds[kind].controllers["c4"], "owner") as client:
                        for _ in range(arguments.jobs):
                            at = time.perf_counter()
                            answer = await client.submit(
                                JobRequest("web", "", f"s{chance.randrange(9)}", 0.01, 0.01)
                            )
                            assert answer.verdict == "placed", answer
                            delays[kind].append(time.perf_counter() - at)
                await dying.start(victim)
            done.set()
    print(
        f"{arguments.rounds} rounds of {arguments.jobs} jobs one after the other, 4 controllers and 4 hosts a cluster"
    )
    for kind, figures in delays.items():
        figures.sort()
        print(
            f"  council {kind:6} mean {1000 * statistics.mean(figures):.2f} ms, p50 {1000 * figures[len(figures) // 2]:.2f}, "
            f"p99 {1000 * figures[int(0.99 * len(figures))]:.2f}; to off: mean "
            f"{statistics.mean(figures) / statistics.mean(delays['off']):.3f}, p50 "
            f"{figures[len(figures) // 2] / sorted(delays['off'])[len(figures) // 2]:.3f}, p99 "
            f"{figures[int(0.99 * len(figures))] / sorted(delays['off'])[int(0.99 * len(figures))]:.3f}"
        )


# --- a whole campaign


async def release(arguments) -> None:
    for name, most in (
        ("a few at a time", arguments.most),
        ("all at once", arguments.hosts),
        ("one by one", 1),
    ):
        if name == "one by one" and arguments.no_single:
            continue
        with tempfile.TemporaryDirectory() as place:
            lines = (
                f"seed 3\nlength 100000\nhabit life=3 setup=0.2\nload web {arguments.hosts / 3} cores=1-4 memory=1-8 "
                f"services=12\nload feed {arguments.hosts / 30} cores=1-2 memory=1-4 services=4"
            )
            day = day_of(Path(place), 4, arguments.hosts, 3, lines, most, patience=5.0)
            async with ProcessCluster(day, Path(place) / "day") as ground:
                operator = ground.operator
                tally = Tally()
                owners = LoadGenerator(day, TcpNet(), ground.controllers, tally)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(owners.run)
                    await anyio.sleep(8.0)
                    asked = sum(tally.asked.values())
                    begun = time.monotonic()
                    await operator.start_campaign(
                        "bench", tuple(f"h{n:02}" for n in range(1, arguments.hosts + 1)), {}
                    )

                    async def over():
                        return (await operator.campaign_status()).progress.ended

                    await until(over, 1200)
                    length = time.monotonic() - begun
                    await anyio.sleep(3.0)
                    asked = sum(tally.asked.values()) - asked
                    tasks.cancel_scope.cancel()
                await ground.order("tap", {"flush": True})
                await anyio.sleep(1.0)
            traffic = audit.reconstruct_traffic(read_record(Path(place) / "day" / "traffic.jsonl"))
        lost = sum(
            launch.outcome == pb.LOST or launch.lost < launch.ended
            for launch in traffic.launches.values()
            if launch.started < float("inf")
        )
        late = [
            job
            for job in traffic.jobs.values()
            if not job.reported_verdicts or job.reported_verdicts[0][1] != pb.PLACED
        ]
        _, progress = campaign_outcomes(traffic)[0]
        print(
            f"{name}: {len(progress.done)} of {arguments.hosts} hosts in {length:.0f} s; {lost} of "
            f"{len(traffic.launches)} launches lost with their host, {len(late)} of {len(traffic.jobs)} jobs not placed, "
            f"{asked / (length + 3):.1f} jobs/s asked; claims broken: {len(find_duty_breaches(traffic, day.cluster))}",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    kinds = parser.add_subparsers(dest="kind", required=True)
    one = kinds.add_parser("takeovers")
    one.add_argument("--changes", type=int, default=200)
    one.add_argument("--controllers", type=int, default=50)
    one.add_argument("--members", type=int, default=5)
    kinds.add_parser("load").add_argument("--controllers", default="16,100,300")
    three = kinds.add_parser("placing")
    three.add_argument("--rounds", type=int, default=20)
    three.add_argument("--jobs", type=int, default=100)
    four = kinds.add_parser("campaign")
    four.add_argument("--hosts", type=int, default=60)
    four.add_argument("--most", type=int, default=6)
    four.add_argument("--no-single", action="store_true")
    arguments = parser.parse_args()
    work = {"takeovers": takeovers, "load": load, "placing": placing, "campaign": release}[arguments.kind]
    anyio.run(work, arguments)


if __name__ == "__main__":
    main()
