"""Open channels to the store go silent, and a worker leaves meanwhile: how long is it used?

The store is sound all the while and answers on new channels. The worker is one of those that never
report `draining`: its entry is removed, and it serves on for a while.
"""

import os
import shutil
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from desk import CONFIG, ZONES, Requester, answer
from standin import BOUNDS, Record, Store, Worker, now, start_relays, temporary_folder

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The worker leaves this long after the channels went silent, in seconds.
LEAVES_AFTER_S = 0.2
# How long requests are sent after it left, in seconds.
WATCHED_S = 8.0


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
