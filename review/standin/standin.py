"""Stand-ins for the users' platform: the store, workers and requesters, and the relay as a process.

Only the standard library is used. All addresses are loopback addresses; ports are free ones.
"""

import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "marigoldstage")
START = time.monotonic()


def now():
    """Seconds since the start of the script, on the steady clock."""
    return time.monotonic() - START


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def write(self, text, at=None):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now() if at is None else at, text))
            self.file.flush()


def listen(ip="127.0.0.1", port=0):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(512)
    return listener


def free_ports(ip, count):
    """Ports that are free for TCP and UDP."""
    taken, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        taken += [tcp, udp]
        try:
            udp.bind((ip, port))
            ports.append(port)
        except OSError:
            pass
    for one in taken:
        one.close()
    return ports


def spawn(target, *args):
    threading.Thread(target=target, args=args, daemon=True).start()


class Message:
    """The head and body of a request or an answer."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body


def read_head(reader):
    first = reader.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = reader.readline()
        if not line.endswith(b"\n"):
            return None
        line = line.strip()
        if not line:
            break
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.decode().split(), headers, b"")


def read_request(reader):
    """Reads a request with its body; `None` at the end of the channel."""
    message = read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get("content-length", "0"))
    message.body = reader.read(length)
    return message if len(message.body) == length else None


class Store:
    """The platform's store: tables, reads, the feed of changes, and transactions."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.ver = 0
        self.changed = threading.Condition()
        # Channels opened before this number of the counter deliver nothing further.
        self.opened = 0
        self.silent_below = 0
        # Channels that wait for changes, as pairs of entrance and table, by number; those that are silent.
        self.waiting = {}
        self.silent = set()
        # Entrances at which each call is answered 503.
        self.refusing = set()
        self.address = self.open_entrance(0)

    def open_entrance(self, entrance):
        """Opens an address of the store, so that machines can be told apart."""
        listener = listen()
        spawn(self.accept, listener, entrance)
        return "127.0.0.1:%d" % listener.getsockname()[1]

    def silence_feed(self, entrance, table):
        """The channel on which this entrance waits for changes of a table goes silent for good."""
        with self.changed:
            numbers = [one for one, of in self.waiting.items() if of == (entrance, table)]
            self.silent.update(numbers)
            return len(numbers)

    def refuse(self, entrance):
        """Turns a machine away: 503 to all its calls, those that wait included."""
        with self.changed:
            self.refusing.add(entrance)
            self.changed.notify_all()

    def serve_again(self, entrance):
        with self.changed:
            self.refusing.discard(entrance)

    def put(self, table, key, value):
        """Writes a row; the moment of return is that of the ack."""
        with self.changed:
            self._put(table, key, json.dumps(value).encode())
            self.changed.notify_all()

    def _put(self, table, key, content):
        self.ver += 1
        row = {"table": table, "part": "", "key": key, "ver": self.ver,
               "value": base64.b64encode(content).decode()}
        self.rows[(table, key)] = row
        self.history.append(row)

    def remove(self, table, key):
        with self.changed:
            self._remove(table, key)
            self.changed.notify_all()

    def _remove(self, table, key):
        if self.rows.pop((table, key), None) is None:
            return
        self.ver += 1
        self.history.append({"table": table, "part": "", "key": key, "ver": self.ver,
                             "value": "", "removed": True})

    def silence_open_channels(self):
        """All channels that are open now go silent for good, without a reset; new ones work."""
        with self.changed:
            self.silent_below = self.opened
            self.changed.notify_all()

    def accept(self, listener, entrance):
        while True:
            channel, _ = listener.accept()
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.changed:
                number = self.opened
                self.opened += 1
            spawn(self.serve, channel, number, entrance)

    def serve(self, channel, number, entrance):
        reader = channel.makefile("rb")
        while True:
            request = read_request(reader)
            if request is None:
                channel.close()
                return
            status, body = self.answer(request, number, entrance)
            time.sleep(0.004)
            if number < self.silent_below or number in self.silent:
                # The channel stays open and silent.
                continue
            text = json.dumps(body).encode()
            head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            try:
                channel.sendall((head % (status, len(text))).encode() + text)
            except OSError:
                return

    def answer(self, request, number, entrance):
        if entrance in self.refusing:
            return 503, {}
        method, target = request.first[0], request.first[1]
        path, _, query = target.partition("?")
        given = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if (method, path) == ("GET", "/rows-get"):
            with self.changed:
                rows = [row for (table, _), row in sorted(self.rows.items())
                        if table == given["table"]]
                return 200, self.page(rows)
        if (method, path) == ("GET", "/rows-feed"):
            self.waiting[number] = (entrance, given["table"])
            try:
                return self.feed(given["table"], int(given["afterRevision"]),
                                 int(given["waitMs"]), entrance)
            finally:
                del self.waiting[number]
        if (method, path) == ("POST", "/rows-tx"):
            call = json.loads(request.body)
            with self.changed:
                for row in call.get("put", []):
                    self._put(row["table"], row["key"], base64.b64decode(row["value"]))
                for row in call.get("remove", []):
                    self._remove(row["table"], row["key"])
                self.changed.notify_all()
                return 200, {"ver": self.ver, "nowMs": int(now() * 1e3)}
        return 404, {}

    def feed(self, table, after, wait_ms, entrance):
        end = time.monotonic() + wait_ms / 1e3
        with self.changed:
            while True:
                if entrance in self.refusing:
                    return 503, {}
                rows = {row["key"]: row for row in self.history
                        if row["table"] == table and row["ver"] > after}
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.page(sorted(rows.values(), key=lambda row: row["ver"]))
                self.changed.wait(left)

    def page(self, rows):
        return {"rows": rows, "hasMore": False, "ver": self.ver, "nowMs": int(now() * 1e3)}


class Worker:
    """A worker: each channel carries one request at a time. `run` writes the answer."""

    def __init__(self, record, service, identifier, zone, slots, run):
        self.record = record
        self.service = service
        self.id = identifier
        self.zone = zone
        self.slots = slots
        self.run = run
        self.arrivals = []
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        spawn(self.accept)

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
                "sequence": 0}

    def accept(self):
        while True:
            channel, _ = self.listener.accept()
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self.serve, channel)

    def serve(self, channel):
        reader = channel.makefile("rb")
        try:
            while True:
                request = read_request(reader)
                if request is None:
                    return
                at = now()
                if request.first[1] == "/order":
                    body = b'{"free":300000}'
                    channel.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                    b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                request_id = request.headers.get("request-id", "")
                expected = request.headers.get("expect-instance", self.id)
                if expected != self.id:
                    self.record.write("worker %s 421 to %s" % (self.id, request_id))
                    channel.sendall(b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                                    b"Content-Length: 0\r\n\r\n" % self.id.encode())
                    continue
                self.arrivals.append((at, request_id))
                self.record.write("worker %s runs %s" % (self.id, request_id), at)
                self.run(self, channel, request)
        except OSError:
            pass
        finally:
            channel.close()

    def head(self, request, more):
        return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.1\r\n%s\r\n" % (
            request.headers.get("request-id", ""), self.id, more)).encode()


def settings(name, zone, ip, ports, peers, store, bounds):
    client, ready, internal = ports
    seeds = ", ".join('"%s:%d"' % (peer, internal) for peer in peers)
    lines = ['nodeName = "%s"' % name, 'role = "gateway"', 'machineClass = "front"',
             'serves = ["front","control"]', 'ip = "%s"' % ip, 'zone = "%s"' % zone,
             'region = "brasov"', "internalPortRange = [%d,%d]" % (internal, internal),
             "seedNodes = [%s]" % seeds, "initialBoot = true", 'discovery = "platform"',
             'entry = "vip"', "heartbeatMs = 1200",
             'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
             '"tenants","platform","spans"]',
             "[listen]", 'front = "%s:%d"' % (ip, client), 'ready = "%s:%d"' % (ip, ready),
             'control = "%s:%d"' % (ip, internal),
             "[limits]", "cpuShare = 0.19", "cpuCores = 1", "memoryMb = 260", "maxFds = 4100",
             "linkMbps = 1000.0", "diskMb = 0",
             "[bounds]"] + ["%s = %s" % (key, value) for key, value in bounds.items()] + [
             "[platformSettings]", 'address = "%s"' % store, 'form = "table"']
    return "\n".join(lines) + "\n"


BOUNDS = {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configApplyMs": 2000, "rollbackSlackMs": 250, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetExtraRetries": 104}


class Relay:
    """The gateway of one entry host, started as the deploy file starts it."""

    def __init__(self, record, folder, name, zone, ip, ports, peers, store, bounds):
        self.record = record
        self.name = name
        self.client = (ip, ports[0])
        self.ready = (ip, ports[1])
        path = os.path.join(folder, name + ".toml")
        with open(path, "w") as file:
            file.write(settings(name, zone, ip, ports, peers, store, bounds))
        self.log = open(os.path.join(folder, name + ".log"), "w")
        environment = {"PATH": os.environ["PATH"], "MARIGOLDSTAGE_BOOT": path}
        self.process = subprocess.Popen([PROGRAM, "relay"], cwd=REPOSITORY, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, 1) as channel:
                channel.sendall(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n"
                                b"Connection: close\r\n\r\n")
                message = read_head(channel.makefile("rb"))
                return message is not None and message.first[1] == "200"
        except OSError:
            return False

    def wait_until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def stop(self, number):
        self.record.write("signal %d to %s" % (number, self.name))
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


def start_relays(record, folder, zones, store, bounds=BOUNDS, entrances=None):
    """Starts one relay in each zone, each at an address of its own and at the same ports."""
    entrances = entrances or [store.address] * len(zones)
    # Addresses of its own for each script, so that two of them can run beside each other.
    network = os.getpid() % 250
    ips = ["127.1.%d.%d" % (network, 11 + number) for number in range(len(zones))]
    ports = free_ports(ips[0], 3)
    relays = []
    for number, zone in enumerate(zones):
        relays.append(Relay(record, folder, "front-%s-%d" % (zone, number + 1), zone, ips[number], ports,
                            ips[:3], entrances[number], bounds))
    return relays


def temporary_folder():
    return tempfile.mkdtemp(prefix="marigoldstage-review-")
