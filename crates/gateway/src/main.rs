//! The binary: see [`nickeljunction::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    nickeljunction::cli::run()
}
