//! `controller`: wires only.

use nickeljunction_controller::cli::{Controller, ControllerCmd};
use nickeljunction_controller::{serve, store};
use nickeljunction_net::{figures, start};
use nickeljunction_schema::Settings;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = Controller::from_env_or_exit();
    if let ControllerCmd::Store(order) = flags.subcommand {
        return store::run(order.subcommand);
    }
    let at = match figures::place("controller", flags.figures.as_deref()) {
        Ok(at) => at,
        Err(code) => return code,
    };
    let read = || {
        let settings = flags.settings.map_or_else(Settings::from_env, Settings::read)?;
        settings.core_checked().map(|_| settings)
    };
    match start::prepare("controller", flags.log_level.as_deref(), read) {
        Ok(_) if flags.check => ExitCode::SUCCESS,
        Ok(settings) => start::run("controller", serve::run(settings, at)),
        Err(code) => code,
    }
}
