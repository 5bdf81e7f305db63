"""The day on which load balance is measured, with one trouble at half its length.

It is written as a day file, so every kind of cluster in this package can play it.
"""

from pathlib import Path

from linedeal.lab.day import Day, parse_day

ACCEPTED_CORES = 32.0  # cores that a host of kind std accepts: twice the sixteen that it has
JOB_SECONDS, SETUP = 12.0, 0.5  # host behavior: median run time of a job, and setup time, in seconds
MEAN_CORES = 2.5  # requested by a job
# Seconds for which an average job holds its cores. Run times are log-normal with sigma 0.8, so their mean is
# 1.377 times their median.
MEAN_HOLD_SECONDS = 1.377 * JOB_SECONDS + SETUP

CLUSTER = """
cluster {{
  controllers = {controllers}
}}
young {{
  time = 6
}}
kind "std" {{
  cores = 16
  memory = 64
}}
offering "web" {{
  expiry = 8
  effect = "redoable"
  calm = 0.85
  fade = 0.3
}}
"""

# Orders of a day file by name of the trouble. `{at}` is the time of its start; `zone-hosts:a` and the words
# `third`, `half` and `quarter` are replaced with names of hosts or controllers in `write_day`.
TROUBLES = {
    "calm": "",
    "restart": "at {at} kill controllers for 1",
    "zone back": "at {at} kill zone-hosts:a for 4",
    "late list": "at {at} discovery late 2 for 10",
    "list down": "at {at} discovery down for 10",
    "stopped": "at {at} stop third for 5",
    "cut": "at {at} cut half from quarter for 6",
    "busy controller": "at {at} favour c1 0.5 for 10",
    "hot service": "at {at} hot web 0.5 for 10",
    "empty refuser": "at {at} refuse h01 school for 10",
    "bad host": "at {at} pace h01 0.2 for 10",
    "ebb": "at {at} burst 0.1 for 10",
    "burst": "at {at} burst 1.5 for 8",
}


def write_day(
    directory: Path,
    controllers: int,
    hosts: int,
    length: float,
    room: float = 0.7,
    trouble: str = "calm",
    seed: int = 1,
) -> tuple[Day, Path]:
    """Writes the day file and its cluster file into the directory; returns the parsed day and its path.

    `length`: seconds of load. `room`: requested cores as a share of what the hosts accept. `trouble`: a key
    of `TROUBLES`.
    """
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "cluster.hcl").write_text(CLUSTER.format(controllers=controllers), encoding="utf-8")
    rate = room * hosts * ACCEPTED_CORES / (MEAN_CORES * MEAN_HOLD_SECONDS)
    at = round(length / 2, 1)
    line = TROUBLES[trouble].format(at=at)
    zone = [f"h{n + 1:02}" for n in range(hosts) if n % 3 == 0]
    line = line.replace("zone-hosts:a", ",".join(zone))
    line = line.replace("third", ",".join(f"c{n + 1}" for n in range(0, controllers, 3)))
    line = line.replace("half", ",".join(f"c{n + 1}" for n in range(0, controllers, 2)))
    line = line.replace("quarter", ",".join(f"h{n + 1:02}" for n in range(0, hosts, 4)))
    text = f"""cluster cluster.hcl
seed {seed}
length {length:g}
controllers {controllers} zones a b c
habit setup={SETUP} life={JOB_SECONDS}
hosts {hosts} kind std zones a b c cells 5
load web {rate:.3f} cores=1-4 memory=1-4 services={max(8, hosts // 3)} customers=school
{line}
"""
    file = directory / "even.day"
    file.write_text(text, encoding="utf-8")
    return parse_day(text, str(file), directory), file
