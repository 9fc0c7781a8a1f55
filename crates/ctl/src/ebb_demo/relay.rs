//! A relay before one gateway that breaks it on purpose, so that the check is seen to fail on live traffic.

use super::record::{FIRST, KINDS, LAPSED, TENANTS};
use super::scene::{key, Broken};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Longest request, bytes.
const MOST: usize = 64 << 10;
/// What is added on purpose.
const ADDED: Duration = Duration::from_millis(150);
/// One in so many is denied or lost.
const EACH: usize = 4;

/// Listens on loopback and hands on to `to`; gives its own address. What begins with the lapse begins with `lapsed`.
pub fn start(broken: Broken, to: String, lapsed: Arc<AtomicBool>) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let own = listener.local_addr()?.to_string();
    let count = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (to, lapsed, count) = (to.clone(), lapsed.clone(), count.clone());
            // A connection that breaks is the client's to notice.
            std::thread::spawn(move || hand_on(broken, stream, &to, lapsed.load(Ordering::Relaxed), &count));
        }
    });
    Ok(own)
}

fn hand_on(
    broken: Broken,
    mut client: TcpStream,
    to: &str,
    lapsed: bool,
    count: &AtomicUsize,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    let asked = read(&mut client)?;
    let text = String::from_utf8_lossy(&asked);
    let first = |rank: u32| {
        KINDS.iter().any(|kind| kind.rank == rank && text.starts_with(&format!("GET /{}/", kind.name)))
    };
    let booking = text.starts_with("POST ");
    let slowed = lapsed && text.contains(&key(TENANTS[LAPSED]));
    let each = || count.fetch_add(1, Ordering::Relaxed).is_multiple_of(EACH);
    match broken {
        Broken::Uneven if slowed && first(FIRST) => std::thread::sleep(ADDED),
        Broken::Late if slowed && booking => std::thread::sleep(ADDED),
        Broken::Lost if each() => return Ok(()),
        _ => (),
    }
    let answer = ask(&asked, to)?;
    match broken {
        Broken::Twice if booking => drop(ask(&asked, to)),
        Broken::Denied if booking && each() => {
            let told = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            return client.write_all(told.as_bytes());
        }
        _ => (),
    }
    client.write_all(&answer)
}

/// Clients of the demonstration close after each answer.
fn ask(asked: &[u8], to: &str) -> io::Result<Vec<u8>> {
    let mut gateway = TcpStream::connect(to)?;
    gateway.set_nodelay(true)?;
    gateway.write_all(asked)?;
    let mut answer = Vec::new();
    gateway.read_to_end(&mut answer)?;
    Ok(answer)
}

/// One request, whole.
fn read(client: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        let mut space = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut space);
        if let Ok(httparse::Status::Complete(end)) = parsed.parse(&bytes) {
            let line = parsed.headers.iter().find(|line| line.name.eq_ignore_ascii_case("content-length"));
            let length = line.and_then(|line| std::str::from_utf8(line.value).ok()?.parse::<usize>().ok());
            if bytes.len() >= end + length.unwrap_or(0) {
                return Ok(bytes);
            }
        }
        let mut space = [0; 4096];
        let count = client.read(&mut space)?;
        if count == 0 || bytes.len() > MOST {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "no whole request"));
        }
        bytes.extend_from_slice(&space[..count]);
    }
}
