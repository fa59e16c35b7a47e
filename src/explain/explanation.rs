//! Explains in one sentence how a request ended and why, from its own log lines alone.

use super::LogLine;
use super::RequestTrace;

/// Ratio of actual to predicted time to first token above which the delay is mentioned.
const MENTIONED_DELAY_FACTOR: f64 = 1.5;

/// Pause between two events above which it is mentioned, in milliseconds: the smallest pause limit of any route.
const MENTIONED_PAUSE_MS: f64 = 250.0;

/// Describes how the request ended and why.
///
/// ```
/// use marigoldstage::explain::explanation::describe;
/// use marigoldstage::explain::RequestTrace;
///
/// assert!(describe(&RequestTrace::default()).contains("no line"));
/// ```
pub fn describe(trace: &RequestTrace) -> String {
    if trace.lines.is_empty() {
        return "no line names this request: it reached none of these processes".to_string();
    }
    if let Some(line) = trace.last_with_text("stream ended") {
        return describe_stream(trace, line);
    }
    match trace.last_with_text("request ended") {
        Some(line) => describe_response(trace, line),
        None => {
            "its process ended while it was open (a kill or a power loss leaves no line): the client \
             saw a closed connection, and it may have run"
                .to_string()
        }
    }
}

fn describe_response(trace: &RequestTrace, line: &LogLine) -> String {
    let total_ms = line.number("total_ms");
    match line.field("outcome").as_str() {
        "answered" => format!(
            "answered after {total_ms} ms{}{}",
            describe_slow_client(trace),
            describe_dispatches(trace)
        ),
        "client_left" => format!(
            "the client closed its connection after {total_ms} ms{}; the request was cancelled",
            describe_dispatches(trace)
        ),
        _ => {
            let why = describe_refusal(trace, &line.field("detail"), line);
            format!("status {} after {total_ms} ms: {why}", line.field("status"))
        }
    }
}

fn describe_refusal(trace: &RequestTrace, detail: &str, line: &LogLine) -> String {
    let text = match detail {
        "no_configuration" => "this process had just started and had no configuration yet",
        "stale_configuration" => {
            return format!(
                "no route or key of the configuration matches it, but the configuration was last confirmed {} ms before \
                 and may be outdated; it has not run (look for \"the store is lost\" on this host)",
                line.field("configuration_age_ms")
            );
        }
        "leaving" => "this host was shutting down; it has not run",
        "no_route" => "no route of the up-to-date configuration matches it",
        "unknown_key" => "the up-to-date configuration doesn't contain its key",
        "malformed" => "the request is malformed",
        "body_too_long" => "its body is longer than the configuration allows",
        "body_too_slow" => "its body didn't arrive in time; it has not run",
        "no_endpoint" => "no endpoint of its service was known; it has not run",
        "too_large" => "its prompt exceeds the memory of all engines; it has not run",
        "link_full" => "the link of its host carried no more (look for \"the room on the link\" there); it has not run",
        "no_memory" => return describe_no_memory(trace),
        "quarantined" => return describe_hold(trace, line),
        "zones_evacuated" => return describe_evacuated_zones(trace),
        "endpoints_shut" => return describe_shut_endpoints(trace),
        "over_share" => return describe_used_up_share(trace),
        "no_turn" => {
            "by the estimate at its arrival it would have waited too long for its engines; it has not run (look for \
             \"refused at arrival\" on its host)"
        }
        "full" | "too_late" | "timeout_before_dispatch" => {
            return describe_no_capacity(trace, detail)
        }
        "not_run" => {
            return format!(
                "the endpoints refused it and didn't run it{}",
                describe_dispatches(trace)
            )
        }
        "unknown" => {
            return format!(
                "an endpoint received it and returned no usable answer, so it may have run{}",
                describe_dispatches(trace)
            )
        }
        "timeout_running" => {
            return format!(
                "its timeout expired while an endpoint was processing it, so it may have run{}",
                describe_dispatches(trace)
            )
        }
        "stopped" => {
            return format!(
                "its host stopped while an endpoint was processing it, so it may have run{}",
                describe_dispatches(trace)
            )
        }
        other => return format!("{other}{}", describe_dispatches(trace)),
    };
    text.to_string()
}

/// Describes a refusal because this host had no memory for a request body.
fn describe_no_memory(trace: &RequestTrace) -> String {
    let Some(line) = trace.last_with_text("a request body isn't taken") else {
        return "its host had no memory for its body; it has not run".to_string();
    };
    format!(
        "its host had no memory for its body of {} bytes, as it held {} bytes for other clients; the client was told to \
         retry after {} ms; it has not run",
        line.number("announced_bytes"),
        line.number("held_total_bytes"),
        line.number("retry_after_ms"),
    )
}

/// Says that a response was cut off because its client read too slowly; empty if it wasn't.
fn describe_slow_client(trace: &RequestTrace) -> String {
    let Some(line) = trace.last_with_text("a client reads too slowly") else {
        return String::new();
    };
    let bound = match line.field("bound").as_str() {
        "connection" => "the bound of one connection",
        "total" => "its share of the memory that was left",
        _ => "the time for which a client may read nothing",
    };
    format!(
        "; its client read too slowly and was cut off at {bound}, with {} bytes unread and {} bytes held for all clients",
        line.number("held_bytes"),
        line.number("held_total_bytes"),
    )
}

/// Describes why a request was refused that is held itself, or with a part of its prompt.
fn describe_hold(trace: &RequestTrace, line: &LogLine) -> String {
    let refused = trace.all_with_text("refused since it is held");
    let part = refused.last().map(|refused| refused.field("part"));
    if let Some(part) = part.filter(|part| !part.is_empty()) {
        return format!(
            "endpoints crashed as they began to write on part {part} of its prompt, whatever else was in the requests, so it \
             was sent to none; it has not run (look for \"is held\" with that part, and for lines \"run lost\" that name it)"
        );
    }
    format!(
        "requests for the same work ({}) have crashed the endpoints that ran them, so it was sent to none; it has not \
         run (look for \"is held\" with that work, and for its lines \"run lost\")",
        line.field("work")
    )
}

/// Describes a refusal because all endpoints had asked to receive no requests.
fn describe_shut_endpoints(trace: &RequestTrace) -> String {
    let Some(line) = trace.last_with_text("all endpoints are shut") else {
        return "all endpoints had asked to receive no requests; it has not run".to_string();
    };
    format!(
        "all endpoints had asked to receive no requests: {} leave, {} want a pause from this host, {} name a limit that was \
         used up or reserved by other hosts{}; the client was told to retry after {} ms; it has not run (look for \"an endpoint says of \
         itself\")",
        line.number("leaving"),
        line.number("resting"),
        line.number("limited"),
        describe_cold_and_evacuated(line),
        line.number("retry_after_ms"),
    )
}

/// How many endpoints were cold or in evacuated zones, where there were any.
fn describe_cold_and_evacuated(line: &LogLine) -> String {
    let mut text = String::new();
    let (cold, evacuated) = (line.number("warming"), line.number("evacuated"));
    if cold > 0.0 {
        text += &format!(", {cold} are cold and get no more from this host now");
    }
    if evacuated > 0.0 {
        text += &format!(", {evacuated} are in evacuated zones");
    }
    text
}

/// Describes a refusal because all endpoints of the service were in evacuated zones.
fn describe_evacuated_zones(trace: &RequestTrace) -> String {
    let evacuated = trace.last_with_text("all endpoints are shut");
    let count = evacuated.map_or(String::new(), |line| {
        format!(" {} ", line.number("evacuated"))
    });
    format!(
        "all{count}endpoints of its service were in availability zones that the operators evacuated; it has not run (look \
         for \"a zone is evacuated\")"
    )
}

/// Describes a refusal because the share of the request's organisation was used up.
fn describe_used_up_share(trace: &RequestTrace) -> String {
    let Some(line) = trace.last_with_text("refused since its organisation's share is used up")
    else {
        return "engines were short, and the share of its organisation was used up; it has not run"
            .to_string();
    };
    format!(
        "engines were short, and organisation {} asked for {} ms of engine time per second, of which it could have {} (usual are \
         {}); all organisations asked for {} of {} ms per second; the client was told to retry after {} ms; it has not run",
        line.field("organisation"),
        line.number("asked_ms_per_s"),
        line.number("allowed_ms_per_s"),
        line.number("usual_ms_per_s"),
        line.number("asked_by_all_ms_per_s"),
        line.number("capacity_ms_per_s"),
        line.number("retry_after_ms"),
    )
}

fn describe_no_capacity(trace: &RequestTrace, detail: &str) -> String {
    let mut text = match detail {
        "full" => "the engines had no capacity for it",
        "too_late" => "no engine could have served it before its deadline",
        _ => "its timeout expired while it was queued",
    }
    .to_string();
    if let Some(wait) = trace.all_with_text("waits for its turn").first() {
        let room = wait.number("room");
        text += &format!(
            "; it was queued from {} ms before its deadline on, with {room} engines free of short streams and {} \
             ms of prefill ahead of it",
            wait.number("left_ms"),
            wait.number("engines_backlog_ms"),
        );
        if wait.number("best_other_score") < wait.number("score") {
            text += ", and requests with a higher worth per prefill went first";
        }
    }
    if let Some(wait) = trace.last_with_text("waits for a place") {
        text += &format!(
            "; all engines were nearly full ({} of 1,000 places taken), it couldn't be on time, and {} others \
             waited ahead of it for places, which became free at {:.1} a second",
            wait.number("places_taken_permille"),
            wait.number("ahead"),
            wait.number("spare_per_s"),
        );
    }
    if let Some(memory_refusal) = trace
        .last_with_text("not placed")
        .filter(|line| line.field("lacks") == "memory")
    {
        text += &format!(
            "; it needs {} tokens of memory on at most {} engines together",
            memory_refusal.number("needed_tokens"),
            memory_refusal.number("engines_allowed"),
        );
    }
    if let Some(refusal) = trace.last_with_text("not placed") {
        text += &format!(
            "; {} engines were usable, and the client was told to retry after {} ms",
            refusal.number("usable_engines"),
            refusal.number("retry_after_ms"),
        );
    }
    text + "; it has not run"
}

/// Lists the dispatches and how each of them ended.
fn describe_dispatches(trace: &RequestTrace) -> String {
    let dispatches = trace.all_with_text("dispatch ended");
    let describe_one = |line: &&LogLine| {
        let end = match line.field("why") {
            why if why.is_empty() => line.field("end"),
            why => why,
        };
        format!(
            "{} ({end}, {} ms)",
            line.field("endpoint"),
            line.number("took_ms")
        )
    };
    let dispatches: Vec<String> = dispatches.iter().map(describe_one).collect();
    match dispatches.is_empty() {
        true => "; it was dispatched to no endpoint".to_string(),
        false => format!("; dispatched to {}", dispatches.join(", then ")),
    }
}

fn describe_stream(trace: &RequestTrace, line: &LogLine) -> String {
    let mut text = match line.field("outcome").as_str() {
        "answered" => "its whole stream was delivered".to_string(),
        "client_left" => "the client left in the middle of its stream".to_string(),
        "client_too_slow" => "its stream was broken off by its host".to_string(),
        "stream_timed_out" => "its timeout expired in the middle of its stream".to_string(),
        "stream_broken" => "its stream broke off, and no endpoint could resume it".to_string(),
        other => other.to_string(),
    };
    text += &format!(
        ": {} events in {} ms",
        line.number("events"),
        line.number("total_ms")
    );
    text += &describe_slow_client(trace);
    for broken in trace.all_with_text("stream broke off") {
        text += &format!(
            "; {} broke off ({})",
            broken.field("endpoint"),
            broken.field("why")
        );
    }
    if line.number("longest_pause_ms") > MENTIONED_PAUSE_MS {
        text += &format!(
            "; its longest pause was {} ms",
            line.number("longest_pause_ms")
        );
    }
    if let Some(last_dispatch) = trace.all_with_text("dispatch ended").last() {
        let (took_ms, predicted_ms) = (
            last_dispatch.number("took_ms"),
            last_dispatch.number("predicted_ms"),
        );
        if took_ms > predicted_ms * MENTIONED_DELAY_FACTOR {
            text += &format!(
                "; its first token came after {took_ms} ms instead of the predicted {predicted_ms} ms: its engines had \
                 work that this host didn't know of, or are slow"
            );
        }
    }
    text + &describe_dispatches(trace)
}
