//! A stand-in gateway that breaks every rule that the rig checks: it sends each request to two servers at once, by the
//! list of its start whatever it is told since, without asking anybody about units; some it answers twice, some never.
//! Not a tool: the rig's own tests play it to see that its checkers find what they are for.

use nickeljunction_testkit::read_message;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

fn forward(endpoint: &str, line: &str, id: &str) -> Option<()> {
    let mut stream = TcpStream::connect(endpoint).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    write!(stream, "{line}\r\nHost: x\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n").ok()?;
    read_message(&mut BufReader::new(stream)).map(drop)
}

fn serve(stream: TcpStream, endpoints: &[String], count: &AtomicUsize) {
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let id = message.get("request-id").unwrap_or_default().to_string();
        let (line, at) = (message.line.clone(), number % endpoints.len());
        let (one, other) = (endpoints[at].clone(), endpoints[(at + 1) % endpoints.len()].clone());
        let beside = {
            let (line, id) = (line.clone(), id.clone());
            std::thread::spawn(move || forward(&other, &line, &id))
        };
        let _ = forward(&one, &line, &id);
        let _ = beside.join();
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";
        let answer = match number % 20 {
            0 => {
                std::thread::sleep(Duration::from_secs(4));
                return;
            }
            1 => answer.repeat(2),
            _ => answer.to_string(),
        };
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn main() {
    let path = std::env::var("EDGE_CONFIG").expect("EDGE_CONFIG names a configuration");
    let text = std::fs::read_to_string(path).expect("a configuration");
    let config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let targets = config["known"]["targets"].as_array().cloned().unwrap_or_default();
    let endpoints = targets.iter().filter_map(|target| Some(target["endpoint"].as_str()?.to_string()));
    let (endpoints, count) = (Arc::new(endpoints.collect::<Vec<_>>()), Arc::new(AtomicUsize::new(0)));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    eprintln!("INFO serving listen={}", listener.local_addr().expect("its address"));
    for stream in listener.incoming().flatten() {
        let (endpoints, count) = (endpoints.clone(), count.clone());
        std::thread::spawn(move || serve(stream, &endpoints, &count));
    }
}
