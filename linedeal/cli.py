"""The command line. Each command is a few lines that read its arguments and call the package that does the work.

Exit status: 0 done; 1 what was asked about does not hold (a rule broken, a job not placed, a faulty file);
2 the command was given wrongly; 3 something outside failed (an address in use, a disk); 4 fenced off by a later life.
"""

import json
import os
import random
import shutil
import sys
import time
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated, Optional

import anyio
import typer

from linedeal import cli_fleet, cli_jobs, processes

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="linedeal places long-running jobs on a cluster's hosts.",
    epilog=__doc__.split("\n\n")[1],
)

Listen = Annotated[str, typer.Option(help="HOST:PORT; port 0 takes a free one")]
ClusterFile = Annotated[str, typer.Option("--cluster", help="the cluster's HCL file")]
Control = Annotated[
    bool, typer.Option("--control", hidden=True, help="orders on standard input, end with it")
]
Json = Annotated[bool, typer.Option("--json", help="for programs")]
CouncilKey = Annotated[
    Optional[str],
    typer.Option(
        help="file that holds the key shown to the council's members; or LINEDEAL_COUNCIL_KEY holds it"
    ),
]
Backend = Annotated[str, typer.Option(help="asyncio or trio")]


class Fault(Exception):
    """One plain line and the exit status that goes with it."""

    def __init__(self, text: str, status: int):
        super().__init__(text)
        self.status = status


def main() -> None:
    """Runs the command line; faults end it with one plain line."""
    try:
        app()
        return
    except BaseExceptionGroup as group:
        error = processes.unwrap(group)
    except Exception as caught:
        error = caught
    status = status_of(error)
    if status is None:
        raise error  # a fault of the program: all of it is shown
    print(f"linedeal: {error}", file=sys.stderr)
    sys.exit(status)


def status_of(error: BaseException) -> int | None:
    """The exit status that an error stands for; None for one that no command is meant to end with."""
    if isinstance(error, Fault):
        return error.status
    # only now: most commands need none of these packages, and loading all takes longer than the command
    from linedeal.controller.runtime import HaltedError
    from linedeal.lab.day import DayFileError
    from linedeal.lab.processes import ClusterProcessError
    from linedeal.lab.record import RecordError
    from linedeal.settings.cluster import ConfigError
    from linedeal.standin.orders import FenceFileError
    from linedeal.state import StoreError

    statuses = (
        ((ConfigError, DayFileError, RecordError), 1),
        ((StoreError, ClusterProcessError, FenceFileError, OSError), 3),
        (HaltedError, 4),
    )
    return next((status for kinds, status in statuses if isinstance(error, kinds)), None)


def address_of(text: str):
    from linedeal.net import parse_address

    try:
        return parse_address(text)
    except ValueError as error:
        raise Fault(str(error), 2) from None


def key_in(file: Optional[str]) -> str:
    """The council's key: never an argument, which every user of the machine could read."""
    if file is None:
        return os.environ.get("LINEDEAL_COUNCIL_KEY", "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise Fault(f"{file}: cannot be read: {getattr(error, 'strerror', None) or 'not UTF-8'}", 2) from None


def run(work, *args, backend: str = "asyncio", fast: bool = True, clock: float = 1.0):
    """`clock`: seconds of this process's clock in a true second; other than 1 in days alone."""
    if clock != 1.0:
        from linedeal.lab.clocks import SkewedEventLoop

        return anyio.run(
            work, *args, backend="asyncio", backend_options={"loop_factory": lambda: SkewedEventLoop(clock)}
        )
    if backend not in ("asyncio", "trio"):
        raise Fault(f"no backend {backend!r}, asyncio or trio", 2)
    # uvloop carries the same asyncio code at less cost a message; where it is missing nothing else changes
    options = {"use_uvloop": find_spec("uvloop") is not None} if backend == "asyncio" and fast else {}
    return anyio.run(work, *args, backend=backend, backend_options=options)


@app.command("check-config", epilog="Example: linedeal check-config examples/cluster.hcl")
def check_config(file: str, as_json: Json = False):
    """Names every fault of a cluster file, a line each; says nothing is wrong otherwise."""
    from linedeal.settings.cluster import ConfigError, read_cluster

    try:
        cluster = read_cluster(file)
        faults = []
    except ConfigError as error:
        faults = error.lines
    if as_json:
        print(json.dumps({"file": file, "faults": faults}))
    elif faults:
        print("\n".join(faults))
    else:
        print(
            f"{file}: sound: {len(cluster.settings.offerings)} offerings, {len(cluster.settings.kinds)} kinds, "
            f"{len(cluster.settings.quotas)} customers"
        )
    raise typer.Exit(1 if faults else 0)


@app.command(
    epilog="Example: linedeal controller --name c1 --cluster examples/cluster.hcl "
    "--discovery 127.0.0.1:7000 --state /var/lib/linedeal/c1 --listen 127.0.0.1:7100"
)
def controller(
    name: Annotated[str, typer.Option(help="of this controller, the same in all its lives")],
    cluster: ClusterFile,
    discovery: Annotated[str, typer.Option(help="HOST:PORT of discovery")],
    state: Annotated[str, typer.Option(help="directory that this controller alone uses")],
    listen: Listen = "127.0.0.1:0",
    seed: Annotated[Optional[int], typer.Option(help="of its chance")] = None,
    council_listen: Annotated[
        Optional[str], typer.Option(help="HOST:PORT for the council, where it is not the cluster file's")
    ] = None,
    council_key: CouncilKey = None,
    as_json: Json = False,
    verbose: bool = False,
    backend: Backend = "asyncio",
    control: Control = False,
    policy: Annotated[
        str, typer.Option(hidden=True, help="a base line for the module, in days")
    ] = "linedeal",
    clock: Annotated[
        float, typer.Option(hidden=True, help="rate of its clock, for days", min=0.5, max=2.0)
    ] = 1.0,
):
    """A controller: takes jobs from clients, decides, launches them on hosts, answers.

    SIGTERM ends it after the jobs that it holds are answered.
    """
    from linedeal import logs
    from linedeal.controller.runtime import Runtime, Setup
    from linedeal.net import TcpNet
    from linedeal.settings.cluster import read_cluster
    from linedeal.state import Store

    setup = Setup(
        name,
        read_cluster(cluster),
        address_of(listen),
        address_of(discovery),
        random.SystemRandom().randrange(1 << 30) if seed is None else seed,
        address_of(council_listen) if council_listen else None,
        key_in(council_key),
    )
    decides = {}
    if policy != "linedeal":
        from linedeal.lab.baselines import POLICIES

        if policy not in POLICIES:
            raise Fault(f"no policy {policy!r}: {', '.join(POLICIES)}", 2)
        decides = {"policy": POLICIES[policy]}
    runtime = Runtime(setup, Store(state), TcpNet(), logs.setup(as_json, verbose), **decides)

    async def work():
        async with anyio.create_task_group() as tasks:

            async def serve():
                await runtime.run(task_status=Told())
                tasks.cancel_scope.cancel()

            tasks.start_soon(serve)
            tasks.start_soon(processes.stop_on_signal, runtime.shut_down)
            if control:
                await processes.read_orders(clock_order, runtime.log)
                tasks.cancel_scope.cancel()

    run(work, backend=backend, clock=clock)


def clock_order(order: dict) -> None:
    """`jump`: seconds by which a clock that was given a rate is set forward."""
    import asyncio

    for name, value in order.items():
        if name != "jump":
            raise ValueError(f"no order {name!r}")
        jump = getattr(asyncio.get_running_loop(), "jump", None)
        if jump is None:
            raise ValueError("this clock cannot jump: it was given no rate")
        jump(float(value))


class Told:
    """Stands where anyio wants a task's status: tells the address on standard output."""

    def started(self, address=None):
        processes.print_address(address)


async def serve_stand_in(server, listen, control: bool, log) -> None:
    """A stand-in until it is told to end, or its standard input ends."""
    async with anyio.create_task_group() as tasks:

        async def serve():
            await server.run(listen, task_status=Told())
            log.error("fell over")
            tasks.cancel_scope.cancel()

        tasks.start_soon(serve)
        tasks.start_soon(processes.stop_on_signal, tasks.cancel_scope.cancel)
        if control:
            await processes.read_orders(server.control, log)
            tasks.cancel_scope.cancel()


@app.command(
    epilog="Example: linedeal host --name h1 --kind std --zone a --cluster examples/cluster.hcl "
    "--discovery 127.0.0.1:7000"
)
def host(
    name: Annotated[str, typer.Option()],
    kind: Annotated[str, typer.Option()],
    cluster: ClusterFile,
    discovery: Annotated[str, typer.Option(help="HOST:PORT of discovery")],
    listen: Listen = "127.0.0.1:0",
    zone: str = "a",
    cell: int = 0,
    seed: int = 1,
    boot: Annotated[int, typer.Option(help="larger at each start; 0: by the clock")] = 0,
    habits: Annotated[str, typer.Option(help="JSON, see docs/days.md")] = "{}",
    advertise: Annotated[
        str, typer.Option(help="address that discovery tells; else the one it listens at")
    ] = "",
    fence: Annotated[
        Optional[str], typer.Option(help="file that keeps the highest tokens of duties' owners")
    ] = None,
    young: bool = False,
    control: Control = False,
):
    """A stand-in for a host: accepts, refuses, starts and ends jobs as a host would; nothing is really run."""
    from random import Random
    from linedeal import logs
    from linedeal.net import TcpNet
    from linedeal.settings.cluster import read_cluster
    from linedeal.standin.host import HostServer
    from linedeal.standin.model import HostBehavior, HostModel

    log, settings = logs.setup(False, False), read_cluster(cluster)
    if kind not in settings.settings.kinds:
        raise Fault(f"no kind {kind!r} in {cluster}", 2)
    try:
        habit = HostBehavior(**json.loads(habits))
    except (ValueError, TypeError) as error:
        raise Fault(f"--habits: {error}", 2) from None
    boot = boot or time.time_ns() // 1_000_000

    async def work():
        model = HostModel(
            name, kind, settings, habit, boot, Random(f"{seed} {name} {boot}"), anyio.current_time(), young
        )
        # under control the address that is told comes as an order: it is a route that does not stand yet
        told = advertise or ("" if control else "itself")
        server = HostServer(
            model, TcpNet(), address_of(discovery), told, zone, cell, Path(fence) if fence else None
        )
        await serve_stand_in(server, address_of(listen), control, log)

    run(work)


@app.command()
def discovery(listen: Listen = "127.0.0.1:0", control: Control = False):
    """A stand-in for discovery: hosts tell it of themselves, controllers watch it."""
    from linedeal import logs
    from linedeal.net import TcpNet
    from linedeal.standin.discovery import Discovery

    async def work():
        await serve_stand_in(Discovery(TcpNet()), address_of(listen), control, logs.setup(False, False))

    run(work)


@app.command(hidden=True)
def tool(
    cluster: ClusterFile,
    state: Annotated[str, typer.Option()],
    listen: Listen = "127.0.0.1:0",
    control: Control = False,
):
    """A stand-in for the operators' tool that replaces hosts: tells on standard output which, and is told of starts on
    standard input."""
    from linedeal import logs
    from linedeal.net import TcpNet
    from linedeal.settings.cluster import read_cluster
    from linedeal.standin.tool import ToolServer

    settings = read_cluster(cluster)
    Path(state).mkdir(parents=True, exist_ok=True)

    async def work():
        server = ToolServer(
            TcpNet(),
            settings.council,
            Path(state),
            lambda host, boot: print(json.dumps({"replace": [host, boot]}), flush=True),
        )
        await serve_stand_in(server, address_of(listen), control, logs.setup(False, False))

    run(work)


@app.command(hidden=True)
def crowd(
    hosts: Annotated[str, typer.Option(help="JSON file of the hosts")],
    cluster: ClusterFile,
    discovery: Annotated[str, typer.Option()],
    record: Annotated[str, typer.Option()],
    seed: int = 1,
    control: Control = False,
):
    """Many stand-in hosts in one process, sampled ten times a second; for the rig of `linedeal rig`."""
    from linedeal import logs
    from linedeal.net import TcpNet
    from linedeal.settings.cluster import read_cluster
    from linedeal.standin.host_pool import HostPool, read_hosts

    log = logs.setup(False, False)

    async def work():
        with open(record, "wb", buffering=1 << 16) as out:
            server = HostPool(
                read_hosts(Path(hosts)), read_cluster(cluster), address_of(discovery), seed, TcpNet(), out
            )
            await serve_stand_in(server, ("127.0.0.1", 0), control, log)

    run(work)


@app.command("load", hidden=True)
def load_part(
    file: str,
    addresses: Annotated[str, typer.Option(help="JSON file: controllers and their addresses")],
    part: Annotated[int, typer.Option()],
    parts: Annotated[int, typer.Option()],
    record: Annotated[str, typer.Option()],
    control: Control = False,
):
    """A part of a day's owners, in a process of its own; for the rig of `linedeal rig`."""
    from linedeal import logs
    from linedeal.lab.loadpart import LoadPart
    from linedeal.net import TcpNet

    server = LoadPart(Path(file), Path(addresses), part, parts, Path(record), TcpNet())
    run(serve_stand_in, server, ("127.0.0.1", 0), control, logs.setup(False, False))


@app.command(hidden=True)
def tap(record: Annotated[str, typer.Option()], control: Control = False):
    """Stands between the others and records what passes; takes routes and cuts as orders on standard input."""
    from linedeal import logs
    from linedeal.lab.record import Recorder
    from linedeal.lab.tap import TapProcess
    from linedeal.net import TcpNet

    log = logs.setup(False, False)

    async def work():
        server = TapProcess(TcpNet(), Recorder(record))
        async with anyio.create_task_group() as tasks:

            async def route(name, to):
                address = await tasks.start(server.route, name, address_of(to))
                print(json.dumps({"route": [name, f"{address[0]}:{address[1]}"]}), flush=True)

            def order(order):
                if "route" in order:
                    tasks.start_soon(route, *order["route"])
                else:
                    server.control(order)

            processes.print_address(("tap", 0))
            tasks.start_soon(processes.stop_on_signal, tasks.cancel_scope.cancel)
            if control:
                await processes.read_orders(order, log)
                tasks.cancel_scope.cancel()
        server.recorder.flush()

    run(work)


cli_jobs.add(app, run, Fault)
cli_fleet.add(app, run, key_in, Fault)


@app.command(epilog="Example: linedeal day examples/bad-day.day")
def day(
    file: str,
    directory: Annotated[Optional[str], typer.Option(help="for records and logs, kept")] = None,
    in_memory: Annotated[
        bool, typer.Option("--in-memory", help="one process, mock clock, faster than real time")
    ] = False,
    as_json: Json = False,
):
    """Plays a day file and judges what passed on the sockets. Exit status 0 only if all five rules were kept."""
    from linedeal import audit
    from linedeal.audit.duties import find_duty_breaches
    from linedeal.lab import play, report
    from linedeal.lab.day import read_day

    plan = read_day(file)
    say = (lambda line: None) if as_json else (lambda line: print(line, flush=True))
    if in_memory:
        tally, entries = play.play_in_memory(plan, say)
    else:
        import tempfile

        place = Path(directory) if directory else Path(tempfile.mkdtemp(prefix="linedeal-day-"))
        tally, entries = run(play.play_processes, plan, place, say)
    traffic = audit.reconstruct_traffic(entries)
    breaches, of_duties = (
        audit.find_breaches(traffic, plan.cluster),
        find_duty_breaches(traffic, plan.cluster),
    )
    value = report.earned_share(traffic, plan, tally.asked)
    if as_json:
        print(
            json.dumps(
                {
                    "value": value,
                    "ends": tally.ends,
                    "jobs": len(traffic.jobs),
                    "breaches": shown(breaches, of_duties),
                }
            )
        )
    else:
        print(
            "",
            *report.report_lines(traffic, breaches, of_duties),
            "",
            f"value earned of value asked: {value:.3f} (simulated hosts)",
            sep="\n",
        )
    if not in_memory:
        if not directory and not breaches and not of_duties:
            shutil.rmtree(place)
        elif not as_json:
            print(f"record and logs: {place}")
    raise typer.Exit(1 if breaches or of_duties or not traffic.jobs else 0)


def shown(breaches, of_duties) -> list[dict]:
    return [{"rule": b.rule, "t": b.t, "text": b.text} for b in breaches] + [
        {"rule": f"duties, {b.claim}", "t": b.t, "text": b.text} for b in of_duties
    ]


@app.command(
    epilog="Example: linedeal rig --controllers 12 --hosts 24 --policies linedeal,two-choices --plot load.png"
)
def rig(
    controllers: int = 12,
    hosts: int = 24,
    seconds: float = 30.0,
    room: Annotated[float, typer.Option(help="share of the hosts' room that the jobs ask for")] = 0.7,
    trouble: str = "calm",
    policies: str = "linedeal",
    seed: int = 1,
    in_memory: Annotated[bool, typer.Option("--in-memory", help="one process, mock clock")] = False,
    directory: Annotated[Optional[str], typer.Option(help="for records and logs, kept")] = None,
    plot: Annotated[Optional[str], typer.Option(help="PNG with the load by host over time")] = None,
    as_json: Json = False,
):
    """How evenly so many controllers load so many stand-in hosts: real processes over sockets, or in memory. Each policy
    plays the same day."""
    from linedeal.lab import balance_run
    from linedeal.lab.baselines import IN_MEMORY_POLICIES, POLICIES
    from linedeal.lab.balance_day import TROUBLES

    names, known = policies.split(","), IN_MEMORY_POLICIES if in_memory else POLICIES
    if unknown := [name for name in names if name not in known]:
        raise Fault(f"no policy {unknown[0]!r}: {', '.join(known)}", 2)
    if trouble not in TROUBLES:
        raise Fault(f"no trouble {trouble!r}: {', '.join(TROUBLES)}", 2)
    if controllers < 1 or hosts < 1 or seconds < 4 or not 0 < room <= 3:
        raise Fault("1 controller, 1 host, 4 seconds at least, room over 0 and up to 3", 2)
    import tempfile

    place = Path(directory) if directory else Path(tempfile.mkdtemp(prefix="linedeal-rig-"))
    say = (lambda line: None) if as_json else (lambda line: print(line, flush=True))
    found = {}
    for name in names:
        plan = balance_run.RunConfig(controllers, hosts, seconds, room, trouble, name, seed)
        found[name] = (
            balance_run.run_in_memory(plan, place / name)
            if in_memory
            else run(balance_run.run_processes, plan, place / name, say)
        )
        if not as_json:
            print(*balance_run.report_lines(name, found[name], plan), sep="\n", flush=True)
    if as_json:
        print(json.dumps({name: balance_run.to_json_dict(one) for name, one in found.items()}))
    if plot:
        from linedeal.lab.load_plot import plot_load

        plot_load(
            Path(plot),
            {name: (one.samples, one.arrivals) for name, one in found.items()},
            [(seconds / 2, trouble)] if trouble != "calm" else [],
        )
    if not directory:
        shutil.rmtree(place)


@app.command("audit", epilog="Example: linedeal audit traffic.jsonl --cluster examples/cluster.hcl")
def audit_record(record: str, cluster: ClusterFile, as_json: Json = False):
    """Judges a record of traffic by the five rules, and by the claims of duties. Exit status 0 only if all were kept."""
    from linedeal import audit
    from linedeal.audit.duties import find_duty_breaches
    from linedeal.lab import report
    from linedeal.lab.record import read_record
    from linedeal.settings.cluster import read_cluster

    settings = read_cluster(cluster)
    traffic = audit.reconstruct_traffic(read_record(record))
    breaches, of_duties = audit.find_breaches(traffic, settings), find_duty_breaches(traffic, settings)
    if as_json:
        print(json.dumps({"jobs": len(traffic.jobs), "breaches": shown(breaches, of_duties)}))
    else:
        print(*report.report_lines(traffic, breaches, of_duties), sep="\n")
    raise typer.Exit(1 if breaches or of_duties else 0)


@app.command(epilog="Example: linedeal up --controllers 2 --hosts 6 --directory /tmp/trial")
def up(
    directory: Annotated[str, typer.Option(help="for state, logs and the record of traffic")],
    controllers: int = 2,
    hosts: int = 6,
    cluster: Annotated[
        Optional[str], typer.Option(help="HCL file; the number of controllers in it is set here")
    ] = None,
):
    """A trial cluster in the foreground until Ctrl-C: N controllers, M stand-in hosts, discovery and the tap."""
    from linedeal.lab.trial import trial

    run(trial, Path(directory), controllers, hosts, cluster, lambda line: print(line, flush=True))
