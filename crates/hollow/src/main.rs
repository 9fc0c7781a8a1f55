//! `hollow`: wires only.

use hollow::flags::{Hollow, HollowCmd};
use hollow::{document, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let done = match Hollow::from_env_or_exit().subcommand {
        HollowCmd::Run(flags) => run::run(flags),
        HollowCmd::Document(flags) => document::measure(&flags),
    };
    match done {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("hollow: {error}");
            ExitCode::FAILURE
        }
    }
}
