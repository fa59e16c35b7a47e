//! Waiting until a gateway knows what its endpoints serve.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller;
use crate::caller::Kind;
use crate::caller::Plan;
use crate::cluster::Member;
use crate::history::Ending;
use crate::history::Request;

/// Number of the requests sent for this; callers count from 1.
const REQUEST: Request = Request(0);

const PROMPT_TOKENS: usize = 8;

const PAUSE_MS: u64 = 20;

/// Sends requests of a kind until one is answered; whether that came within the limit.
pub(super) fn until_answered(gateway: &Member, kind: Kind, limit_ms: u64) -> bool {
    let plan = Plan {
        kind,
        max_tokens: 1,
        ..Plan::new(REQUEST, PROMPT_TOKENS)
    };
    let end = Instant::now() + Duration::from_millis(limit_ms);
    let options = caller::Options::default();
    while Instant::now() < end {
        let exchange = caller::send(gateway.front().address(), &plan, &options);
        if exchange.is_ok_and(|one| matches!(one.ending, Ending::Answered { .. })) {
            return true;
        }
        thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    false
}
