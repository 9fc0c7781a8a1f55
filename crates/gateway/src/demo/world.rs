//! A toy world on loopback: booking servers, discovery's agent and a counter, each on a port of its own. Not for
//! service: a thread for each connection, and no bounds but those of a demonstration.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Where its parts listen.
#[derive(Debug, Clone)]
pub struct World {
    /// Booking servers by name.
    pub regions: Vec<(String, SocketAddr)>,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Reads a request: its first line, or `None` at the connection's end.
fn request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first, mut length) = (String::new(), 0);
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(first.trim().to_string())
}

/// A booking server: 40 ms for everything. Unless it is the last one, a path with `fails` fails, and one with
/// `full` is turned away unseen.
fn region(name: &str, last: bool, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(line) = request(&mut reader) {
        let (status, extra) = match () {
            () if !last && line.contains("fails") => ("500 Internal Server Error", ""),
            () if !last && line.contains("full") => ("503 Service Unavailable", "Not-Started: 1\r\n"),
            () => {
                std::thread::sleep(Duration::from_millis(40));
                ("200 OK", "X-Settled: 1\r\n")
            }
        };
        let body = format!("{name} did {}\n", line.trim_end_matches(" HTTP/1.1"));
        let head = format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n", body.len());
        if reader.get_mut().write_all((head + body.as_str()).as_bytes()).is_err() {
            return;
        }
    }
}

/// Discovery's agent: the list once, then an empty line every 2 s.
fn discovery(stream: TcpStream, regions: &[(String, SocketAddr)]) {
    let mut reader = BufReader::new(stream);
    if request(&mut reader).is_none() {
        return;
    }
    let entry = |(uid, endpoint): &(String, SocketAddr)| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"east-wing","pod_group":1,"state":"Ready","boot_ms":0}}"#
        )
    };
    let targets: Vec<String> = regions.iter().map(entry).collect();
    let mut line = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.join(","));
    let stream = reader.get_mut();
    let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while sent.is_ok() {
        sent = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
        line.clear();
        std::thread::sleep(Duration::from_secs(2));
    }
}

/// The counter: numbers by name.
fn counter(stream: TcpStream, totals: &Mutex<HashMap<String, f64>>) {
    let mut reader = BufReader::new(stream);
    let word = |reader: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        Some(line.trim().to_string())
    };
    while let Some(count) =
        word(&mut reader).and_then(|text| text.trim_start_matches('*').parse::<usize>().ok())
    {
        let parts: Vec<String> =
            (0..count).map_while(|_| word(&mut reader).and_then(|_| word(&mut reader))).collect();
        let answer = match parts.as_slice() {
            [verb, name, amount, _life] if verb == "INCRTTL" => {
                let Ok(mut totals) = totals.lock() else { return };
                let total = totals.entry(name.clone()).or_default();
                *total += amount.parse::<f64>().unwrap_or(0.0);
                format!("${}\r\n{total}\r\n", total.to_string().len())
            }
            [verb, ..] if verb == "PING" => "+PONG\r\n".to_string(),
            _ => "-ERR no such call\r\n".to_string(),
        };
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

impl World {
    /// Starts so many booking servers, discovery and a counter; they end with the process.
    pub fn start(regions: usize) -> std::io::Result<World> {
        let mut listed = Vec::new();
        for at in 1..=regions {
            let name = format!("toy-{at}");
            let own = name.clone();
            listed.push((name, listen(move |stream| region(&own, at == regions, stream))?));
        }
        let told = listed.clone();
        let discovery = listen(move |stream| discovery(stream, &told))?;
        let totals = Arc::new(Mutex::new(HashMap::new()));
        let counter = listen(move |stream| counter(stream, &totals))?;
        Ok(World { regions: listed, discovery, counter })
    }
}
