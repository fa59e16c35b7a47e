//! Stand-ins for the platform's store, workers and requesters, and the cases that use them.
//!
//! `standin CASE FOLDER` plays a case against relays that it starts, writes `record.txt` into the folder, and exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod http;
mod json;
mod relay;
mod store;
mod worker;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use relay::Relay;
use relay::Site;
use store::Store;
use worker::Worker;

/// Requests on the first and on the later route, each, in the measured time.
const MEASURED_REQUESTS: u32 = 60;

/// Share of the first routes' service below which the later ones break CONFIG.
const SERVED_SHARE_MIN: f64 = 0.25;

/// Requests on the later routes from which on CONFIG is judged.
const JUDGED_REQUESTS_MIN: u32 = 20;

/// Time after its last status report in which the platform removes the entry of a silent worker: three intervals.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);

/// What was done and seen, with times.
struct Record {
    start: Instant,
    text: String,
}

impl Record {
    fn note(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        writeln!(self.text, "{at:7.3} s  {text}").expect("a text grows");
        println!("{at:7.3} s  {text}");
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record {
        start: Instant::now(),
        text: String::new(),
    };
    record.note(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let temporary = std::env::temp_dir().join(format!("marigoldstage-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let code = match case.as_str() {
        "late-write" => late_write(&mut record, &temporary, has_trouble),
        "late-ready" => late_ready(&mut record, &temporary, has_trouble),
        "unnamed-service" => unnamed_service(&mut record, &temporary, has_trouble),
        "incomplete-row" => incomplete_row(&mut record, &temporary, has_trouble),
        _ => 2,
    };
    let _ = std::fs::remove_dir_all(&temporary);
    let verdict = ["the rule held", "the rule was broken", "the case couldn't run"];
    record.note(verdict[usize::from(code)]);
    let written = std::fs::write(Path::new(&folder).join("record.txt"), &record.text);
    ExitCode::from(if written.is_ok() { code } else { 2 })
}

fn route(name: &str, prefix: &str, service: &str) -> String {
    route_of_kind(name, prefix, service, "idempotent", 2)
}

fn route_of_kind(name: &str, prefix: &str, service: &str, kind: &str, attempts_max: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":{attempts_max},\"public\":true}}"
    )
}

/// A config with these routes and services.
fn config(version: u32, routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn first_config() -> String {
    config(3, &[route("r-first", "/first/", "shop-app")], &["shop-app"])
}

/// Adds a route to a further service.
fn later_config() -> String {
    let routes = [
        route("r-first", "/first/", "shop-app"),
        route("r-later", "/later/", "desk-app"),
    ];
    config(7, &routes, &["shop-app", "desk-app"])
}

/// Sends requests on both routes to all relays in turn, over `seconds`; returns the successes of the first and the
/// later route.
fn measure(record: &mut Record, relays: &[Relay], label: &str, requests: u32, seconds: f64) -> (u32, u32) {
    let mut served = [0, 0];
    let mut statuses = [BTreeMap::new(), BTreeMap::new()];
    for number in 0..requests {
        for (index, route) in ["first", "later"].into_iter().enumerate() {
            let relay = &relays[number as usize % relays.len()];
            let id = format!("{label}-{route}-{number}");
            let status = relay::request(relay, &format!("/{route}/{number}"), &id);
            served[index] += u32::from(status == 200);
            *statuses[index].entry(status).or_insert(0) += 1;
        }
        thread::sleep(Duration::from_secs_f64(seconds / f64::from(requests)));
    }
    record.note(&format!(
        "{label}: {requests} requests on each route over {seconds} s; answers by status (0: none): first route {:?}, later route {:?}",
        statuses[0], statuses[1]
    ));
    (served[0], served[1])
}

/// The check of CONFIG: 20 or more requests on routes that were added later, served less than a quarter as often as
/// those on the first routes.
fn judge(record: &mut Record, requests: u32, (first, later): (u32, u32)) -> u8 {
    record.note(&format!("served in the steady state: {first} of {requests} on the first route, {later} of {requests} on the later one"));
    let is_judged = requests >= JUDGED_REQUESTS_MIN && first > 0;
    u8::from(is_judged && f64::from(later) < f64::from(first) * SERVED_SHARE_MIN)
}

/// Notes what the store lists, and what the workers answer when they are asked directly.
fn note_workers(record: &mut Record, store: &Store, workers: &[&Worker]) {
    record.note(&format!("the store lists {:?}", store.keys("servers")));
    for worker in workers {
        let status = relay::ask_worker(worker.address, "direct");
        record.note(&format!(
            "{} of {} at {}: asked directly it answers {status}; it ran {} requests, and answered 421 to {}",
            worker.id,
            worker.service,
            worker.address,
            worker.runs.load(Ordering::SeqCst),
            worker.misdirected.load(Ordering::SeqCst)
        ));
    }
}

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A worker that is taken away reports `draining` twice, since its first call got no answer. The store performs the
/// first call 5.6 s later, when another worker has the address.
fn late_write(record: &mut Record, folder: &Path, has_trouble: bool) -> u8 {
    let store = Store::start();
    store.put("op", "config", &first_config());
    let shops: Vec<Worker> = (1..=3).map(|n| Worker::start(&format!("i-shop{n}"), "shop-app", 0, None)).collect();
    shops.iter().for_each(|worker| worker.register(&store, "ready"));
    let Some(relays) = relay::start(&store, folder, Site::RactBrasov) else {
        return 2;
    };
    pause(2.0);
    measure(record, &relays, "before", 6, 0.6);
    let leaving = &shops[2];
    record.note("i-shop3 is to be taken away: it reports draining and gets no answer");
    let late = has_trouble.then(|| {
        let (store, leaving) = (store.clone(), leaving.clone());
        thread::spawn(move || {
            pause(5.6);
            leaving.register(&store, "draining");
            thread::sleep(ENTRY_EXPIRY);
            store.remove("servers", &leaving.id);
        })
    });
    pause(0.5);
    leaving.register(&store, "draining");
    record.note("i-shop3 reports draining again; the store accepts it");
    store.put("op", "config", &later_config());
    record.note("the operator adds the route /later/ to the service desk-app");
    pause(2.3);
    leaving.end();
    store.remove("servers", &leaving.id);
    record.note("i-shop3 has ended, drainMs (2 s) and a little more after the ack; its entry is removed");
    pause(2.1);
    let desk = Worker::start("i-desk1", "desk-app", leaving.address.port(), None);
    desk.register(&store, "ready");
    record.note("addrReuseS (2 s) later i-desk1 of desk-app starts at its address and registers; it stays there");
    pause(0.4);
    measure(record, &relays, "after the start", 6, 0.2);
    if let Some(late) = late {
        late.join().expect("no panic");
        record.note("5.6 s after it was made, the store has performed the first call of i-shop3; three status report intervals later it has removed that entry");
    }
    pause(6.0);
    let served = measure(record, &relays, "steady", MEASURED_REQUESTS, 12.0);
    note_workers(record, &store, &[&shops[0], &shops[1], &desk]);
    judge(record, MEASURED_REQUESTS, served)
}

/// Time after the return of the machines from which on RECOVER counts requests.
const RECOVERY: Duration = Duration::from_secs(15);

/// Width of the smallest entry hosts' links, 14 Mbit/s.
const SMALL_LINK_BYTES_PER_S: f64 = 1_750_000.0;

/// Routes by which an operator's config grows.
const FURTHER_ROUTES: u32 = 350;

/// Another writer leaves rows of a service that isn't named, at the addresses of workers. Then all relays are killed,
/// right after a config was acknowledged, and start again.
fn unnamed_service(record: &mut Record, folder: &Path, has_trouble: bool) -> u8 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_ms = now.as_millis() as u64;
    let store = Store::start_behind(Some(SMALL_LINK_BYTES_PER_S));
    let mut routes = vec![route("r-first", "/first/", "shop-app")];
    let further = |n| route(&format!("r-further-{n}"), &format!("/further-{n}/"), "shop-app");
    routes.extend((0..FURTHER_ROUTES).map(further));
    store.put("op", "config", &config(3, &routes, &["shop-app"]));
    let start = |n| Worker::start(&format!("i-shop{n}"), "shop-app", 0, Some(now_ms - 60_000));
    let shops: Vec<Worker> = (1..=3).map(start).collect();
    shops.iter().for_each(|worker| worker.register(&store, "ready"));
    let ports = relay::free_ports();
    let Some(relays) = relay::start_at(ports, &store, folder, Site::DarVozilaGrown) else {
        return 2;
    };
    pause(2.0);
    if has_trouble {
        for (number, shop) in shops.iter().enumerate() {
            let row = shop.entry("ready").replace("shop-app", "host-agent");
            let row = row.replace(&format!("\"born\":{}", now_ms - 60_000), &format!("\"born\":{now_ms}"));
            store.put("servers", &format!("shop-host-{number}"), &row);
        }
        record.note("another writer leaves a row of the service host-agent, which no config names, for each host of shop-app");
    }
    pause(3.0);
    let before = measure_one(record, &relays, "before the final fault", MEASURED_REQUESTS, 6.0);
    routes.push(route("r-last", "/last/", "shop-app"));
    store.put("op", "config", &config(7, &routes, &["shop-app"]));
    drop(relays);
    record.note("a config is acknowledged, and all relays are killed");
    pause(0.8);
    let Some(relays) = relay::start_at(ports, &store, folder, Site::DarVozilaGrown) else {
        return 2;
    };
    record.note("all relays run again and are ready");
    thread::sleep(RECOVERY + Duration::from_millis(500));
    let after = measure_one(record, &relays, "later than recoveryS", MEASURED_REQUESTS, 9.0);
    note_workers(record, &store, &shops.iter().collect::<Vec<_>>());
    let share = |served: u32| f64::from(served) / f64::from(MEASURED_REQUESTS);
    u8::from(share(before) >= SERVED_SHARE_MIN && share(after) < SERVED_SHARE_MIN)
}

/// Sends requests on the first route to all relays in turn, over `seconds`; returns the successes.
fn measure_one(record: &mut Record, relays: &[Relay], label: &str, requests: u32, seconds: f64) -> u32 {
    let mut statuses = BTreeMap::new();
    for number in 0..requests {
        let relay = &relays[number as usize % relays.len()];
        let status = relay::request(relay, &format!("/first/{number}"), &format!("{label}-{number}").replace(' ', "-"));
        *statuses.entry(status).or_insert(0) += 1;
        pause(seconds / f64::from(requests));
    }
    record.note(&format!("{label}: {requests} requests over {seconds} s; answers by status (0: none): {statuses:?}"));
    statuses.get(&200).copied().unwrap_or(0)
}

/// Bound of the rules on requests to a worker that leaves.
const DRAIN: Duration = Duration::from_millis(2_000);

/// A worker's status report gets no answer; the store performs it 3.5 s later, when the worker has long reported
/// `draining`, which the relays have acknowledged.
fn late_ready(record: &mut Record, folder: &Path, has_trouble: bool) -> u8 {
    let store = Store::start();
    let once = route_of_kind("r-notice", "/notice/", "shop-app", "non_idempotent", 1);
    store.put("op", "config", &config(3, &[once], &["shop-app"]));
    let work = Duration::from_millis(100);
    let start = |n| Worker::start_with_work(&format!("i-shop{n}"), "shop-app", 0, None, work);
    let shops: Vec<Worker> = (1..=3).map(start).collect();
    shops.iter().for_each(|worker| worker.register(&store, "ready"));
    let Some(relays) = relay::start(&store, folder, Site::RactBrasov) else {
        return 2;
    };
    pause(4.0);
    let is_over = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    let leaving = &shops[2];
    let mut acknowledged_at = Instant::now();
    thread::scope(|scope| {
        for client in 0..9 {
            let (relays, is_over, answers) = (&relays, &is_over, &answers);
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("notice-{client}-{number}");
                    let sent_at = Instant::now();
                    let status = relay::post(&relays[client % relays.len()], "/notice/1", &id);
                    answers.lock().expect("no panic").push((sent_at, status));
                    number += 1;
                    pause(0.1);
                }
            });
        }
        pause(2.0);
        record.note("i-shop3 writes its status report (ready); the call gets no answer");
        let reported_at = Instant::now();
        if !has_trouble {
            leaving.register(&store, "ready");
        }
        pause(0.5);
        leaving.register(&store, "draining");
        acknowledged_at = Instant::now();
        record.note("i-shop3 reports draining; the store accepts it");
        // It writes about every heartbeatMs, 1.2 s.
        let until = |seconds: f64, from: Instant| {
            let at = from + Duration::from_secs_f64(seconds);
            thread::sleep(at.saturating_duration_since(Instant::now()));
        };
        for beat in 1..=2 {
            until(1.2 * f64::from(beat), acknowledged_at);
            leaving.register(&store, "draining");
        }
        until(3.1, reported_at);
        if has_trouble {
            leaving.register(&store, "ready");
            record.note("the store performs the report that got no answer, 3.1 s after it was made");
        }
        until(3.2, acknowledged_at);
        leaving.end();
        store.remove("servers", &leaving.id);
        record.note("i-shop3 ends, 3.2 s after the ack of its draining (drainMs is 2 s); its entry is removed");
        pause(1.5);
        is_over.store(true, Ordering::SeqCst);
    });
    judge_drain(record, leaving, acknowledged_at, &answers.into_inner().expect("no panic"))
}

/// The check of DRAIN: no request reaches the worker later than `drainMs` after the ack. That the relays have
/// acknowledged it shows in that they stopped sending to it.
fn judge_drain(
    record: &mut Record,
    leaving: &Worker,
    acknowledged_at: Instant,
    answers: &[(Instant, u16)],
) -> u8 {
    let arrivals = leaving.arrivals.lock().expect("no panic");
    let mut late = 0;
    for from in (-4..8).map(|step| f64::from(step) * 0.5) {
        let is_in = |at: &&Instant| {
            let after = at.saturating_duration_since(acknowledged_at).as_secs_f64();
            let before = acknowledged_at.saturating_duration_since(**at).as_secs_f64();
            (after - before) >= from && (after - before) < from + 0.5
        };
        let count = arrivals.iter().filter(is_in).count();
        record.note(&format!("requests at i-shop3 from {from:4.1} s to {:4.1} s after the ack: {count}", from + 0.5));
    }
    for at in arrivals.iter().filter(|at| **at > acknowledged_at + DRAIN) {
        late += 1;
        let after = at.duration_since(acknowledged_at).as_secs_f64();
        record.note(&format!("a request reaches i-shop3 {after:.3} s after the ack"));
    }
    let mut statuses = BTreeMap::new();
    for (_, status) in answers {
        *statuses.entry(*status).or_insert(0) += 1;
    }
    record.note(&format!("answers by status (0: none): {statuses:?}; requests at i-shop3 later than drainMs: {late}"));
    u8::from(late > 0)
}

/// Another writer leaves rows that lack fields for the workers of a service, and removes them again.
fn incomplete_row(record: &mut Record, folder: &Path, has_trouble: bool) -> u8 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_ms = now.as_millis() as u64;
    let store = Store::start();
    store.put("op", "config", &first_config());
    let start = |id: String, service: &str| Worker::start(&id, service, 0, Some(now_ms - 60_000));
    let shops: Vec<Worker> = (1..=3).map(|n| start(format!("i-shop{n}"), "shop-app")).collect();
    let desks: Vec<Worker> = (1..=2).map(|n| start(format!("i-desk{n}"), "desk-app")).collect();
    shops.iter().for_each(|worker| worker.register(&store, "ready"));
    let Some(relays) = relay::start(&store, folder, Site::DarVozilaGrown) else {
        return 2;
    };
    store.put("op", "config", &later_config());
    desks.iter().for_each(|worker| worker.register(&store, "ready"));
    record.note("the operator adds the route /later/ to the service desk-app; its two workers register");
    pause(3.0);
    measure(record, &relays, "before", 6, 0.6);
    if has_trouble {
        for (number, desk) in desks.iter().enumerate() {
            let row = format!(
                "{{\"service\":\"desk-app\",\"address\":\"{}\",\"zone\":\"hala-nord\",\"slots\":6,\"state\":\"ready\",\"born\":{now_ms}}}",
                desk.address
            );
            store.put("servers", &format!("desk-host-{number}"), &row);
        }
        record.note("another writer leaves two rows, for the hosts of desk-app, that lack version, coldRemainingMs and sequence");
    }
    pause(3.0);
    measure(record, &relays, "beside the rows", 20, 4.0);
    if has_trouble {
        (0..desks.len()).for_each(|number| store.remove("servers", &format!("desk-host-{number}")));
        record.note("it removes them again");
    }
    pause(8.0);
    let served = measure(record, &relays, "steady", MEASURED_REQUESTS, 12.0);
    note_workers(record, &store, &[&shops[0], &desks[0], &desks[1]]);
    judge(record, MEASURED_REQUESTS, served)
}
