"""Value earned of value requested under failures, by kind of trouble: linedeal's policy and two baselines.

The days are played in memory on a mock clock: 40 s of load, 3 controllers, 12 stand-in hosts, seeds 1 to 3.
The baselines use the same checks before a launch, so that the rules hold, but choose hosts differently: one
at random, one by most free capacity alone.
"""

import argparse
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from linedeal import audit
from linedeal.lab import report
from linedeal.lab.baselines import MostFreeCapacity, RandomChoice
from linedeal.lab.day import parse_day
from linedeal.lab.play import play_in_memory
from linedeal.policy import Controller

CLUSTER = Path("examples/cluster.hcl").read_text().replace("controllers    = 4", "controllers    = 3")
BASE_DAY = """
cluster cluster.hcl
length 40
controllers 3 zones a b c
habit setup=1.2 life=9 kept=4
hosts 9 kind std zones a b c cells 3
hosts 3 kind press zones a b c cells 3
load course-reader 5.5 cores=1-4 memory=2-12 services=10 customers=school,publisher,shop
load photo-book 3 cores=1-3 memory=2-8 services=6 customers=shop,publisher
load press-feed 1.5 cores=2-5 memory=4-12 services=4 customers=publisher
"""
TROUBLES = {
    "quiet": [],
    "hosts killed": ["at 4 kill h01,h05,h10 for 6"],
    "rack restarts": ["at 5 kill cell:0 for 1", "at 5 kill cell:1 for 1"],
    "hosts frozen": ["at 4 stop h02,h06 for 6"],
    "zone cut": ["at 5 cut zone:a from zone:b for 6"],
    "answers lost": ["at 4 mute h03,h11 for 8"],
    "slow answers": ["at 4 slow h01,h02,h03 0.8 for 8"],
    "errors": ["at 4 errors h04,h05 course-reader for 8"],
    "customer refused": ["at 4 refuse h01,h02 school for 8"],
    "programs lost": ["at 6 flush hosts", "at 12 flush hosts"],
    "shrink": ["at 5 drain h07,h08,h09 for 4"],
    "growth": ["at 3 burst 1.6 for 12", "at 6 grow 3 std a"],
    "deploy": ["habit drain=at_once", "at 4 deploy h01,h02,h03,h04,h05,h06 34"],
    "controllers killed": ["at 5 kill c1 for 3", "at 10 kill c2 for 3"],
    "controller stalled": ["at 5 stop c1 for 5"],
    "discovery down": ["at 3 discovery down for 10", "at 5 kill h03 for 4"],
    "burst": ["at 5 burst 2.5 for 6"],
    "service surges": ["at 4 surge course-reader-1 2.5 for 10"],
    "heavy tail": ["at 4 heavy photo-book 3 for 10"],
    "half-speed hosts": ["at 3 pace h01,h02,h03 0.3 for 12"],
}


POLICIES = {"linedeal": Controller, "random": RandomChoice, "most room": MostFreeCapacity}


def play_day(run):
    """Plays one day; returns `run`, the share of the value that was earned and the number of breaches."""
    trouble, policy, seed, sessions = run
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory)
        (path / "cluster.hcl").write_text(CLUSTER)
        lines = [
            line + " sessions" if sessions and line.startswith("load") else line
            for line in BASE_DAY.splitlines()
        ]
        day = parse_day("\n".join([*lines, f"seed {seed}", *TROUBLES[trouble]]), "bad.day", path)
        tally, entries = play_in_memory(day, policy=POLICIES[policy])
    traffic = audit.reconstruct_traffic(entries)
    return run, report.earned_share(traffic, day, tally.asked), len(audit.find_breaches(traffic, day.cluster))


def main():
    """Plays all days with each policy and prints the mean of each trouble."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("processes", nargs="?", type=int, default=6)
    parser.add_argument(
        "--sessions", action="store_true", help="compare owners with and without sessions instead of policies"
    )
    arguments = parser.parse_args()
    columns = (
        [("without", "linedeal", False), ("in sessions", "linedeal", True)]
        if arguments.sessions
        else [(policy, policy, False) for policy in POLICIES]
    )
    runs = [
        (trouble, policy, seed, sessions)
        for trouble in TROUBLES
        for _, policy, sessions in columns
        for seed in (1, 2, 3)
    ]
    with ProcessPoolExecutor(max_workers=arguments.processes) as pool:
        results = list(pool.map(play_day, runs))
    print(
        f"{'trouble':<20}"
        + "".join(f"{name:>12}" for name, *_ in columns)
        + f"{'1st / 2nd':>14}{'breaches':>10}"
    )
    for trouble in TROUBLES:
        means, breaches = [], 0
        for _, policy, sessions in columns:
            matching = [
                result
                for result in results
                if result[0][0] == trouble and result[0][1] == policy and result[0][3] == sessions
            ]
            means.append(statistics.mean(value for _, value, _ in matching))
            breaches += sum(count for _, _, count in matching) if policy == "linedeal" else 0
        print(
            f"{trouble:<20}"
            + "".join(f"{mean:>12.3f}" for mean in means)
            + f"{means[0] / means[1]:>14.2f}{breaches:>10}"
        )


if __name__ == "__main__":
    main()
