"""Adapter that runs many instances of the decision module for a simulator: `python -m linedeal.wirehost`.

Reads lines of JSON, each an object with one key, from standard input in batches: `begin_batch` with the
simulated time, events, `flush`. Answers each batch on standard output with one line for each action, then
`finished`. It translates events and actions and takes no decisions. Exit status 2 and one line on standard
error where the input is invalid.
"""

import json
import sys
import traceback

from linedeal import interface as api
from linedeal.policy import Controller
from linedeal.wiresettings import METRICS, MODES, REASONS, SettingError, read_settings, report_names

RESULTS = {
    "ok": api.Result.DONE,
    "error": api.Result.ERROR,
    "full": api.Result.TURNED_AWAY,
    "timeout": api.Result.SILENT,
    "connect_failed": api.Result.UNREACHABLE,
    "reset": api.Result.CUT,
    "cancelled": api.Result.STOPPED,
    "moot": api.Result.UNSENT,
}


class InputError(Exception):
    """Invalid input; the text names the event and the problem."""


class Instance:
    """One instance of the decision module."""

    def __init__(self, settings, setup, seed, now):
        """`settings` are those read from `setup`, the simulator's object; `now` in seconds."""
        self.controller = Controller(settings, seed, now)
        self.names = report_names(setup)

    def report(self, pairs):
        """The figures of a host's report under the interface's names; unknown figures are dropped."""
        return {self.names[name]: value for name, value in (pairs or {}).items() if name in self.names}


class WireHost:
    """The instances by id, the host lists received, and the output of the current batch."""

    def __init__(self):
        """No instance yet; time 0."""
        self.instances = {}
        self.lists = {}
        self.now = 0.0
        self.out = []
        self.active = {}

    def handle_line(self, name, fields):
        """Handles one event; unknown events are ignored. Raises InputError."""
        if name == "pool":
            number = require(name, fields, "list", int)
            self.lists[number] = [host_entry(item) for item in require(name, fields, "hosts", list)]
            return
        reader = getattr(self, "on_" + name, None)
        if reader is None:
            return
        instance_id = require(name, fields, "who", int)
        if name in ("init", "destroy"):
            self.run_isolated(instance_id, lambda: reader(instance_id, fields))
        elif instance_id in self.instances:
            self.run_isolated(
                instance_id, lambda: self.process_event(instance_id, reader(instance_id, fields))
            )

    def run_isolated(self, instance_id, call):
        """Calls `call`; an exception other than InputError ends this instance only, and is reported."""
        try:
            call()
        except InputError:
            raise
        except SettingError as error:
            self.report_fatal(instance_id, f"setting {error}")
        except Exception as error:
            traceback.print_exc()
            self.report_fatal(instance_id, f"{type(error).__name__}: {error}")

    def process_event(self, instance_id, event):
        """Passes an event of the interface to an instance; None is no event."""
        if event is not None:
            self.active[instance_id] = True
            self.emit(instance_id, self.instances[instance_id].controller.handle(self.now, event))

    def finish_batch(self):
        """Ends the batch: runs a scheduling pass of each instance that had an event; returns the output."""
        for instance_id in self.active:
            if instance_id in self.instances:
                self.run_isolated(
                    instance_id,
                    lambda: self.emit(
                        instance_id,  # noqa: B023 - called before the next iteration
                        self.instances[instance_id].controller.schedule_waiting(self.now),  # noqa: B023
                    ),
                )
        out, self.out, self.active = self.out, [], {}
        return out

    def emit(self, instance_id, actions):
        """Adds an instance's actions to the output."""
        self.out += [action_line(instance_id, action) for action in actions]

    def report_fatal(self, instance_id, text):
        """Removes an instance and reports why."""
        self.instances.pop(instance_id, None)
        self.out.append({"fatal": {"who": instance_id, "body_text": text}})

    def on_init(self, instance_id, fields):
        """Starts an instance, instead of an earlier one of this id."""
        seed = require("init", fields, "init_seed", int)
        setup = require("init", fields, "setup", dict)
        self.instances.pop(instance_id, None)
        instance = self.instances[instance_id] = Instance(read_settings(setup), setup, seed, self.now)
        self.emit(instance_id, instance.controller.begin())

    def on_destroy(self, instance_id, fields):
        """Removes an instance."""
        self.instances.pop(instance_id, None)

    def on_backends_changed(self, instance_id, fields):
        """A list of hosts, sent before with `pool`, or the loss of the list; None for an unknown scope."""
        scope = require("backends_changed", fields, "scope", str)
        if scope == "lost":
            return api.ListLost()
        number = require("backends_changed", fields, "list", int)
        if number not in self.lists:
            raise InputError(f"backends_changed: list {number} was never sent")
        if scope not in ("incr", "total", "warm_copy"):
            return None
        return api.HostsListed(tuple(self.lists[number]), scope != "incr", scope == "warm_copy")

    def job(self, event, fields):
        """The job that an event describes."""
        return api.Job(
            id=require(event, fields, "ticket", str),
            offering=require(event, fields, "type", str),
            customer=str(fields.get("customer") or ""),
            service=require(event, fields, "owner_set", str),
            cores=require(event, fields, "cpus", float),
            memory=require(event, fields, "memory", float),
            expiry=self.now + require(event, fields, "grace_ms", float) / 1000,
        )

    def on_request(self, instance_id, fields):
        """A job to launch."""
        return api.JobArrived(self.job("request", fields))

    def on_running(self, instance_id, fields):
        """A job that already runs."""
        fields = dict(fields, grace_ms=fields.get("grace_ms") or 0)
        return api.JobFound(self.job("running", fields), require("running", fields, "host", str))

    def on_confirmed(self, instance_id, fields):
        """A host has confirmed a launch."""
        return api.LaunchConfirmed(
            require("confirmed", fields, "ticket", str),
            fields.get("send_no") or 0,
            require("confirmed", fields, "host", str),
        )

    def on_status_note(self, instance_id, fields):
        """A figure of a running job; None for an unknown sort."""
        metric = METRICS.get(require("status_note", fields, "sort", int))
        if metric is None:
            return None
        return api.MetricReported(
            require("status_note", fields, "ticket", str),
            require("status_note", fields, "host", str),
            metric,
            float(fields.get("value") or 0),
        )

    def on_outcome(self, instance_id, fields):
        """The outcome of a launch; an unknown one counts as an error, so the job may have run."""
        return api.LaunchEnded(
            require("outcome", fields, "ticket", str),
            fields.get("send_no") or 0,
            require("outcome", fields, "host", str),
            RESULTS.get(require("outcome", fields, "outcome", str), api.Result.ERROR),
            REASONS.get(fields.get("info") or 0, api.Reason.UNTOLD),
            bool(fields.get("complete")),
        )

    def on_vanished(self, instance_id, fields):
        """The owner has withdrawn a job."""
        return api.JobWithdrawn(require("vanished", fields, "ticket", str))

    def on_wake(self, instance_id, fields):
        """A timer is due."""
        return api.TimerFired(require("wake", fields, "key_back", str))

    def on_probe_done(self, instance_id, fields):
        """The outcome of a probe."""
        return api.HostProbed(
            require("probe_done", fields, "host", str),
            fields.get("outcome") == "ok",
            self.instances[instance_id].report(fields.get("health_info")),
        )


def require(event, fields, key, kind):
    """The value of a key, of type `kind` (whole numbers pass as float); raises InputError."""
    value = fields.get(key)
    if value is None:
        raise InputError(f"{event}: {key} is missing")
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise InputError(f"{event}: {key} is not {kind.__name__}")
    return value


def host_entry(item):
    """A host of a `pool` list. An unknown mode counts as draining. Raises InputError."""
    if not isinstance(item, dict):
        raise InputError("pool: an entry is not an object")
    free = [item.get(key) for key in ("unasked_cores", "spare_mem")]
    return api.HostEntry(
        id=require("pool", item, "host", str),
        kind=str(item.get("sku") or ""),
        zone=str(item.get("az") or ""),
        cell=item.get("unit_group") or 0,
        mode=MODES.get(item.get("mode"), api.Mode.DRAINING),
        booted=(item.get("boot_time_ms") or 0) / 1000,
        free_cores=free[0],
        free_memory=free[1],
    )


def action_line(instance_id, action):
    """The object that is written for an action."""
    match action:
        case api.Launch(job, host, timeout):
            return {
                "claim_room": {
                    "who": instance_id,
                    "ticket": job,
                    "max_wait_ms": round(timeout * 1000, 3),
                    "host": host,
                }
            }
        case api.Reject(job):
            return {"say_no": {"who": instance_id, "ticket": job}}
        case api.WriteOff(job):
            return {"surrender": {"who": instance_id, "ticket": job}}
        case api.Timer(delay, key):
            return {"sleep": {"who": instance_id, "from_now_ms": round(delay * 1000, 3), "key_back": key}}
        case api.Probe(host):
            return {"test": {"who": instance_id, "host": host}}
        case api.Subscribe():
            return {"keep_informed": {"who": instance_id, "on": True}}
        case api.Log(text):
            return {"record": {"who": instance_id, "body_text": text}}
    raise TypeError(f"unknown action {action!r}")


def parse(line):
    """The key and the fields of an input line; raises InputError."""
    try:
        message = json.loads(line)
    except ValueError:
        raise InputError(f"not JSON: {line.strip()[:80]!r}") from None
    except RecursionError:  # raised by json for deep nesting; reported like any other invalid line
        raise InputError(f"nested too deep: {line.strip()[:40]!r}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise InputError(f"not an object with one key: {line.strip()[:80]!r}")
    name, fields = next(iter(message.items()))
    if not isinstance(fields, dict):
        raise InputError(f"{name}: its fields are not an object")
    return name, fields


def serve(lines, write):
    """Reads batches from `lines` and passes the reply to each to `write`; raises InputError."""
    host = WireHost()
    inside = False
    for line in lines:
        if not line.strip():
            continue
        name, fields = parse(line)
        if name == "begin_batch":
            host.now = require(name, fields, "sim_time_ms", float) / 1000
            inside = True
        elif name == "flush":
            write("".join(json.dumps(action) + "\n" for action in host.finish_batch()) + '{"finished":{}}\n')
            inside = False
        else:
            host.handle_line(name, fields)
    if inside:
        raise InputError("the input ended in the middle of a batch")


def main():
    """Serves standard input; returns the exit status."""

    def write(text):
        sys.stdout.write(text)
        sys.stdout.flush()

    try:
        serve(iter(sys.stdin.readline, ""), write)
    except InputError as error:
        print(f"linedeal: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
