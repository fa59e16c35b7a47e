//! Keys with the time at which something last happened to them.

use std::collections::HashMap;

/// Removes the keys with a time before `before_ms`, and the oldest beyond `most`. Returns the time
/// from which on all keys are kept.
pub(crate) fn forget_oldest<K>(times_ms: &mut HashMap<K, f64>, before_ms: f64, most: usize) -> f64 {
    times_ms.retain(|_, at_ms| *at_ms >= before_ms);
    let excess = times_ms.len().saturating_sub(most);
    if excess == 0 {
        return before_ms;
    }
    let mut sorted_ms: Vec<f64> = times_ms.values().copied().collect();
    sorted_ms.sort_by(f64::total_cmp);
    let kept_from_ms = sorted_ms[excess];
    times_ms.retain(|_, at_ms| *at_ms >= kept_from_ms);
    kept_from_ms
}
