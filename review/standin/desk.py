"""A plain service with one idempotent route, and requesters at an even pace."""

import socket
import threading
import time

from standin import now, read_head

ZONES = ["hala-nord", "hala-sud", "hala-est"]
# Requests of each relay, in a second.
REQUESTS_PER_S = 20
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
