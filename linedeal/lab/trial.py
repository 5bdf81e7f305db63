"""A trial cluster that runs in the foreground until it is interrupted."""

import re
import signal
from pathlib import Path

import anyio

from linedeal.lab.day import Day, parse_day
from linedeal.lab.processes import ProcessCluster

CLUSTER = """
cluster {
  controllers = 1
}
kind "std" {
  cores = 16
  memory = 64
}
offering "web" {
  expiry = 10
  effect = "redoable"
}
offering "batch" {
  expiry = 10
  effect = "labelled"
  group = "all"
  window = 10
}
offering "feed" {
  expiry = 10
  effect = "irreversible"
}
"""


def trial_day(directory: Path, controllers: int, hosts: int, cluster: str | None) -> Day:
    """Returns a day for that many controllers and hosts, and writes its cluster file into `directory`.

    `cluster`: path of the cluster file to start from; None: CLUSTER. Its number of controllers is replaced.
    The hosts are spread over its kinds. The day's load is there to satisfy the parser and is not played.
    """
    directory.mkdir(parents=True, exist_ok=True)
    text = Path(cluster).read_text(encoding="utf-8") if cluster else CLUSTER
    text = re.sub(r"(?m)^(\s*controllers\s*=\s*)\d+", rf"\g<1>{controllers}", text)
    (directory / "cluster.hcl").write_text(text, encoding="utf-8")
    offering = re.search(r'offering\s+"([^"]+)"', text).group(1)
    kinds = re.findall(r'kind\s+"([^"]+)"', text)
    lines = ["cluster cluster.hcl", f"controllers {controllers} zones a b", f"load {offering} 1"]
    for index, kind in enumerate(kinds):
        lines.append(f"hosts {hosts // len(kinds) + (index < hosts % len(kinds))} kind {kind} zones a b")
    return parse_day("\n".join(lines), str(directory / "trial.day"), directory)


async def trial(directory: Path, controllers: int, hosts: int, cluster: str | None, print_line) -> None:
    """Runs a trial cluster until SIGINT or SIGTERM; `print_line` is called with each line for the user.

    Raises ClusterProcessError, DayFileError, OSError.
    """
    day = trial_day(directory, controllers, hosts, cluster)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with ProcessCluster(day, directory) as running:
            for name, address in running.controllers.items():
                print_line(f"{name} takes jobs at {address[0]}:{address[1]}")
            offering = next(iter(day.cluster.settings.offerings))
            first = next(iter(running.controllers.values()))
            print_line(
                f"{len(day.hosts)} hosts are running; Ctrl-C ends it. Try: linedeal submit {offering} "
                f"--to {first[0]}:{first[1]}"
            )
            if day.cluster.council.members:
                print_line(f"duties of the fleet: linedeal fleet duties --cluster {running.cluster_path}")
            async for _ in signals:
                break
    print_line("ended")
