"""Hosts many instances of the decision module on the simulator's wire: `python -m linedeal.wirehost`.

Translates each event into the interface's types and each action back; decides nothing.
"""

import json
import sys
import traceback

from linedeal import interface as api
from linedeal.policy import Controller
from linedeal.wiresettings import MODES, METRICS, REASONS, SettingError, read_settings, report_names

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
    """Input that cannot be followed; its text names the event and what is wrong."""


class Instance:
    def __init__(self, settings, setup, seed, now):
        self.controller = Controller(settings, seed, now)
        self.names = report_names(setup)

    def report(self, pairs):
        return {self.names[name]: value for name, value in (pairs or {}).items() if name in self.names}


class WireHost:
    def __init__(self):
        self.instances = {}
        self.lists = {}
        self.now = 0.0
        self.out = []
        self.touched = {}

    def take(self, name, fields):
        """One event line; unknown events are passed over."""
        if name == "pool":
            number = need(name, fields, "list", int)
            self.lists[number] = [entry(item) for item in need(name, fields, "hosts", list)]
            return
        reader = getattr(self, "on_" + name, None)
        if reader is None:
            return
        who = need(name, fields, "who", int)
        if name in ("init", "destroy"):
            self.guard(who, lambda: reader(who, fields))
        elif who in self.instances:
            self.guard(who, lambda: self.feed(who, reader(who, fields)))

    def guard(self, who, call):
        """What fails inside an instance ends that instance alone."""
        try:
            call()
        except InputError:
            raise
        except SettingError as error:
            self.fatal(who, f"setting {error}")
        except Exception as error:
            traceback.print_exc()
            self.fatal(who, f"{type(error).__name__}: {error}")

    def feed(self, who, event):
        if event is not None:
            self.touched[who] = True
            self.act(who, self.instances[who].controller.handle(self.now, event))

    def settle(self):
        """The batch is read: every instance that had an event may still act, and the reply is complete."""
        for who in self.touched:
            if who in self.instances:
                self.guard(
                    who, lambda: self.act(who, self.instances[who].controller.schedule_waiting(self.now))
                )
        out, self.out, self.touched = self.out, [], {}
        return out

    def act(self, who, actions):
        self.out += [action_line(who, action) for action in actions]

    def fatal(self, who, text):
        self.instances.pop(who, None)
        self.out.append({"fatal": {"who": who, "body_text": text}})

    def on_init(self, who, f):
        seed = need("init", f, "init_seed", int)
        setup = need("init", f, "setup", dict)
        self.instances.pop(who, None)
        instance = self.instances[who] = Instance(read_settings(setup), setup, seed, self.now)
        self.act(who, instance.controller.begin())

    def on_destroy(self, who, f):
        self.instances.pop(who, None)

    def on_backends_changed(self, who, f):
        scope = need("backends_changed", f, "scope", str)
        if scope == "lost":
            return api.ListLost()
        number = need("backends_changed", f, "list", int)
        if number not in self.lists:
            raise InputError(f"backends_changed: list {number} was never sent")
        if scope not in ("incr", "total", "warm_copy"):
            return None
        return api.HostsListed(tuple(self.lists[number]), scope != "incr", scope == "warm_copy")

    def job(self, name, f):
        return api.Job(
            id=need(name, f, "ticket", str),
            offering=need(name, f, "type", str),
            customer=str(f.get("customer") or ""),
            service=need(name, f, "owner_set", str),
            cores=need(name, f, "cpus", float),
            memory=need(name, f, "memory", float),
            expiry=self.now + need(name, f, "grace_ms", float) / 1000,
        )

    def on_request(self, who, f):
        return api.JobArrived(self.job("request", f))

    def on_running(self, who, f):
        f = dict(f, grace_ms=f.get("grace_ms") or 0)
        return api.JobFound(self.job("running", f), need("running", f, "host", str))

    def on_confirmed(self, who, f):
        return api.LaunchConfirmed(
            need("confirmed", f, "ticket", str), f.get("send_no") or 0, need("confirmed", f, "host", str)
        )

    def on_status_note(self, who, f):
        what = METRICS.get(need("status_note", f, "sort", int))
        if what is None:
            return None
        return api.MetricReported(
            need("status_note", f, "ticket", str),
            need("status_note", f, "host", str),
            what,
            float(f.get("value") or 0),
        )

    def on_outcome(self, who, f):
        return api.LaunchEnded(
            need("outcome", f, "ticket", str),
            f.get("send_no") or 0,
            need("outcome", f, "host", str),
            RESULTS.get(need("outcome", f, "outcome", str), api.Result.ERROR),
            REASONS.get(f.get("info") or 0, api.Reason.UNTOLD),
            bool(f.get("complete")),
        )

    def on_vanished(self, who, f):
        return api.JobWithdrawn(need("vanished", f, "ticket", str))

    def on_wake(self, who, f):
        return api.TimerFired(need("wake", f, "key_back", str))

    def on_probe_done(self, who, f):
        return api.HostProbed(
            need("probe_done", f, "host", str),
            f.get("outcome") == "ok",
            self.instances[who].report(f.get("health_info")),
        )


def need(event, fields, key, kind):
    value = fields.get(key)
    if value is None:
        raise InputError(f"{event}: {key} is missing")
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise InputError(f"{event}: {key} is not {kind.__name__}")
    return value


def entry(item):
    if not isinstance(item, dict):
        raise InputError("pool: an entry is not an object")
    free = [item.get(key) for key in ("unasked_cores", "spare_mem")]
    return api.HostEntry(
        id=need("pool", item, "host", str),
        kind=str(item.get("sku") or ""),
        zone=str(item.get("az") or ""),
        cell=item.get("unit_group") or 0,
        mode=MODES.get(item.get("mode"), api.Mode.DRAINING),
        booted=(item.get("boot_time_ms") or 0) / 1000,
        free_cores=free[0],
        free_memory=free[1],
    )


def action_line(who, action):
    match action:
        case api.Launch(job, host, wait):
            return {
                "claim_room": {"who": who, "ticket": job, "max_wait_ms": round(wait * 1000, 3), "host": host}
            }
        case api.Reject(job):
            return {"say_no": {"who": who, "ticket": job}}
        case api.WriteOff(job):
            return {"surrender": {"who": who, "ticket": job}}
        case api.Timer(delay, key):
            return {"sleep": {"who": who, "from_now_ms": round(delay * 1000, 3), "key_back": key}}
        case api.Probe(host):
            return {"test": {"who": who, "host": host}}
        case api.Subscribe():
            return {"keep_informed": {"who": who, "on": True}}
        case api.Log(text):
            return {"record": {"who": who, "body_text": text}}
    raise TypeError(f"no wire form for {action!r}")


def parse(line):
    try:
        message = json.loads(line)
    except ValueError:
        raise InputError(f"not JSON: {line.strip()[:80]!r}") from None
    except RecursionError:  # guards against a traceback where one plain line is owed
        raise InputError(f"nested too deep: {line.strip()[:40]!r}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise InputError(f"not an object with one key: {line.strip()[:80]!r}")
    name, fields = next(iter(message.items()))
    if not isinstance(fields, dict):
        raise InputError(f"{name}: its fields are not an object")
    return name, fields


def serve(lines, write):
    """Answers each batch; raises InputError where the input cannot be followed."""
    host = WireHost()
    inside = False
    for line in lines:
        if not line.strip():
            continue
        name, fields = parse(line)
        if name == "begin_batch":
            host.now = need(name, fields, "sim_time_ms", float) / 1000
            inside = True
        elif name == "flush":
            write("".join(json.dumps(action) + "\n" for action in host.settle()) + '{"finished":{}}\n')
            inside = False
        else:
            host.take(name, fields)
    if inside:
        raise InputError("the input ended in the middle of a batch")


def main():
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
