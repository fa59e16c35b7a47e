"""Open channels to the store go silent, and a worker leaves meanwhile: how long is it used?

The store is sound all the while and answers on new channels. The worker is one of those that never
report `draining`: its entry is removed, and it serves on for a while.
"""

import os
import shutil
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from standin import (BOUNDS, Record, Store, Worker, now, read_head, start_relays,
                     temporary_folder)
import socket

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hala-nord", "hala-sud", "hala-est"]
# Requests of each relay, in a second.
REQUESTS_PER_S = 20
# The worker leaves this long after the channels went silent, in seconds.
LEAVES_AFTER_S = 0.2
# How long requests are sent after it left, in seconds.
WATCHED_S = 8.0
TIME_LIMIT_MS = 600

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-lookup", "host": "desk.example", "pathPrefix": "/lookup/",
                "kind": "idempotent", "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 100,
                "priority": 2, "service": "desk", "maxAttempts": 2, "public": False,
                "sessionAffinity": False, "streamResume": False}],
    "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
}


def answer(worker, channel, request):
    time.sleep(0.015)
    body = b"z" * 800
    channel.sendall(worker.head(request, "Content-Length: %d\r\n" % len(body)) + body)


class Requester(threading.Thread):
    """Sends requests to one relay at an even pace on a kept channel."""

    def __init__(self, record, relay, sent):
        super().__init__(daemon=True)
        self.record = record
        self.relay = relay
        self.sent = sent
        self.answers = {}
        self.stopped = threading.Event()

    def run(self):
        channel = reader = None
        number = 0
        due = time.monotonic()
        while not self.stopped.is_set():
            due += 1 / REQUESTS_PER_S
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            request_id = "%s-%d" % (self.relay.name, number)
            status = "failed"
            try:
                if channel is None:
                    channel = socket.create_connection(self.relay.client, 1)
                    reader = channel.makefile("rb")
                self.sent[request_id] = now()
                channel.sendall(("GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s"
                                 "\r\nDeadline-Ms: %d\r\nCredential: n2ctnfzs989anu6wsjnb\r\n\r\n"
                                 % (request_id, TIME_LIMIT_MS)).encode())
                message = read_head(reader)
                if message is not None:
                    reader.read(int(message.headers.get("content-length", "0")))
                    status = message.first[1]
                if message is None or message.headers.get("connection") == "close":
                    channel = None
            except OSError:
                channel = None
            self.answers[status] = self.answers.get(status, 0) + 1


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    folder = temporary_folder()
    store = Store(record)
    workers = [Worker(record, "desk", "i-%d" % number, zone, 6, answer)
               for number, zone in enumerate(ZONES)]
    store.put("op", "config", CONFIG)
    for worker in workers:
        store.put("servers", worker.id, worker.entry())
    relays = start_relays(record, folder, ZONES, store)
    sent = {}
    requesters = [Requester(record, relay, sent) for relay in relays]
    try:
        if not all(relay.wait_until_ready() for relay in relays):
            record.write("the relays did not become ready")
            return 2
        for requester in requesters:
            requester.start()
        # The relays have run for longer than `stableWindowMs` then.
        time.sleep(8)
        silent = now()
        if TROUBLE:
            store.silence_open_channels()
            record.write("all open channels to the store go silent; new ones work")
        time.sleep(LEAVES_AFTER_S)
        leaver = workers[0]
        store.remove("servers", leaver.id)
        left = now()
        record.write("worker %s is gone from the list: acked by the store" % leaver.id)
        time.sleep(WATCHED_S)
        for requester in requesters:
            requester.stopped.set()
        for requester in requesters:
            requester.join(2)
            record.write("answers of %s: %s" % (requester.relay.name, requester.answers))
        if any(requester.answers.get("200", 0) < 100 for requester in requesters):
            record.write("too few answers: the case couldn't run")
            return 2
        drain_s = BOUNDS["drainMs"] / 1e3
        in_touch = silent + BOUNDS["stableWindowMs"] / 1e3 if TROUBLE else 0
        late = [(at, one) for at, one in leaver.arrivals
                if at > left + drain_s and at > in_touch and sent[one] > in_touch]
        last = max(at for at, _ in leaver.arrivals)
        record.write("the last request reached %s %.0f ms after the ack of its leaving (bound %d ms) and"
                     " %.0f ms after the channels went silent (in touch again after %d ms)"
                     % (leaver.id, (last - left) * 1e3, BOUNDS["drainMs"], (last - silent) * 1e3,
                        BOUNDS["stableWindowMs"]))
        record.write("DRAIN: %d requests reached it too late, from machines in touch" % len(late))
        return 1 if late else 0
    finally:
        for relay in relays:
            relay.end()
        if os.environ.get("KEEP_LOGS"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
