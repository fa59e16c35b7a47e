//! Entry point of the `marigoldstage` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    marigoldstage::command::main(std::env::args_os())
}
