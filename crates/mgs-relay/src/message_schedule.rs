//! Decides when a message to peers is due, and whether it is a full one.

use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::link_use::QUIET_MAX_MS;

/// Longest time without a message.
const QUIET_MAX: Duration = Duration::from_millis(QUIET_MAX_MS);

/// Every so many full messages, one is sent to all listed gateways, the others only to those heard
/// recently.
const FULL_TO_ALL_EVERY: u64 = 4;

/// Longest time between two full messages to all listed gateways, where full messages are rarer
/// than usual. It exceeds four intervals of a free link by what scheduling may add.
const FULL_TO_ALL_MAX: Duration = Duration::from_millis(1_350);

/// A message that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueMessage {
    /// The load that was placed since the last message.
    Short,
    /// All load.
    Full,
}

/// Waits until there is news or a message is due without news. The last message was sent at
/// `sent_at`.
pub async fn until_due(wanted: &Notify, full_at: Instant, sent_at: Instant) -> DueMessage {
    // Peers would take a gateway that sends nothing for silent.
    let next_at = full_at.min(sent_at + QUIET_MAX);
    // A stored notification ends the wait even if the time has passed. Therefore the clock decides
    // which message is due, not how the wait ended.
    let _ = timeout_at(next_at, wanted.notified()).await;
    match Instant::now() >= full_at {
        true => DueMessage::Full,
        false => DueMessage::Short,
    }
}

/// Whether a full message goes to all listed gateways: about once a second, at any interval.
///
/// ```
/// use std::time::Duration;
/// use mgs_relay::message_schedule::is_for_all;
///
/// let (free, narrow) = (Duration::from_millis(300), Duration::from_secs(1));
/// assert!(!is_for_all(3, Duration::from_millis(900), free));
/// assert!(is_for_all(4, Duration::from_millis(1_200), free));
/// assert!(is_for_all(1, Duration::from_secs(1), narrow));
/// ```
pub fn is_for_all(sent_since: u64, since: Duration, full_interval: Duration) -> bool {
    sent_since >= FULL_TO_ALL_EVERY || since + full_interval > FULL_TO_ALL_MAX
}
