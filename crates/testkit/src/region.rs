//! A booking server that remembers what it was sent: by request id, with the time of its beginning and end, so
//! that a second copy, or two attempts out at once, show.

use crate::{listen, read_message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How it answers.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    /// Time that a request takes.
    pub work: Duration,
    /// One request in so many fails with 500 at once; 0: none.
    pub fail_every: u64,
    /// It says nothing at all.
    pub silent: bool,
}

impl Default for Manner {
    fn default() -> Manner {
        Manner { work: Duration::from_millis(20), fail_every: 0, silent: false }
    }
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// `Request-Id`.
    pub id: String,
    /// Method and path.
    pub line: String,
    /// When its last byte came.
    pub began: Instant,
    /// When it was answered, or its connection ended.
    pub ended: Option<Instant>,
    /// Where its connection came from.
    pub from: Option<SocketAddr>,
}

#[derive(Default)]
struct State {
    manner: Manner,
    runs: Vec<Run>,
}

/// A booking server.
#[derive(Clone)]
pub struct Region {
    /// Its uid.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Region {
    /// Starts one.
    pub fn start(name: &str) -> Region {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let address = listen(move |stream| serve(stream, &shared));
        Region { name: name.to_string(), address, state }
    }

    /// From now on it answers like this.
    pub fn set(&self, manner: Manner) {
        self.state.lock().expect("state").manner = manner;
    }

    /// What it has run.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("state").runs.clone()
    }

    /// Its line in a service table.
    pub fn line(&self, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"east","pod_group":1,"state":"{state}","boot_ms":0}}"#,
            self.name, self.address
        )
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) {
    let from = stream.peer_addr().ok();
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let (number, manner) = {
            let mut state = state.lock().expect("state");
            let id = message.get("request-id").unwrap_or_default().to_string();
            let line = message.line.trim_end_matches(" HTTP/1.1").to_string();
            state.runs.push(Run { id, line, began: Instant::now(), ended: None, from });
            (state.runs.len() - 1, state.manner)
        };
        if manner.silent {
            // Holds the connection until the other side gives up.
            let mut byte = [0; 1];
            let _ = std::io::Read::read(&mut reader, &mut byte);
            state.lock().expect("state").runs[number].ended = Some(Instant::now());
            return;
        }
        let fails = manner.fail_every > 0 && (number as u64).is_multiple_of(manner.fail_every);
        if !fails && gave_up(reader.get_ref(), manner.work) {
            state.lock().expect("state").runs[number].ended = Some(Instant::now());
            return;
        }
        state.lock().expect("state").runs[number].ended = Some(Instant::now());
        let status = if fails { "500 Failed" } else { "200 OK" };
        let answer = format!("HTTP/1.1 {status}\r\nX-Settled: 1\r\nContent-Length: 3\r\n\r\nran");
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Works for so long; `true` if the other side ended the connection meanwhile, which gives the attempt up.
fn gave_up(stream: &TcpStream, work: Duration) -> bool {
    let ends = Instant::now() + work;
    loop {
        let left = ends.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let looked = stream.peek(&mut [0; 1]);
        let _ = stream.set_read_timeout(None);
        match looked {
            Ok(0) => return true,
            // More came behind the request: nothing to wait for.
            Ok(_) => {
                std::thread::sleep(left);
                return false;
            }
            Err(why)
                if why.kind() == std::io::ErrorKind::WouldBlock
                    || why.kind() == std::io::ErrorKind::TimedOut => {}
            Err(_) => return true,
        }
    }
}

/// Ids that ran more than once over all regions, and ids that had two attempts out at a time.
pub fn doubles(regions: &[Region]) -> (Vec<String>, Vec<String>) {
    let mut by_id: HashMap<String, Vec<Run>> = HashMap::new();
    for run in regions.iter().flat_map(Region::runs) {
        by_id.entry(run.id.clone()).or_default().push(run);
    }
    let (mut twice, mut at_once) = (Vec::new(), Vec::new());
    for (id, mut runs) in by_id {
        runs.sort_by_key(|run| run.began);
        if runs.len() > 1 {
            twice.push(id.clone());
        }
        if runs.windows(2).any(|pair| pair[0].ended.is_none_or(|ended| ended > pair[1].began)) {
            at_once.push(id);
        }
    }
    (twice, at_once)
}
