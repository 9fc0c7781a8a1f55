//! Stand-ins and rigs for tests and benches, all on loopback and bounded: booking servers that remember what ran,
//! discovery, a counter that can be cut, gateways as processes, and a steady load that counts its answers.

pub mod checks;
pub mod counter;
pub mod discovery;
pub mod gateway;
pub mod load;
pub mod network;
pub mod region;
pub mod rig;

use std::net::{SocketAddr, TcpListener, TcpStream};

/// Listens on a port of its own; a thread serves each connection.
pub(crate) fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A message of HTTP/1.1 with a body of a stated length.
#[derive(Debug, Clone)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names and values.
    pub head: Vec<(String, String)>,
}

impl Message {
    /// A header's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Reads a message whole; `None` at the connection's end.
pub fn read_message(reader: &mut impl std::io::BufRead) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut message = Message { line: line.trim_end().to_string(), head: Vec::new() };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        if line.trim_end().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.head.push((name.to_string(), value.trim().to_string()));
        }
    }
    let length = message.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(message)
}
