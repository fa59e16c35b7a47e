"""A requester that reads slowly, and a planned stop of the gateway that carries its stream.

The worker has ended the stream, the requester reads on without a pause, and `graceS` isn't over.
"""

import os
import shutil
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from standin import (BOUNDS, Record, Store, Worker, now, start_relays,
                     temporary_folder)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hala-nord", "hala-nord", "hala-sud", "hala-sud", "hala-est"]
# Events of the answers, one to each relay: answers have different lengths.
EVENTS = [142, 148, 152, 156, 160]
EVENT_TEXT = "x" * 1000
# The worker makes this many events in a pass; a whole stream takes under a second.
EVENTS_PER_PASS = 50
PASS_INTERVAL_S = 0.2
# What a requester reads in a second, without a pause: little at first, more later.
SLOW_BYTES_PER_S = 12_000
SLOW_FOR_S = 3.6
LATER_BYTES_PER_S = 50_000
READ_INTERVAL_S = 0.1
# The SIGTERM comes while the stream runs.
TERM_AFTER_S = 0.3
# The relays are stopped in turn, this long one after the other.
GAP_S = 1.3
TIME_LIMIT_MS = 15_000

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-audit", "host": "desk.example", "pathPrefix": "/audit/",
                "kind": "streaming", "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 3000,
                "priority": 1, "service": "pool", "maxAttempts": 2, "public": False,
                "sessionAffinity": True, "streamResume": True, "gapAimMs": 1000}],
    "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 274,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 16, "kvCapacityTokens": 315000, "stride": 51,
                             "models": [{"name": "m"}], "step_ms": 0.85, "per_seq_ms": 0.00425,
                             "context_per_k": 0.00285, "read_per_s": 177000.0,
                             "pairs_per_m": 0.184, "chunk": 2048,
                             "usual": {"prompt": 11121, "answer": 1622}}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
}


def event(number):
    return "id: %d\ndata: %s\n\n" % (number, EVENT_TEXT)


def stream(worker, channel, request):
    """Sends a whole stream, in chunks."""
    channel.sendall(worker.head(request, "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n"))
    events = EVENTS[int(request.headers["request-id"].split("-")[1])]
    for first in range(1, events + 1, EVENTS_PER_PASS):
        last = min(events, first + EVENTS_PER_PASS - 1)
        text = "".join(event(one) for one in range(first, last + 1)).encode()
        channel.sendall(b"%x\r\n%s\r\n" % (len(text), text))
        time.sleep(PASS_INTERVAL_S)
    channel.sendall(b"0\r\n\r\n")
    worker.record.write("worker %s has ended %s" % (worker.id, request.headers["request-id"]))


class Requester(threading.Thread):
    """Sends one request on a channel of its own and reads the answer slowly and steadily."""

    def __init__(self, record, address, number):
        super().__init__(daemon=True)
        self.record = record
        self.address = address
        self.id = "audit-%d" % number
        self.expected = EVENTS[number]
        self.status = None
        self.end = "not ended"
        self.is_whole = False

    def run(self):
        channel = socket.socket()
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        channel.connect(self.address)
        body = b"y" * 2000
        head = ("POST /audit/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nModel: m\r\n"
                "Token-Count: 5000,1700\r\nPrompt-Prefix: 5c1e07a2:40,%x:4960\r\n"
                "Deadline-Ms: %d\r\nCredential: n2ctnfzs989anu6wsjnb\r\nContent-Length: %d\r\n\r\n"
                % (self.id, hash(self.id) & 0xffffffff, TIME_LIMIT_MS, len(body)))
        channel.sendall(head.encode() + body)
        sent = now()
        self.record.write("%s sent" % self.id, sent)
        received = b""
        try:
            due = time.monotonic()
            while not received.endswith(b"\r\n0\r\n\r\n"):
                rate = SLOW_BYTES_PER_S if now() - sent < SLOW_FOR_S else LATER_BYTES_PER_S
                part = channel.recv(int(rate * READ_INTERVAL_S))
                if not part:
                    self.end = "channel closed"
                    break
                received += part
                due += READ_INTERVAL_S
                time.sleep(max(0, due - time.monotonic()))
            else:
                self.end = "last chunk read"
        except OSError as error:
            self.end = "channel failed: %s" % error
        self.status = received.split(b" ", 2)[1].decode() if received else None
        events = received.count(b"\nid: ")
        last = received.rfind(b"id: %d\n" % self.expected)
        self.is_whole = self.end == "last chunk read" and last >= 0
        self.record.write("%s status %s, %s, %d bytes, %d of %d events, %.2f s after it was sent"
                          % (self.id, self.status, self.end, len(received), events, self.expected,
                             now() - sent))


def stop_after(record, relay, seconds):
    """Stops a relay as the platform does: SIGTERM, and SIGKILL after `graceS`."""
    time.sleep(seconds)
    if not TROUBLE:
        return
    relay.stop(signal.SIGTERM)
    term = time.monotonic()
    while relay.process.poll() is None and time.monotonic() - term < BOUNDS["graceS"]:
        time.sleep(0.005)
    if relay.process.poll() is None:
        relay.stop(signal.SIGKILL)
        return
    record.write("%s has ended by itself %.2f s after SIGTERM (graceS is %d)"
                 % (relay.name, time.monotonic() - term, BOUNDS["graceS"]))


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    folder = temporary_folder()
    store = Store(record)
    workers = [Worker(record, "pool", "i-%d" % number, "hala-nord", 16, stream)
               for number in (1, 2, 3)]
    store.put("op", "config", CONFIG)
    for worker in workers:
        store.put("servers", worker.id, worker.entry())
    relays = start_relays(record, folder, ZONES, store)
    try:
        if not all(relay.wait_until_ready() for relay in relays):
            record.write("the relays did not become ready")
            return 2
        time.sleep(4)
        requesters = []
        stops = []
        for number, relay in enumerate(relays):
            requester = Requester(record, relay.client, number)
            requester.start()
            requesters.append(requester)
            stop = threading.Thread(target=stop_after, args=(record, relay, TERM_AFTER_S))
            stop.start()
            stops.append(stop)
            time.sleep(GAP_S)
        for stop in stops:
            stop.join()
        for requester in requesters:
            requester.join(TIME_LIMIT_MS / 1e3 + 5)
        ran = sum(len(worker.arrivals) for worker in workers)
        record.write("%d requests, %d runs" % (len(requesters), ran))
        if any(requester.status not in (None, "200") or requester.end == "not ended"
               for requester in requesters):
            record.write("an answer of another kind: the case couldn't run")
            return 2
        cut = [requester.id for requester in requesters if not requester.is_whole]
        record.write("LOST: %d of %d whole requests without a complete answer: %s"
                     % (len(cut), len(requesters), " ".join(cut)))
        return 1 if cut else 0
    finally:
        for relay in relays:
            relay.end()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(folder)


if __name__ == "__main__":
    sys.exit(main())
