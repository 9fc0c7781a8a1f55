//! `harbourmaster`: wires only.

use nickeljunction_harbourmaster::cli::{Harbourmaster, HarbourmasterCmd};
use nickeljunction_harbourmaster::{serve, store};
use nickeljunction_net::{figures, start};
use nickeljunction_schema::Settings;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = Harbourmaster::from_env_or_exit();
    if let HarbourmasterCmd::Store(order) = flags.subcommand {
        return store::run(order.subcommand);
    }
    let at = match figures::address("harbourmaster", flags.figures.as_deref()) {
        Ok(at) => at,
        Err(code) => return code,
    };
    let read = || {
        let settings = flags.settings.map_or_else(Settings::from_env, Settings::read)?;
        settings.core_checked().map(|_| settings)
    };
    match start::prepare("harbourmaster", flags.log_level.as_deref(), read) {
        Ok(_) if flags.check => ExitCode::SUCCESS,
        Ok(settings) => start::run("harbourmaster", serve::run(settings, at)),
        Err(code) => code,
    }
}
