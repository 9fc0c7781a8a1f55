//! `edge`: reads flags and settings, and starts the gateway.

use nickeljunction_edge::{cli::Edge, serve};
use nickeljunction_net::{figures, start};
use nickeljunction_schema::Settings;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = Edge::from_env_or_exit();
    let metrics_address = match figures::place("edge", flags.figures.as_deref()) {
        Ok(address) => address,
        Err(code) => return code,
    };
    let read_settings = || {
        let settings = flags.settings.map_or_else(Settings::from_env, Settings::read)?;
        settings.edge_checked().map(|_| settings)
    };
    match start::prepare("edge", flags.log_level.as_deref(), read_settings) {
        Ok(_) if flags.check => ExitCode::SUCCESS,
        Ok(settings) => start::run("edge", serve::run(settings, metrics_address)),
        Err(code) => code,
    }
}
