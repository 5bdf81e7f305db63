"""The store, the journal's format and clock, and the reading of cluster and day files."""

import sqlite3
import subprocess
import sys
import zlib

import msgspec
import pytest

from linedeal import interface as api
from linedeal.cli import app
from linedeal.engine import effects
from linedeal.engine.events import ListedHost
from linedeal.interface import Effect, Mode, TopologyLevel
from linedeal.lab.day import DayFileError, parse_day
from linedeal.settings import cluster as settings_cluster
from linedeal.settings.cluster import ConfigError, parse_cluster, read_cluster
from linedeal.state import Store, StoreError, journal_clock, upgrade
from linedeal.state.journal import Journal
from tests.engine_driver import CLUSTER as PLAIN

HOST = ListedHost("h1", ("x:1",), "std", "z", 3, Mode.SERVING, 5, 100.0, 2.5, None)


def test_each_life_has_a_larger_number(tmp_path):
    lives = []
    for _ in range(3):
        store = Store(tmp_path)
        lives.append(store.next_life())
        store.close()
    assert lives == [1, 2, 3]


def test_a_life_number_is_on_disk_before_the_process_continues(tmp_path):
    import subprocess
    import sys

    code = f"import os; from linedeal.state import Store; Store({str(tmp_path)!r}).next_life(); os._exit(9)"
    subprocess.run([sys.executable, "-c", code], check=False)
    assert Store(tmp_path).next_life() == 2


def test_hosts_of_the_stored_list_are_older_when_it_is_loaded(tmp_path):
    store = Store(tmp_path)
    assert store.load_host_list(1000.0) == (0, ())
    store.save_host_list(1000.0, 7, (HOST,))
    version, (host,) = store.load_host_list(1060.0)
    assert version == 7 and host.age == 160.0 and host.free_memory is None
    assert store.load_host_list(900.0)[1][0].age == 100.0  # the clock was set back: ages do not decrease


def test_a_directory_is_locked_by_one_controller(tmp_path):
    store = Store(tmp_path)
    with pytest.raises(StoreError, match="another controller uses it"):
        Store(tmp_path)
    store.close()
    Store(tmp_path).close()


def test_a_file_that_is_not_a_database_is_reported(tmp_path):
    (tmp_path / "controller.db").write_bytes(b"something else entirely" * 100)
    with pytest.raises(StoreError, match="controller.db: file is not a database"):
        Store(tmp_path)


def test_a_store_of_a_later_format_is_not_opened(tmp_path):
    Store(tmp_path).close()
    db = sqlite3.connect(tmp_path / "controller.db")
    db.execute("UPDATE kept SET value = x'63' WHERE name = 'format'")
    db.commit()
    db.close()
    with pytest.raises(StoreError, match="format 99, this version reads 1"):
        Store(tmp_path)


def test_the_example_cluster_file_is_valid():
    cluster = read_cluster("examples/cluster.hcl")
    assert cluster.settings.offerings["photo-book"].effect is Effect.LABELLED
    assert cluster.settings.offerings["photo-book"].dedup_level is TopologyLevel.ZONE
    assert cluster.settings.quotas == {"school": 120.0, "publisher": 160.0, "shop": 80.0}
    assert cluster.limits.held == 20000


def test_all_problems_are_reported_at_once_with_block_and_nearest_key():
    with pytest.raises(ConfigError) as caught:
        parse_cluster(
            """
cluster {
  controlers = 3
  may_probe = "yes"
}
ofering "a" {}
kind "k" {
  cores = "many"
  memory = 1
}
kind "k" {
  cores = 1
  memory = 1
}
young "x" {
}
""",
            "f.hcl",
        )
    assert caught.value.lines == [
        "f.hcl: cluster: unknown key controlers, the nearest known is controllers",
        "f.hcl: cluster: controllers is missing",
        "f.hcl: cluster: may_probe is not bool",
        "f.hcl: ofering: unknown block, the nearest known is offering",
        "f.hcl: kind k: cores is not a number",
        "f.hcl: kind k: is defined twice",
        "f.hcl: young: must not have a name",
    ]


def test_values_out_of_range_are_reported():
    with pytest.raises(ConfigError) as caught:
        parse_cluster(
            """
cluster {
  controllers = 0
}
kind "k" {
  cores = 0
  memory = 1
}
offering "a" {
  expiry = 5
  effect = "labelled"
  kind = "z"
}
limits {
  held = 0
}
""",
            "f.hcl",
        )
    assert caught.value.lines == [
        "f.hcl: cluster: controllers is 0, at least 1 is needed",
        "f.hcl: kind k: cores is 0, over 0 is needed",
        "f.hcl: offering a: window is 0, over 0 is needed",
        "f.hcl: offering a: group is missing, a labelled offering needs one",
        "f.hcl: offering a: kind names 'z', which is not a kind",
        "f.hcl: limits: held is 0, over 0 is needed",
    ]


@pytest.mark.parametrize(
    "text, message",
    [
        ("cluster {\n x = \n}", "f.hcl: line 2: not HCL"),
        ("cluster = 3", "f.hcl: cluster: is a block, not a value"),
        ("x = " + "[" * 5000 + "]" * 5000, "f.hcl: not HCL: nested too deep"),
    ],
)
def test_invalid_hcl_is_reported_on_one_line(text, message):
    with pytest.raises(ConfigError) as caught:
        parse_cluster(text, "f.hcl")
    assert caught.value.lines[0].startswith(message) and "\n" not in caught.value.lines[0]


def test_all_problems_of_a_day_file_are_reported_at_once():
    with pytest.raises(DayFileError) as caught:
        parse_day(
            "cluster examples/cluster.hcl\ncontrollers 3\nhosts 2 kind std\nhosts 1 kind lead\n"
            "load course-reader 2 cups=3\nload poster 1\nat 3 kill h09 for 2\nat 4 mute h01\n"
            "at 5 dance h01\nat x kill h01\nat 6 kill\nhabit starts=a",
            "d.day",
        )
    assert caught.value.lines == [
        "d.day: line 5: unknown figure cups",
        "d.day: line 12: invalid literal for int() with base 10: 'a'",
        "d.day: line 7: no host or controller h09",
        "d.day: line 8: mute needs: for SECONDS",
        "d.day: line 9: unknown verb dance",
        "d.day: line 10: could not convert string to float: 'x'",
        "d.day: line 11: too few words",
        "d.day: hosts: no kind lead in the cluster",
        "d.day: load: no offering poster in the cluster",
        "d.day: 3 controllers, the cluster states 4",
    ]


def test_check_config_prints_problems_and_sets_the_exit_status(tmp_path, capsys):
    from typer.testing import CliRunner

    assert CliRunner().invoke(app, ["check-config", "examples/cluster.hcl"]).exit_code == 0
    invalid = tmp_path / "invalid.hcl"
    invalid.write_text("cluster {\n}\n")
    result = CliRunner().invoke(app, ["check-config", str(invalid)])
    assert result.exit_code == 1
    assert result.output.splitlines()[0] == f"{invalid}: cluster: controllers is missing"


# format and clock of the journal

FORMAT_1_TABLES = """
CREATE TABLE jobs (id TEXT PRIMARY KEY, session TEXT, key TEXT, job BLOB, sum INTEGER, expires REAL,
    verdict TEXT, host TEXT, answered REAL) STRICT;
CREATE TABLE launches (life INTEGER, number INTEGER, job TEXT, host TEXT, boot INTEGER, sent REAL,
    void INTEGER, PRIMARY KEY (life, number)) STRICT, WITHOUT ROWID;
"""


def write_format_1_store(directory):
    """A store in format 1 with two jobs: one with a launch and without an answer, one with an answer."""
    store = Store(directory)
    for statement in FORMAT_1_TABLES.split(";"):
        store.db.execute(statement)
    for number, verdict in ((1, None), (2, "placed")):
        job = msgspec.msgpack.encode(api.Job(f"c.1.{number}", "feed", "", "s", 1.0, 1.0, 9.0))
        store.db.execute(
            "INSERT INTO jobs VALUES (?, 's', ?, ?, ?, 106.0, ?, 'a', ?)",
            (f"c.1.{number}", f"k{number}", job, zlib.crc32(job), verdict, 101.0 if verdict else None),
        )
    store.db.execute("INSERT INTO launches VALUES (1, 7, 'c.1.1', 'a', 5, 100.0, 0)")
    store.put("format", 1)
    store.close()


def test_a_store_of_the_previous_format_is_upgraded(tmp_path):
    # the upgrade must keep the jobs without an answer
    write_format_1_store(tmp_path)
    for _ in range(2):  # the second time nothing is left to upgrade
        store = Store(tmp_path)
        contents = Journal(store).read(102.0, 60.0)
        assert [(job.key, job.expires_in, job.launches[0].sent_ago) for job in contents.open] == [
            ("k1", 4.0, 2.0)
        ]
        assert [(stored.key, stored.stage, stored.host, stored.follow) for stored in contents.answers] == [
            ("k2", "PLACED", "a", False)
        ]
        assert store.get("format", int) == upgrade.FORMAT
        store.close()


def test_a_failed_upgrade_leaves_the_previous_format(tmp_path, monkeypatch):
    write_format_1_store(tmp_path)
    monkeypatch.setitem(upgrade.STEPS, 1, (*upgrade.STEPS[1], "SELECT 1 FROM nowhere"))
    with pytest.raises(StoreError, match="cannot be upgraded from format 1 to 2: no such table"):
        Store(tmp_path)
    monkeypatch.undo()
    store = Store(tmp_path)
    assert len(Journal(store).read(102.0, 60.0).open) == 1
    store.close()


def test_a_torn_page_is_reported_on_one_line(tmp_path):
    store = Store(tmp_path)
    journal = Journal(store, reserve_bytes=1 << 16)
    journal.write(
        1.0,
        1,
        [
            effects.AcceptJob(
                1, f"k{n}", f"c.1.{n}", "s", api.Job(f"c.1.{n}", "feed", "", "s", 1.0, 1.0, 9.0), 6.0
            )
            for n in range(300)
        ],
    )
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    intact = (tmp_path / "controller.db").read_bytes()
    # each page but the first, with its first or second half overwritten
    for page in range(4096, len(intact), 4096):
        for offset in (0, 2048):
            (tmp_path / "controller.db").write_bytes(
                intact[: page + offset] + b"\xff" * 2048 + intact[page + offset + 2048 :]
            )
            store = None
            try:
                store = Store(tmp_path)
                contents = Journal(store, reserve_bytes=1 << 16).read(2.0, 60.0)
                assert len(contents.open) == 300  # the overwritten half was unused
            except StoreError as error:
                assert "controller.db: " in str(error) and "\n" not in str(error)
            finally:
                if store is not None:
                    store.close()


def test_the_journals_clock_continues_over_restarts_and_clock_changes(tmp_path):
    first = journal_clock.resume(None, "m", 500.0, 10_000.0, 0.0)
    store = Store(tmp_path)
    store.save_clock(first.base)
    journal = Journal(store, reserve_bytes=1 << 16)
    job = api.Job("c.1.1", "mail", "", "s", 1.0, 1.0, 9.0)
    journal.write(
        first.at(500.0),
        1,
        [effects.AcceptJob(1, "k", job.id, "s", job, 60.0), effects.SendLaunch("a", 1, job, 3.0, 5, True)],
    )
    assert journal.last_written() == 10_000.0
    for boot_id, monotonic, time_of_day, sent_ago in (
        ("m", 502.0, 10_002.0, 2.0),
        ("m", 502.0, 6_400.0, 2.0),  # set back by an hour, without effect
        # after a reboot the time of day is used
        ("n", 5.0, 10_030.0, 30.0),
        ("n", 5.0, 6_400.0, float("inf")),
    ):
        clock = journal_clock.resume(
            store.load_clock(), boot_id, monotonic, time_of_day, journal.last_written()
        )
        (recovered,) = journal.read(clock.at(monotonic), 60.0, clock.doubt).open
        assert recovered.launches[0].sent_ago == sent_ago and recovered.expires_in <= 60.0
    store.close()


@pytest.mark.parametrize(
    "text, message",
    [
        ("journal {\n most = 5\n}\n", "journal: most is 5"),
        ("journal {\n spare = 0\n}\n", "journal: spare is 0"),
        ("journal {\n answers_kept = 0\n}\n", "journal: answers_kept is 0"),
    ],
)
def test_invalid_limits_of_the_journal_are_reported(text, message):
    with pytest.raises(ConfigError, match=message):
        parse_cluster(PLAIN + text)


# incomplete and extreme cluster files

SMALL = """cluster {
  controllers = 2
}
kind "std" {
  cores = 10
  memory = 20
}
offering "feed" {
  expiry = 6
  effect = "irreversible"
}
customer "paper" {
  cores = 4
}
"""


BIG = "9" * 400


@pytest.mark.parametrize(
    "block, line",
    [
        ("cluster", f"controllers = {BIG}"),
        ("cluster", "controllers = " + BIG),
        ("cluster", f"accepts_cores = {BIG}.0"),
        ("cluster", "accepts_memory = 1e-400"),
        ("cluster", f"host_price = {BIG}.0"),
        ("cluster", "max_launches = " + "9" * 30),
        ("kind", f"cores = {BIG}.0"),
        ("kind", "memory = " + BIG),
        ("offering", f"expiry = {BIG}.0"),
        ("offering", f"calm = {BIG}.0"),
        ("offering", f"fade = {BIG}.0"),
        ("offering", f"value = {BIG}.0"),
        ("customer", f"cores = {BIG}.0"),
        ("limits", f"tick = {BIG}.0"),
        ("limits", "tick = 3600"),
        ("limits", f"hold = {BIG}.0"),
        ("limits", f"held = {BIG}"),
        ("limits", "work = 1048576"),
        ("limits", f"client_idle = {BIG}.0"),
        ("young", f"span = {BIG}.0"),
        ("young", f"time = {BIG}.0"),
        ("rules", f"answer_slack = {BIG}.0"),
        ("journal", f"answers_kept = {BIG}.0"),
        ("journal", "most = " + BIG),
    ],
)
def test_extreme_values_are_reported_on_one_line(block, line):
    key = line.split()[0]
    if f"\n{block} " in "\n" + SMALL:
        start = SMALL.index(f"{block} ")
        end = SMALL.index("}", start)
        others = "".join(
            item for item in SMALL[start:end].splitlines(keepends=True) if item.split()[0] != key
        )
        text = SMALL[:start] + others + f"  {line}\n" + SMALL[end:]
    else:
        text = SMALL + f"{block} {{\n  {line}\n}}\n"
    with pytest.raises(ConfigError) as caught:
        parse_cluster(text)
    assert all(len(problem) < 200 and "\n" not in problem for problem in caught.value.lines), (
        caught.value.lines
    )
    assert any(
        key in problem and problem.startswith(f"cluster.hcl: {block}") for problem in caught.value.lines
    ), caught.value.lines


@pytest.mark.parametrize(
    "line, message",
    [
        ('group = "zone"', "offering feed: group is for labelled offerings, this one is irreversible"),
        ("window = 4", "offering feed: window is for labelled offerings, this one is irreversible"),
        ("most = 2", "offering feed: most is for offerings with a spread"),
    ],
)
def test_a_key_that_does_not_apply_to_its_offering_is_reported(line, message):
    with pytest.raises(ConfigError, match=message):
        parse_cluster(SMALL.replace('effect = "irreversible"', f'effect = "irreversible"\n  {line}'))


def test_must_ask_is_not_a_key():
    # with must_ask = false controllers would not subscribe to discovery and so never learn of hosts
    with pytest.raises(ConfigError, match="cluster: unknown key must_ask"):
        parse_cluster(SMALL.replace("controllers = 2", "controllers = 2\n  must_ask = false"))


def test_a_file_cut_off_at_any_byte_is_valid_or_reported_line_by_line():
    valid = []
    for cut in range(len(SMALL)):
        try:
            parse_cluster(SMALL[:cut])
            valid.append(cut)
        except ConfigError as error:
            assert error.lines and all("\n" not in line and len(line) < 300 for line in error.lines)
    # it is valid only when cut off between two blocks
    assert all(SMALL[:cut].rstrip().endswith("}") for cut in valid) and len(valid) < 8


def test_a_file_that_changes_while_it_is_read_is_rejected(tmp_path, monkeypatch):
    path = tmp_path / "cluster.hcl"
    path.write_text(SMALL[: SMALL.index("customer")])  # valid, but incomplete
    parse = settings_cluster.parse_cluster

    def change_file_and_parse(text, name):
        path.write_text(SMALL)
        return parse(text, name)

    monkeypatch.setattr(settings_cluster, "parse_cluster", change_file_and_parse)
    with pytest.raises(ConfigError, match="changed while it was read"):
        settings_cluster.read_cluster(path)
    monkeypatch.undo()
    assert settings_cluster.read_cluster(path).settings.quotas == {"paper": 4.0}


def test_a_controller_with_an_invalid_file_does_not_change_its_state(tmp_path):
    store = Store(tmp_path / "state")
    life = store.next_life()
    store.close()
    before = {path.name: path.read_bytes() for path in (tmp_path / "state").iterdir()}
    (tmp_path / "cluster.hcl").write_text(SMALL[:-30])
    process = subprocess.run(
        [
            sys.executable,
            "-m",
            "linedeal",
            "controller",
            "--name",
            "c",
            "--cluster",
            tmp_path / "cluster.hcl",
            "--discovery",
            "127.0.0.1:1",
            "--state",
            tmp_path / "state",
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert process.returncode == 1 and len(process.stderr.strip().splitlines()) == 1, process
    assert {path.name: path.read_bytes() for path in (tmp_path / "state").iterdir()} == before
    store = Store(tmp_path / "state")
    assert store.next_life() == life + 1
    store.close()
