//! Why a request ended as it did, said in a sentence, from its own lines alone.

use super::Line;
use super::Story;

/// A first token that comes this much later than predicted is worth a word, as a factor.
const LATE_FACTOR: f64 = 1.5;

/// A pause between two events that is worth a word, in milliseconds: the least that any route allows.
const PAUSE_MS: f64 = 250.0;

/// Says how the request ended and why.
///
/// ```
/// use marigoldstage::explain::cause::cause;
/// use marigoldstage::explain::Story;
///
/// assert!(cause(&Story::default()).contains("no line"));
/// ```
pub fn cause(story: &Story) -> String {
    if story.lines.is_empty() {
        return "no line names this request: it reached none of these processes".to_string();
    }
    if let Some(line) = story.last("stream ended") {
        return stream(story, line);
    }
    match story.last("request ended") {
        Some(line) => ended(story, line),
        None => {
            "its process ended while it was open (a kill or a loss of power leaves no line): the client \
             saw a closed connection, and whether it ran isn't known"
                .to_string()
        }
    }
}

fn ended(story: &Story, line: &Line) -> String {
    let total_ms = line.number("total_ms");
    match line.field("outcome").as_str() {
        "answered" => format!("answered after {total_ms} ms{}", dispatches(story)),
        "client_left" => format!(
            "the client closed its connection after {total_ms} ms{}; the work was ended",
            dispatches(story)
        ),
        _ => {
            let why = refusal(story, &line.field("detail"), line);
            format!("status {} after {total_ms} ms: {why}", line.field("status"))
        }
    }
}

fn refusal(story: &Story, detail: &str, line: &Line) -> String {
    let text = match detail {
        "no_configuration" => "this process had no configuration yet: it had just started",
        "stale_configuration" => {
            return format!(
                "no route or key of the configuration takes it, but that was last confirmed {} ms before, \
                 so a newer one may; it has not run (look for \"the store is lost\" on this host)",
                line.field("configuration_age_ms")
            );
        }
        "leaving" => "this host was about to stop; it has not run",
        "no_route" => "no route takes it, by a configuration that was fresh",
        "unknown_key" => "its key is unknown, by a configuration that was fresh",
        "malformed" => "the request can't be understood",
        "body_too_long" => "its body is longer than the configuration allows",
        "body_too_slow" => "its body didn't arrive in time; it has not run",
        "no_endpoint" => "no endpoint of its service was known; it has not run",
        "too_large" => "its prompt exceeds the memory of all engines; it has not run",
        "quarantined" => {
            return format!(
                "requests for the same work ({}) have crashed the endpoints that ran them, so it was sent to none; it has not \
                 run (look for \"is held\" with that work, and for its lines \"run lost\")",
                line.field("work")
            );
        }
        "endpoints_shut" => return all_shut(story),
        "full" | "too_late" | "timeout_before_dispatch" => return no_room(story, detail),
        "not_run" => {
            return format!(
                "the endpoints refused it and didn't run it{}",
                dispatches(story)
            )
        }
        "unknown" => {
            return format!(
                "an endpoint had it and gave no usable answer, so it may have run{}",
                dispatches(story)
            )
        }
        "timeout_running" => {
            return format!(
                "its time was up while an endpoint was at work, so it may have run{}",
                dispatches(story)
            )
        }
        other => return format!("{other}{}", dispatches(story)),
    };
    text.to_string()
}

/// All endpoints had asked to be sent nothing then.
fn all_shut(story: &Story) -> String {
    let Some(line) = story.last("all endpoints are shut") else {
        return "all endpoints had asked to be sent nothing; it has not run".to_string();
    };
    format!(
        "all endpoints had asked to be sent nothing: {} leave, {} want rest from this host, {} name a limit that was used \
         up or held by other hosts; it was told to come back after {} ms; it has not run (look for \"an endpoint says of \
         itself\")",
        line.number("leaving"),
        line.number("resting"),
        line.number("limited"),
        line.number("retry_after_ms"),
    )
}

fn no_room(story: &Story, detail: &str) -> String {
    let mut text = match detail {
        "full" => "the engines had no room for it",
        "too_late" => "no engine could have served it before its deadline",
        _ => "its time was up before it was its turn",
    }
    .to_string();
    if let Some(wait) = story.all("waits for its turn").first() {
        let room = wait.number("room");
        text += &format!(
            "; it waited from {} ms before its deadline on, with {room} engines free of short streams and {} \
             ms of reading before it",
            wait.number("left_ms"),
            wait.number("engines_backlog_ms"),
        );
        if wait.number("best_other_score") < wait.number("score") {
            text += ", and others that are worth more for their reading went first";
        }
    }
    if let Some(wait) = story.last("waits for a place") {
        text += &format!(
            "; all engines were nearly full ({} of 1,000 places taken), it couldn't be on time, and {} others \
             waited before it for places that fell free at {:.1} a second",
            wait.number("places_taken_permille"),
            wait.number("ahead"),
            wait.number("spare_per_s"),
        );
    }
    if let Some(full) = story
        .last("not placed")
        .filter(|line| line.field("lacks") == "memory")
    {
        text += &format!(
            "; it needs {} tokens of memory at no more than {} engines together",
            full.number("needed_tokens"),
            full.number("engines_allowed"),
        );
    }
    if let Some(refused) = story.last("not placed") {
        text += &format!(
            "; {} engines were usable, and it was told to come back after {} ms",
            refused.number("usable_engines"),
            refused.number("retry_after_ms"),
        );
    }
    text + "; it has not run"
}

/// What endpoints did.
fn dispatches(story: &Story) -> String {
    let all = story.all("dispatch ended");
    let one = |line: &&Line| {
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
    let all: Vec<String> = all.iter().map(one).collect();
    match all.is_empty() {
        true => "; no endpoint had it".to_string(),
        false => format!("; dispatched to {}", all.join(", then ")),
    }
}

fn stream(story: &Story, line: &Line) -> String {
    let mut text = match line.field("outcome").as_str() {
        "answered" => "its stream is whole".to_string(),
        "client_left" => "the client left in the middle of its stream".to_string(),
        "stream_timed_out" => "its time was up in the middle of its stream".to_string(),
        "stream_broken" => "its stream broke off, and nobody could go on".to_string(),
        other => other.to_string(),
    };
    text += &format!(
        ": {} events in {} ms",
        line.number("events"),
        line.number("total_ms")
    );
    for broken in story.all("stream broke off") {
        text += &format!(
            "; {} broke off ({})",
            broken.field("endpoint"),
            broken.field("why")
        );
    }
    if line.number("longest_pause_ms") > PAUSE_MS {
        text += &format!(
            "; its longest pause was {} ms",
            line.number("longest_pause_ms")
        );
    }
    if let Some(first) = story.all("dispatch ended").last() {
        let (took_ms, predicted_ms) = (first.number("took_ms"), first.number("predicted_ms"));
        if took_ms > predicted_ms * LATE_FACTOR {
            text += &format!(
                "; its first token came after {took_ms} ms, {predicted_ms} ms were predicted: its engines had \
                 work that this host didn't know of, or are slow"
            );
        }
    }
    text + &dispatches(story)
}
