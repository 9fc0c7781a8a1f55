//! The operators' command line: wires [`ctl::run`] to the process.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let control = std::env::var(ctl::CONTROL_VAR).ok();
    let code = ctl::run(arguments, control, &mut io::stdin(), &mut io::stdout(), &mut io::stderr());
    ExitCode::from(code)
}
