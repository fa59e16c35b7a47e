//! The `marigoldstage` command.

fn main() {}
