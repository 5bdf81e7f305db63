"""A trial cluster in the foreground."""

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
    """A day without load for this many, its cluster file written into the directory."""
    directory.mkdir(parents=True, exist_ok=True)
    text = Path(cluster).read_text(encoding="utf-8") if cluster else CLUSTER
    text = re.sub(r"(?m)^(\s*controllers\s*=\s*)\d+", rf"\g<1>{controllers}", text)
    (directory / "cluster.hcl").write_text(text, encoding="utf-8")
    offering = re.search(r'offering\s+"([^"]+)"', text).group(1)
    kinds = re.findall(r'kind\s+"([^"]+)"', text)
    lines = ["cluster cluster.hcl", f"controllers {controllers} zones a b", f"load {offering} 1"]
    for place, kind in enumerate(kinds):
        lines.append(f"hosts {hosts // len(kinds) + (place < hosts % len(kinds))} kind {kind} zones a b")
    return parse_day("\n".join(lines), str(directory / "trial.day"), directory)


async def trial(directory: Path, controllers: int, hosts: int, cluster: str | None, say) -> None:
    day = trial_day(directory, controllers, hosts, cluster)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with ProcessCluster(day, directory) as ground:
            for name, address in ground.controllers.items():
                say(f"{name} takes jobs at {address[0]}:{address[1]}")
            offering = next(iter(day.cluster.settings.offerings))
            first = next(iter(ground.controllers.values()))
            say(
                f"{len(day.hosts)} hosts stand; Ctrl-C ends it. Try: linedeal submit {offering} "
                f"--to {first[0]}:{first[1]}"
            )
            if day.cluster.council.members:
                say(f"work on behalf of the fleet: linedeal fleet duties --cluster {ground.cluster_path}")
            async for _ in signals:
                break
    say("ended")
