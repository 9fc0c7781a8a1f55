//! The quota counter: numbers by name with a life, and troubles on order.

use crate::listen;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How it behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Manner {
    /// Adds and answers.
    #[default]
    Fine,
    /// Says nothing, and works on what has come only when it is fine again: answers keep the order of the calls.
    Dark,
}

#[derive(Default)]
struct State {
    manner: Manner,
    totals: HashMap<String, (f64, Instant)>,
    /// Units added by name, over all time: what was taken in all.
    added: HashMap<String, f64>,
}

/// The counter.
#[derive(Clone)]
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Counter {
    /// Starts one.
    pub fn start() -> Counter {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let address = listen(move |stream| {
            serve(stream, &shared);
        });
        Counter { address, state }
    }

    /// From now on it behaves like this.
    pub fn set(&self, manner: Manner) {
        self.state.lock().expect("state").manner = manner;
    }

    /// Names called so far.
    pub fn names(&self) -> Vec<String> {
        self.state.lock().expect("state").added.keys().cloned().collect()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) -> Option<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let count: usize = line.trim().strip_prefix('*')?.parse().ok().filter(|count| *count <= 8)?;
        let mut parts = Vec::new();
        for _ in 0..count {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
            let length: usize =
                line.trim().strip_prefix('$')?.parse().ok().filter(|length| *length <= 256)?;
            let mut part = vec![0; length + 2];
            reader.read_exact(&mut part).ok()?;
            part.truncate(length);
            parts.push(String::from_utf8(part).ok()?);
        }
        let answer = match parts.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
            ["INCRTTL", name, amount, life] => {
                while state.lock().expect("state").manner == Manner::Dark {
                    std::thread::sleep(Duration::from_millis(5));
                }
                Some(add(&mut state.lock().expect("state"), name, amount, life)?)
            }
            ["PING"] => Some("+PONG\r\n".to_string()),
            _ => Some("-ERR no such call\r\n".to_string()),
        };
        if let Some(answer) = answer {
            reader.get_mut().write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// The answer; `None` ends the connection.
fn add(state: &mut State, name: &str, amount: &str, life: &str) -> Option<String> {
    let (amount, life) = (amount.parse::<f64>().ok()?, life.parse::<u64>().ok()?.clamp(1, 60_000));
    *state.added.entry(name.to_string()).or_default() += amount;
    let now = Instant::now();
    let ends = now + Duration::from_millis(life);
    let entry = state.totals.entry(name.to_string()).or_insert((0.0, ends));
    if entry.1 <= now {
        *entry = (0.0, ends);
    }
    entry.0 += amount;
    // Exact to seven digits, as the protocol has it.
    let total = format!("{:.6e}", entry.0).parse::<f64>().ok()?.to_string();
    Some(format!("${}\r\n{total}\r\n", total.len()))
}
