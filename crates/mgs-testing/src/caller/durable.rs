//! Sending a durable request and coming back for its answer.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Response;
use serde_json::Value;

use crate::caller::answer;
use crate::caller::plan::Kind;
use crate::caller::plan::Plan;
use crate::caller::send;
use crate::caller::send::Exchange;
use crate::caller::send::NotSent;
use crate::caller::send::Options;
use crate::cluster::BEARER_KEY;
use crate::history::Ending;

const ACCEPTED: u16 = 202;

/// Pause between two looks at a request, in milliseconds.
const LOOK_MS: u64 = 150;

/// Longest time of one look, in milliseconds.
const LOOK_TIMEOUT_MS: u64 = 1_000;

/// Reason of an error that says nothing of the request, only that it can't be looked at now.
const CANNOT_LOOK: [&str; 3] = ["store_unavailable", "not_ready", "leaving"];

/// Sends a durable request to the first gateway, and asks all of them in turn for its answer.
pub(super) fn submit(
    gateways: &[SocketAddr],
    plan: &Plan,
    options: &Options,
) -> Result<Exchange, NotSent> {
    let patience = Duration::from_millis(plan.allotted_ms + options.patience_ms);
    let end = Instant::now() + patience;
    let Some(first) = gateways.first() else {
        return Err(NotSent);
    };
    let request = send::build(*first, plan).header("Prefer", "respond-async");
    let response = match request.timeout(patience).read_timeout(patience).send() {
        Ok(response) => response,
        Err(error) if send::is_unsent(&error) => return Err(NotSent),
        Err(_) => return Ok(Exchange::ended(broken())),
    };
    if response.status().as_u16() != ACCEPTED {
        return Ok(send::read(plan, response));
    }
    let Some(id) = identifier(response) else {
        return Ok(Exchange::ended(broken()));
    };
    let kept = Some(Instant::now());
    let ending = look_until(gateways, &id, end).unwrap_or(Ending::Silent);
    Ok(Exchange {
        kept,
        ..Exchange::ended(ending)
    })
}

fn broken() -> Ending {
    let partial = String::new();
    Ending::Broken { partial }
}

fn identifier(response: Response) -> Option<String> {
    let json: Value = response.json().ok()?;
    json["id"].as_str().map(str::to_string)
}

/// Asks one gateway after another until one has the end of the request.
fn look_until(gateways: &[SocketAddr], id: &str, end: Instant) -> Option<Ending> {
    for gateway in gateways.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        if let Some(ending) = look(*gateway, id) {
            return Some(ending);
        }
        thread::sleep(Duration::from_millis(LOOK_MS));
    }
    None
}

/// The end of a request, if it has come and can be read.
fn look(gateway: SocketAddr, id: &str) -> Option<Ending> {
    let limit = Duration::from_millis(LOOK_TIMEOUT_MS);
    let response = attohttpc::get(format!("http://{gateway}/v1/requests/{id}/result"))
        .header("Authorization", format!("Bearer {BEARER_KEY}"))
        .connect_timeout(limit)
        .timeout(limit)
        .send()
        .ok()?;
    if response.status().as_u16() == ACCEPTED {
        return None;
    }
    let success = response.is_success();
    let ending = answer::whole(Kind::Whole, success, &response.text().ok()?);
    let cannot_look = matches!(
        &ending,
        Ending::Error { reason, .. } if CANNOT_LOOK.contains(&reason.as_str())
    );
    (!cannot_look).then_some(ending)
}
