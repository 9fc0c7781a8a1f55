//! How a program begins and ends: its runtime, its listeners, its signals.

use quick_error::quick_error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};

quick_error! {
    /// Why a program could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Listen(what: &'static str, address: SocketAddr, cause: io::Error) {
            display("listening for {} on {}: {}", what, address, cause)
            source(cause)
        }
        /// The system refuses something else.
        System(step: &'static str, cause: io::Error) {
            display("{}: {}", step, cause)
            source(cause)
        }
    }
}

/// Listens on an address; `what` names it in the error.
///
/// # Errors
/// The address is taken, or not this machine's.
pub async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|cause| StartError::Listen(what, address, cause))
}

/// The signals that a program takes.
pub struct Orders {
    term: Signal,
    int: Signal,
    hup: Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// SIGTERM or SIGINT: an orderly end.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

impl Orders {
    /// Takes the signals from now on.
    ///
    /// # Errors
    /// The system refuses.
    pub fn new() -> Result<Orders, StartError> {
        let on = |kind| signal(kind).map_err(|cause| StartError::System("taking signals", cause));
        let (term, int) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
        Ok(Orders { term, int, hup: on(SignalKind::hangup())? })
    }

    /// The next order.
    pub async fn next(&mut self) -> Order {
        tokio::select! {
            _ = self.term.recv() => Order::Stop,
            _ = self.int.recv() => Order::Stop,
            _ = self.hup.recv() => Order::Reload,
        }
    }
}

/// Runs a program's work on one thread to its end: exit code 0 when it ends well, else 1 with the error on standard error.
pub fn run<E: std::fmt::Display>(program: &str, work: impl Future<Output = Result<(), E>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{program}: starting the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, work) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the logs and reads the settings; the exit code 2 where either is bad, with the error on standard error.
///
/// # Errors
/// The exit code.
pub fn prepare<S, E: std::fmt::Display>(
    program: &str,
    level: Option<&str>,
    settings: impl FnOnce() -> Result<S, E>,
) -> Result<S, ExitCode> {
    let bad = |error: &dyn std::fmt::Display| {
        eprintln!("{program}: {error}");
        ExitCode::from(2)
    };
    crate::logs::start(level.unwrap_or("info")).map_err(|error| bad(&error))?;
    settings().map_err(|error| bad(&error))
}
