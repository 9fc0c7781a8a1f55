//! The command line. Exit codes: 0 done, 1 failed, 2 bad use or bad input. Errors go to standard error.

mod change;
mod fleet;
mod trace;

use crate::demo;
use crate::serve::{self, Failure, Start};
use clap::builder::ValueParser;
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// An admission gateway: quotas held over all gateways together, a booking server for each request, attempts that
/// never run twice what must not, and exactly one final answer.
#[derive(Debug, Parser)]
#[command(name = "nickeljunction", version, args_conflicts_with_subcommands = true)]
#[command(
    after_help = "Without a command it serves. Exit codes: 0 done, 1 failed, 2 bad use or bad input.\n\
    Before the file: EDGE_LISTEN, EDGE_DISCOVERY, EDGE_ADMIN_ADDR (the admin door). EDGE_SOCKET_FD: listen on that \
    inherited descriptor. See docs/operators/day-to-day.md."
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT (also what it does without a command)
    Serve(Serve),
    /// Check, compare, sign and apply the operators' document
    #[command(subcommand)]
    Config(change::Config),
    /// Show the view of the fleet that a gateway keeps: who lives, since when, and how sure that is
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Look into trace files: what gateways saw and decided
    #[command(subcommand)]
    Trace(trace::Trace),
    /// Start a gateway in a toy world on loopback, send it requests and tell what was answered and why
    Demo(demo::Demo),
}

#[derive(Debug, Args)]
struct Serve {
    /// Configuration of this gateway (JSON)
    #[arg(long, value_name = "FILE", env = "EDGE_CONFIG")]
    config: Option<PathBuf>,
    /// The operators' document; deploy/gateway.json if that is there, and none if this is empty
    #[arg(long, value_name = "FILE", env = "NICKELJUNCTION_DOCUMENT", value_parser = may_be_empty())]
    document: Option<OsString>,
    #[command(flatten)]
    log: Log,
}

#[derive(Debug, Args)]
struct Log {
    /// Form of the log's lines, on standard error
    #[arg(long, value_enum, default_value = "text", env = "NICKELJUNCTION_LOG_FORMAT")]
    log_format: LogFormat,
    /// Least level that is logged: error, warn, info, debug, trace, or a filter such as
    /// `info,nickeljunction::net::counter=debug`
    #[arg(long, value_name = "LEVEL", default_value = "info", env = "NICKELJUNCTION_LOG")]
    log_level: String,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum LogFormat {
    /// A line of text each
    Text,
    /// A JSON object each
    Json,
}

impl Log {
    fn start(&self) -> Result<(), Failure> {
        let filter = EnvFilter::try_new(&self.log_level).map_err(|why| {
            Failure::Bad(vec![format!("--log-level: '{}' is no level or filter: {why}", self.log_level)])
        })?;
        let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
        match self.log_format {
            LogFormat::Text => lines.with_target(false).with_env_filter(filter).init(),
            LogFormat::Json => lines.with_env_filter(filter).json().init(),
        }
        Ok(())
    }
}

/// An empty value turns the document off, where the variable would else name one.
fn may_be_empty() -> ValueParser {
    ValueParser::os_string()
}

/// Where a document is by default: named by the variable, or at its place if that is there.
fn document(given: Option<OsString>) -> Option<PathBuf> {
    match given {
        Some(path) if path.is_empty() => None,
        Some(path) => Some(PathBuf::from(path)),
        None => Some(PathBuf::from("deploy/gateway.json")).filter(|path| path.exists()),
    }
}

/// Runs the command of this process's arguments.
pub fn run() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => serve(cli.serve),
        Some(Command::Serve(serve_args)) => serve(serve_args),
        Some(Command::Config(config)) => change::run(config),
        Some(Command::Fleet(fleet)) => fleet::run(fleet),
        Some(Command::Trace(trace)) => trace::run(trace),
        Some(Command::Demo(demo)) => demo::run(&demo).map_err(Failure::Failed),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Bad(lines)) => {
            lines.iter().for_each(|line| eprintln!("nickeljunction: {line}"));
            ExitCode::from(2)
        }
        Err(Failure::Failed(why)) => {
            eprintln!("nickeljunction: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve(args: Serve) -> Result<(), Failure> {
    args.log.start()?;
    serve::serve(Start { config: args.config, document: document(args.document) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use clap::CommandFactory;

    #[test]
    fn the_command_line_is_consistent() {
        Cli::command().debug_assert();
    }
}
