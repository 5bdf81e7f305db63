"""Pictures of a fleet's load over time. matplotlib is needed for these alone."""

from pathlib import Path
from typing import Sequence

from linedeal.lab.balance_metrics import Arrival, HostAt, over_time


def plot_load(
    path: Path,
    days: dict[str, tuple[Sequence[HostAt], Sequence[Arrival]]],
    troubles: Sequence[tuple[float, str]] = (),
) -> None:
    """For each policy: its hosts' load as a heat map, hosts in rows by kind and zone; below, most over mean and launches
    turned away a second. Troubles are marked. Written as PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(days) + 2, 1, figsize=(11, 2.6 * (len(days) + 2)), sharex=True, layout="constrained"
    )
    for axis, (policy, (samples, _)) in zip(axes, days.items()):
        hosts = sorted({(sample.kind, sample.zone, sample.host) for sample in samples})
        rows = {host: row for row, (*_, host) in enumerate(hosts)}
        times = sorted({sample.t for sample in samples})
        columns = {t: column for column, t in enumerate(times)}
        grid = [[float("nan")] * len(times) for _ in hosts]
        for sample in samples:
            grid[rows[sample.host]][columns[sample.t]] = sample.asked
        shown = axis.imshow(
            grid,
            aspect="auto",
            origin="lower",
            vmin=0,
            vmax=1,
            cmap="viridis",
            interpolation="nearest",
            extent=(times[0], times[-1], 0, len(hosts)),
        )
        axis.set_ylabel("host, by kind and zone")
        axis.set_title(f"{policy}: cores asked, as a share of what the host accepts", fontsize=10)
        figure.colorbar(shown, ax=axis, fraction=0.03, pad=0.01)
    for policy, (samples, arrivals) in days.items():
        for kind in sorted({sample.kind for sample in samples}):
            spread = [(t, at.most_over_mean) for t, its, at in over_time(samples) if its == kind]
            axes[-2].plot(*zip(*spread), label=f"{policy}, {kind}", linewidth=1)
        seconds: dict[int, int] = {}
        for arrival in arrivals:
            seconds[int(arrival.t)] = seconds.get(int(arrival.t), 0) + arrival.refused
        axes[-1].step(
            sorted(seconds), [seconds[t] for t in sorted(seconds)], where="post", label=policy, linewidth=1
        )
    axes[-2].set_ylabel("most over mean")
    axes[-2].set_ylim(1, 4)
    axes[-1].set_ylabel("turned away, 1/s")
    axes[-1].set_xlabel("seconds")
    for axis in axes[-2:]:
        axis.legend(fontsize=8)
        axis.grid(alpha=0.3)
    for t, what in troubles:
        for axis in axes:
            axis.axvline(t, color="red", linewidth=0.8)
        axes[-2].text(t, 3.8, f" {what}", color="red", fontsize=8, va="top")
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
