//! A toy world for trying the gateway: two booking servers, discovery's agent and a counter, on loopback.
//!
//! `cargo run --example toy` prints what to start next. Nothing here is meant for service.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:18500";
const COUNTER: &str = "127.0.0.1:16400";
const REGIONS: [(&str, &str); 2] = [("toy-1", "127.0.0.1:17071"), ("toy-2", "127.0.0.1:17072")];

fn listen(address: &str, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(())
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

/// A booking server: takes 40 ms for everything and says what it did.
fn region(name: &str, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(line) = request(&mut reader) {
        println!("{name}: {line}");
        std::thread::sleep(Duration::from_millis(40));
        let body = format!("{name} did {line}\n");
        let head = format!("HTTP/1.1 200 OK\r\nX-Settled: 1\r\nContent-Length: {}\r\n\r\n", body.len());
        if reader.get_mut().write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Discovery's agent: the list once, then an empty line every 2 s.
fn discovery(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    if request(&mut reader).is_none() {
        return;
    }
    let entry = |(uid, endpoint): &(&str, &str)| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"east-wing","pod_group":1,"state":"Ready","boot_ms":0}}"#
        )
    };
    let targets: Vec<String> = REGIONS.iter().map(entry).collect();
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
                println!("counter: {name} {amount} makes {total}");
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

fn main() -> std::io::Result<()> {
    for (name, address) in REGIONS {
        listen(address, move |stream| region(name, stream))?;
    }
    listen(DISCOVERY, discovery)?;
    let totals = Arc::new(Mutex::new(HashMap::new()));
    listen(COUNTER, move |stream| counter(stream, &totals))?;
    println!("In a second terminal: make run CONFIG=examples/config.json");
    println!("In a third: sh examples/try.sh");
    loop {
        std::thread::park();
    }
}
