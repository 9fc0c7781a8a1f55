//! Discovery's agent: a list that can be set, told to every watch.

use crate::{listen, read_message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    rev: u64,
    lines: Vec<String>,
    watches: Vec<TcpStream>,
}

impl State {
    fn table(&self) -> String {
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.rev, self.lines.join(","))
    }
}

/// Discovery's agent.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

impl Discovery {
    /// Starts one with these lines of a service table.
    pub fn start(lines: Vec<String>) -> Discovery {
        let state = Arc::new(Mutex::new(State { rev: 1, lines, watches: Vec::new() }));
        let shared = state.clone();
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream);
            if read_message(&mut reader).is_none() {
                return;
            }
            let mut stream = reader.into_inner();
            let mut state = shared.lock().expect("state");
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if stream.write_all((head.to_string() + &chunk(&state.table())).as_bytes()).is_ok() {
                state.watches.push(stream);
            }
        });
        let beating = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_secs(1));
            let mut state = beating.lock().expect("state");
            state.watches.retain_mut(|stream| stream.write_all(chunk("").as_bytes()).is_ok());
        });
        Discovery { address, state }
    }

    /// Sets the list and tells it.
    pub fn set(&self, lines: Vec<String>) {
        let mut state = self.state.lock().expect("state");
        (state.rev, state.lines) = (state.rev + 1, lines);
        let text = chunk(&state.table());
        state.watches.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }
}
