//! Cost of a decision.

fn main() {}
