"""The command line. Each command parses its arguments and calls the package that does the work.

Exit status: 0 success; 1 negative result (a rule broken, a job not placed, an invalid file);
2 wrong usage; 3 failure of the environment (an address in use, a disk); 4 fenced off by a later incarnation.
"""

import json
import os
import random
import shutil
import sys
import time
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated

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

Listen = Annotated[str, typer.Option(help="HOST:PORT; port 0 selects a free port")]
ClusterFile = Annotated[str, typer.Option("--cluster", help="the cluster's HCL file")]
Control = Annotated[
    bool,
    typer.Option("--control", hidden=True, help="read orders from standard input and exit when it closes"),
]
Json = Annotated[bool, typer.Option("--json", help="print JSON, for programs")]
CouncilKey = Annotated[
    str | None,
    typer.Option(
        help="file with the key for the council's members; default: the value of LINEDEAL_COUNCIL_KEY"
    ),
]
Backend = Annotated[str, typer.Option(help="asyncio or trio")]


class CommandError(Exception):
    """An error that ends a command with a one-line message and an exit status."""

    def __init__(self, text: str, status: int):
        """`text` is printed on standard error; `status` is the exit status of the process."""
        super().__init__(text)
        self.status = status


def main() -> None:
    """Runs the command line. Expected errors are printed as one line; others propagate with a traceback."""
    try:
        app()
        return
    except BaseExceptionGroup as group:
        error = processes.unwrap(group)
    except Exception as caught:
        error = caught
    status = status_of(error)
    if status is None:
        raise error  # a bug: show the traceback
    print(f"linedeal: {error}", file=sys.stderr)
    sys.exit(status)


def status_of(error: BaseException) -> int | None:
    """The exit status for an expected error; None for any other exception, which is a bug."""
    if isinstance(error, CommandError):
        return error.status
    # Imported here because most commands need none of these packages, and importing them all takes longer
    # than running the command.
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
    return next((status for types, status in statuses if isinstance(error, types)), None)


def address_of(text: str):
    """The host and port in HOST:PORT; raises CommandError if the text is malformed."""
    from linedeal.net import parse_address

    try:
        return parse_address(text)
    except ValueError as error:
        raise CommandError(str(error), 2) from None


def read_council_key(file: str | None) -> str:
    """The council's key, from a file or else from LINEDEAL_COUNCIL_KEY.

    Raises CommandError if the file cannot be read. There is no option for the key itself, because every
    user of the machine can read a process's arguments.
    """
    if file is None:
        return os.environ.get("LINEDEAL_COUNCIL_KEY", "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            f"{file}: cannot be read: {getattr(error, 'strerror', None) or 'not UTF-8'}", 2
        ) from None


def run(work, *args, backend: str = "asyncio", fast: bool = True, clock: float = 1.0):
    """Runs a coroutine function in an event loop and returns its result.

    `clock` is the rate of this process's clock, in seconds per real second; only day files set a rate
    other than 1. `fast` selects uvloop where it is installed. Raises CommandError for an unknown backend.
    """
    if clock != 1.0:
        from linedeal.lab.clocks import SkewedEventLoop

        return anyio.run(
            work, *args, backend="asyncio", backend_options={"loop_factory": lambda: SkewedEventLoop(clock)}
        )
    if backend not in ("asyncio", "trio"):
        raise CommandError(f"unknown backend {backend!r}: use asyncio or trio", 2)
    # uvloop runs the same asyncio code at a lower cost per message; it is optional.
    options = {"use_uvloop": find_spec("uvloop") is not None} if backend == "asyncio" and fast else {}
    return anyio.run(work, *args, backend=backend, backend_options=options)


@app.command("check-config", epilog="Example: linedeal check-config examples/cluster.hcl")
def check_config(file: str, as_json: Json = False):
    """Checks a cluster file and prints every error in it, one per line."""
    from linedeal.settings.cluster import ConfigError, read_cluster

    try:
        cluster = read_cluster(file)
        errors = []
    except ConfigError as error:
        errors = error.lines
    if as_json:
        print(json.dumps({"file": file, "faults": errors}))
    elif errors:
        print("\n".join(errors))
    else:
        print(
            f"{file}: valid: {len(cluster.settings.offerings)} offerings, "
            f"{len(cluster.settings.kinds)} kinds, {len(cluster.settings.quotas)} customers"
        )
    raise typer.Exit(1 if errors else 0)


@app.command(
    epilog="Example: linedeal controller --name c1 --cluster examples/cluster.hcl "
    "--discovery 127.0.0.1:7000 --state /var/lib/linedeal/c1 --listen 127.0.0.1:7100"
)
def controller(
    name: Annotated[str, typer.Option(help="name of this controller, the same after each restart")],
    cluster: ClusterFile,
    discovery: Annotated[str, typer.Option(help="HOST:PORT of the discovery service")],
    state: Annotated[str, typer.Option(help="state directory, used by this controller only")],
    listen: Listen = "127.0.0.1:0",
    seed: Annotated[int | None, typer.Option(help="seed of its random numbers")] = None,
    council_listen: Annotated[
        str | None,
        typer.Option(help="HOST:PORT to listen on for the council, if not the one in the cluster file"),
    ] = None,
    council_key: CouncilKey = None,
    as_json: Json = False,
    verbose: bool = False,
    backend: Backend = "asyncio",
    control: Control = False,
    policy: Annotated[
        str, typer.Option(hidden=True, help="scheduling policy, for comparison in day files")
    ] = "linedeal",
    clock: Annotated[
        float, typer.Option(hidden=True, help="rate of its clock, for day files", min=0.5, max=2.0)
    ] = 1.0,
):
    """Runs a controller: accepts jobs from clients, launches them on hosts and reports the results.

    After SIGTERM it exits once every job that it holds has its answer.
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
        read_council_key(council_key),
    )
    policy_option = {}
    if policy != "linedeal":
        from linedeal.lab.baselines import POLICIES

        if policy not in POLICIES:
            raise CommandError(f"unknown policy {policy!r}: {', '.join(POLICIES)}", 2)
        policy_option = {"policy": POLICIES[policy]}
    runtime = Runtime(setup, Store(state), TcpNet(), logs.setup(as_json, verbose), **policy_option)

    async def work():
        async with anyio.create_task_group() as tasks:

            async def serve():
                await runtime.run(task_status=AddressPrinter())
                tasks.cancel_scope.cancel()

            tasks.start_soon(serve)
            tasks.start_soon(processes.stop_on_signal, runtime.shut_down)
            if control:
                await processes.read_orders(clock_order, runtime.log)
                tasks.cancel_scope.cancel()

    run(work, backend=backend, clock=clock)


def clock_order(order: dict) -> None:
    """Carries out an order: `jump` sets a clock that has a configured rate forward by that many seconds."""
    import asyncio

    for name, value in order.items():
        if name != "jump":
            raise ValueError(f"unknown order {name!r}")
        jump = getattr(asyncio.get_running_loop(), "jump", None)
        if jump is None:
            raise ValueError("this clock cannot jump: it runs without --clock")
        jump(float(value))


class AddressPrinter:
    """An anyio task status that prints the address of the started server on standard output."""

    def started(self, address=None):
        """Called by the server once it listens at `address`."""
        processes.print_address(address)


async def serve_stand_in(server, listen, control: bool, log) -> None:
    """Runs a stand-in until a signal or, with `control`, until standard input ends."""
    async with anyio.create_task_group() as tasks:

        async def serve():
            await server.run(listen, task_status=AddressPrinter())
            log.error("server stopped unexpectedly")
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
    discovery: Annotated[str, typer.Option(help="HOST:PORT of the discovery service")],
    listen: Listen = "127.0.0.1:0",
    zone: str = "a",
    cell: int = 0,
    seed: int = 1,
    boot: Annotated[
        int, typer.Option(help="boot number, larger at each start; 0: derived from the clock")
    ] = 0,
    habits: Annotated[str, typer.Option(help="behavior as JSON, see docs/days.md")] = "{}",
    advertise: Annotated[
        str, typer.Option(help="address that discovery announces; default: the listening address")
    ] = "",
    fence: Annotated[
        str | None, typer.Option(help="file that stores the highest fencing token seen for each duty")
    ] = None,
    young: bool = False,
    control: Control = False,
):
    """Runs a stand-in host that accepts, refuses, starts and ends jobs without executing anything."""
    from random import Random

    from linedeal import logs
    from linedeal.net import TcpNet
    from linedeal.settings.cluster import read_cluster
    from linedeal.standin.host import HostServer
    from linedeal.standin.model import HostBehavior, HostModel

    log, settings = logs.setup(False, False), read_cluster(cluster)
    if kind not in settings.settings.kinds:
        raise CommandError(f"unknown host kind {kind!r} in {cluster}", 2)
    try:
        behavior = HostBehavior(**json.loads(habits))
    except (ValueError, TypeError) as error:
        raise CommandError(f"--habits: {error}", 2) from None
    boot = boot or time.time_ns() // 1_000_000

    async def work():
        model = HostModel(
            name, kind, settings, behavior, boot, Random(f"{seed} {name} {boot}"), anyio.current_time(), young
        )
        # With --control the advertised address arrives as an order, because its route does not exist yet.
        announced = advertise or ("" if control else "itself")
        server = HostServer(
            model, TcpNet(), address_of(discovery), announced, zone, cell, Path(fence) if fence else None
        )
        await serve_stand_in(server, address_of(listen), control, log)

    run(work)


@app.command()
def discovery(listen: Listen = "127.0.0.1:0", control: Control = False):
    """Runs a stand-in for the discovery service: hosts report to it and controllers watch it."""
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
    """Runs a stand-in for the operators' tool that replaces hosts.

    It prints each host to be replaced on standard output, and reads on standard input which hosts have
    started.
    """
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
    hosts: Annotated[str, typer.Option(help="JSON file that describes the hosts")],
    cluster: ClusterFile,
    discovery: Annotated[str, typer.Option()],
    record: Annotated[str, typer.Option()],
    seed: int = 1,
    control: Control = False,
):
    """Runs many stand-in hosts in one process and samples them ten times a second; used by `linedeal rig`."""
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
    addresses: Annotated[str, typer.Option(help="JSON file with the addresses of the controllers")],
    part: Annotated[int, typer.Option()],
    parts: Annotated[int, typer.Option()],
    record: Annotated[str, typer.Option()],
    control: Control = False,
):
    """Runs one part of a day's job owners in a separate process; used by `linedeal rig`."""
    from linedeal import logs
    from linedeal.lab.loadpart import LoadPart
    from linedeal.net import TcpNet

    server = LoadPart(Path(file), Path(addresses), part, parts, Path(record), TcpNet())
    run(serve_stand_in, server, ("127.0.0.1", 0), control, logs.setup(False, False))


@app.command(hidden=True)
def tap(record: Annotated[str, typer.Option()], control: Control = False):
    """Runs the proxy that records the traffic between all processes.

    It reads orders from standard input, such as to add a route or to cut a connection.
    """
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

            def handle_order(order):
                if "route" in order:
                    tasks.start_soon(route, *order["route"])
                else:
                    server.control(order)

            processes.print_address(("tap", 0))
            tasks.start_soon(processes.stop_on_signal, tasks.cancel_scope.cancel)
            if control:
                await processes.read_orders(handle_order, log)
                tasks.cancel_scope.cancel()
        server.recorder.flush()

    run(work)


cli_jobs.add(app, run, CommandError)
cli_fleet.add(app, run, read_council_key, CommandError)


@app.command(epilog="Example: linedeal day examples/bad-day.day")
def day(
    file: str,
    directory: Annotated[
        str | None, typer.Option(help="directory for records and logs; kept afterwards")
    ] = None,
    in_memory: Annotated[
        bool, typer.Option("--in-memory", help="use one process and a mock clock, faster than real time")
    ] = False,
    as_json: Json = False,
):
    """Plays a day file and audits the recorded traffic. Exit status 0 only if all five rules hold."""
    from linedeal import audit
    from linedeal.audit.duties import find_duty_breaches
    from linedeal.lab import play, report
    from linedeal.lab.day import read_day

    plan = read_day(file)
    show_progress = (lambda line: None) if as_json else (lambda line: print(line, flush=True))
    if in_memory:
        tally, entries = play.play_in_memory(plan, show_progress)
    else:
        import tempfile

        directory_path = Path(directory) if directory else Path(tempfile.mkdtemp(prefix="linedeal-day-"))
        tally, entries = run(play.play_processes, plan, directory_path, show_progress)
    traffic = audit.reconstruct_traffic(entries)
    breaches, duty_breaches = (
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
                    "breaches": shown(breaches, duty_breaches),
                }
            )
        )
    else:
        print(
            "",
            *report.report_lines(traffic, breaches, duty_breaches),
            "",
            f"value earned of value requested: {value:.3f} (simulated hosts)",
            sep="\n",
        )
    if not in_memory:
        if not directory and not breaches and not duty_breaches:
            shutil.rmtree(directory_path)
        elif not as_json:
            print(f"record and logs: {directory_path}")
    raise typer.Exit(1 if breaches or duty_breaches or not traffic.jobs else 0)


def shown(breaches, duty_breaches) -> list[dict]:
    """The breaches of the job rules and of the duty rules in the form that --json prints."""
    return [{"rule": b.rule, "t": b.t, "text": b.text} for b in breaches] + [
        {"rule": f"duties, {b.claim}", "t": b.t, "text": b.text} for b in duty_breaches
    ]


@app.command(
    epilog="Example: linedeal rig --controllers 12 --hosts 24 --policies linedeal,two-choices --plot load.png"
)
def rig(
    controllers: int = 12,
    hosts: int = 24,
    seconds: float = 30.0,
    room: Annotated[float, typer.Option(help="share of the hosts' capacity that the jobs request")] = 0.7,
    trouble: str = "calm",
    policies: str = "linedeal",
    seed: int = 1,
    in_memory: Annotated[bool, typer.Option("--in-memory", help="use one process and a mock clock")] = False,
    directory: Annotated[
        str | None, typer.Option(help="directory for records and logs; kept afterwards")
    ] = None,
    plot: Annotated[
        str | None, typer.Option(help="PNG file for a plot of the load of each host over time")
    ] = None,
    as_json: Json = False,
):
    """Measures how evenly the controllers load the stand-in hosts, with real processes or in memory.

    Each policy plays the same day.
    """
    from linedeal.lab import balance_run
    from linedeal.lab.balance_day import TROUBLES
    from linedeal.lab.baselines import IN_MEMORY_POLICIES, POLICIES

    names, known = policies.split(","), IN_MEMORY_POLICIES if in_memory else POLICIES
    if unknown := [name for name in names if name not in known]:
        raise CommandError(f"unknown policy {unknown[0]!r}: {', '.join(known)}", 2)
    if trouble not in TROUBLES:
        raise CommandError(f"unknown trouble {trouble!r}: {', '.join(TROUBLES)}", 2)
    if controllers < 1 or hosts < 1 or seconds < 4 or not 0 < room <= 3:
        raise CommandError(
            "needs at least 1 controller, 1 host and 4 seconds, and --room above 0 and at most 3", 2
        )
    import tempfile

    directory_path = Path(directory) if directory else Path(tempfile.mkdtemp(prefix="linedeal-rig-"))
    show_progress = (lambda line: None) if as_json else (lambda line: print(line, flush=True))
    results = {}
    for name in names:
        plan = balance_run.RunConfig(controllers, hosts, seconds, room, trouble, name, seed)
        results[name] = (
            balance_run.run_in_memory(plan, directory_path / name)
            if in_memory
            else run(balance_run.run_processes, plan, directory_path / name, show_progress)
        )
        if not as_json:
            print(*balance_run.report_lines(name, results[name], plan), sep="\n", flush=True)
    if as_json:
        print(json.dumps({name: balance_run.to_json_dict(result) for name, result in results.items()}))
    if plot:
        from linedeal.lab.load_plot import plot_load

        plot_load(
            Path(plot),
            {name: (result.samples, result.arrivals) for name, result in results.items()},
            [(seconds / 2, trouble)] if trouble != "calm" else [],
        )
    if not directory:
        shutil.rmtree(directory_path)


@app.command("audit", epilog="Example: linedeal audit traffic.jsonl --cluster examples/cluster.hcl")
def audit_record(record: str, cluster: ClusterFile, as_json: Json = False):
    """Audits a traffic record by the five rules and the rules for duties. Exit status 0 only if all hold."""
    from linedeal import audit
    from linedeal.audit.duties import find_duty_breaches
    from linedeal.lab import report
    from linedeal.lab.record import read_record
    from linedeal.settings.cluster import read_cluster

    settings = read_cluster(cluster)
    traffic = audit.reconstruct_traffic(read_record(record))
    breaches, duty_breaches = audit.find_breaches(traffic, settings), find_duty_breaches(traffic, settings)
    if as_json:
        print(json.dumps({"jobs": len(traffic.jobs), "breaches": shown(breaches, duty_breaches)}))
    else:
        print(*report.report_lines(traffic, breaches, duty_breaches), sep="\n")
    raise typer.Exit(1 if breaches or duty_breaches else 0)


@app.command(epilog="Example: linedeal up --controllers 2 --hosts 6 --directory /tmp/trial")
def up(
    directory: Annotated[str, typer.Option(help="directory for state, logs and the traffic record")],
    controllers: int = 2,
    hosts: int = 6,
    cluster: Annotated[
        str | None, typer.Option(help="HCL file; --controllers overrides the number of controllers in it")
    ] = None,
):
    """Runs a trial cluster until Ctrl-C: controllers, stand-in hosts, discovery and the recording proxy."""
    from linedeal.lab.trial import trial

    run(trial, Path(directory), controllers, hosts, cluster, lambda line: print(line, flush=True))
