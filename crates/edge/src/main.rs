//! `edge`: wires only.

use nickeljunction_edge::{cli::Edge, serve};
use nickeljunction_net::{figures, start};
use nickeljunction_schema::Settings;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = Edge::from_env_or_exit();
    let at = match figures::place("edge", flags.figures.as_deref()) {
        Ok(at) => at,
        Err(code) => return code,
    };
    let read = || {
        let settings = flags.settings.map_or_else(Settings::from_env, Settings::read)?;
        settings.edge_checked().map(|_| settings)
    };
    match start::prepare("edge", flags.log_level.as_deref(), read) {
        Ok(_) if flags.check => ExitCode::SUCCESS,
        Ok(settings) => start::run("edge", serve::run(settings, at)),
        Err(code) => code,
    }
}
