//! Where the product's binary is.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::cluster::Error;

const NAME: &str = "marigoldstage";

/// Tests run in a directory below that of the binaries.
const LEVELS: usize = 2;

/// Finds the binary beside the running program.
pub fn find() -> Result<PathBuf, Error> {
    let program = env::current_exe()?;
    let above = program.ancestors().skip(1).take(LEVELS);
    let mut candidates = above.map(|directory: &Path| directory.join(NAME));
    let found = candidates.find(|candidate| candidate.is_file());
    found.ok_or_else(|| Error::NoBinary(program.display().to_string()))
}
