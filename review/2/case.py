"""A machine that has read that a worker drains takes an older list from a peer, and keeps it.

One machine reads that a worker is `draining`. The channel on which the other waits for changes of
the list has gone silent, so it doesn't know it yet. The store turns the first machine away for a
moment, and the config changes, which the other reads on another channel.
"""

import os
import shutil
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from desk import CONFIG, ZONES, Requester, answer
from standin import BOUNDS, Record, Store, Worker, now, start_relays, temporary_folder

RELAY_ZONES = ZONES[:2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# From the silence of the channels to the worker's report that it drains, in seconds.
DRAINS_AFTER_S = 0.2
# From there to the moment at which the store turns the machine away, in seconds.
REFUSES_AFTER_S = 0.3
# From there to the change of the config, in seconds.
CHANGES_AFTER_S = 0.2
# How long the store turns the machine away, in seconds.
REFUSED_FOR_S = 2.0
# How long requests are sent after that, in seconds.
WATCHED_S = 9.0


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    folder = temporary_folder()
    store = Store(record)
    entrances = [store.open_entrance(number) for number in range(len(RELAY_ZONES))]
    workers = [Worker(record, "desk", "i-%d" % number, zone, 6, answer)
               for number, zone in enumerate(ZONES)]
    store.put("op", "config", CONFIG)
    for worker in workers:
        store.put("servers", worker.id, worker.entry())
    relays = start_relays(record, folder, RELAY_ZONES, store, entrances=entrances)
    sent = {}
    requesters = [Requester(record, relay, sent) for relay in relays]
    turned_away = 0
    try:
        if not all(relay.wait_until_ready() for relay in relays):
            record.write("the relays did not become ready")
            return 2
        for requester in requesters:
            requester.start()
        # The relays have run for longer than `stableWindowMs` then.
        time.sleep(8)
        if TROUBLE:
            silent = store.silence_feed(1, "servers")
            record.write("%d channel of %s goes silent" % (silent, relays[1].name))
            if silent != 1:
                return 2
        time.sleep(DRAINS_AFTER_S)
        leaver = workers[0]
        store.put("servers", leaver.id, leaver.entry("draining"))
        left = now()
        record.write("worker %s is draining: acked by the store" % leaver.id)
        time.sleep(REFUSES_AFTER_S)
        if TROUBLE:
            store.refuse(turned_away)
            record.write("the store turns %s away (503)" % relays[turned_away].name)
        time.sleep(CHANGES_AFTER_S)
        added = dict(CONFIG["routes"][0], name="r-added", pathPrefix="/added/")
        store.put("op", "config", dict(CONFIG, version=9, routes=CONFIG["routes"] + [added]))
        record.write("version 9 of the config: acked by the store")
        time.sleep(REFUSED_FOR_S - CHANGES_AFTER_S)
        store.serve_again(turned_away)
        stable = now()
        record.write("the store serves all machines")
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
        in_touch = stable + BOUNDS["stableWindowMs"] / 1e3 if TROUBLE else 0
        late = [(at, one) for at, one in leaver.arrivals if at > left + drain_s]
        bound = [one for at, one in late if sent[one] > in_touch]
        last = max(at for at, _ in leaver.arrivals)
        record.write("the last request reached %s %.0f ms after the ack of its draining (bound %d ms) and"
                     " %.0f ms after the store served all machines again (in touch after %d ms)"
                     % (leaver.id, (last - left) * 1e3, BOUNDS["drainMs"], (last - stable) * 1e3,
                        BOUNDS["stableWindowMs"]))
        for relay in relays:
            record.write("%s: %d later than the bound, %d of them in touch"
                         % (relay.name, sum(one.startswith(relay.name) for _, one in late),
                            sum(one.startswith(relay.name) for one in bound)))
        record.write("DRAIN: %d requests reached it too late, from machines in touch" % len(bound))
        return 1 if bound else 0
    finally:
        for relay in relays:
            relay.end()
        if os.environ.get("KEEP_LOGS"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
