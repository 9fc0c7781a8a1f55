//! A steady, open load: requests leave at their times whether or not earlier ones are answered, each with an id of
//! its own, and every answer is counted by its client.

use crate::read_message;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Method and path.
    pub line: String,
    /// Plan.
    pub plan: String,
    /// With an idempotency key.
    pub keyed: bool,
    /// Its franchisees are so many, numbered from this one.
    pub franchisees: std::ops::Range<u64>,
}

/// Lookups, check-ins and holds on three plans, each kind from so many franchisees.
pub fn mixed_shapes(franchisees: u64) -> Vec<Shape> {
    let shape = |line: &str, plan: &str, keyed: bool, from: u64| Shape {
        line: line.into(),
        plan: plan.into(),
        keyed,
        franchisees: from..from + franchisees,
    };
    vec![
        shape("GET /slot-lookup/1", "standard", false, 100),
        shape("POST /donor-checkin/1", "starter", false, 200),
        shape("POST /slot-hold/1", "standard", true, 100),
        shape("GET /slot-lookup/2", "growth", false, 300),
        shape("POST /donor-checkin/2", "standard", false, 100),
    ]
}

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its id.
    pub id: String,
    /// Index of its shape.
    pub shape: usize,
    /// Index of the gateway's address.
    pub gateway: usize,
    /// Its franchisee.
    pub franchisee: u64,
    /// When it left.
    pub sent: Instant,
    /// When its answer was whole, or given up.
    pub done: Instant,
    /// Status; `None`: no answer before the client's patience was over, or a broken connection.
    pub status: Option<u16>,
    /// More bytes came behind the answer: a second one.
    pub more: bool,
}

/// A load that runs.
pub struct Load {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// Addresses of gateways; `None`: that one is down.
pub type Addresses = Arc<Mutex<Vec<Option<String>>>>;

/// Time that a client gives its request.
pub const PATIENCE: Duration = Duration::from_millis(2_000);

impl Load {
    /// Sends `rate` requests a second in all, in turn to these addresses and of these shapes, until it is stopped
    /// or a minute is over.
    pub fn start(addresses: Vec<String>, rate: f64, shapes: Vec<Shape>) -> Load {
        let addresses = addresses.into_iter().map(Some).collect();
        Load::over(Arc::new(Mutex::new(addresses)), rate, shapes, 1, Duration::from_secs(60))
    }

    /// The same, with requests that say they come through so many `doors`, over addresses that may change while it runs; a gateway that has none at a time gets nothing then.
    /// Ends by itself after `most`.
    pub fn over(addresses: Addresses, rate: f64, shapes: Vec<Shape>, doors: usize, most: Duration) -> Load {
        let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (to, orders) = channel::<(u64, Instant)>();
        let orders = Arc::new(Mutex::new(orders));
        let shapes = Arc::new(shapes);
        // One client a thread: enough that none of them is waited for at these rates and this patience.
        let workers = ((rate * 0.5) as usize).clamp(16, 256);
        let mut threads: Vec<_> = (0..workers)
            .map(|_| {
                let (orders, answers) = (orders.clone(), answers.clone());
                let (addresses, shapes) = (addresses.clone(), shapes.clone());
                std::thread::spawn(move || work(&orders, &addresses, &shapes, doors, &answers))
            })
            .collect();
        let stopped = stop.clone();
        threads.push(std::thread::spawn(move || pace(&stopped, rate, most, &to)));
        Load { stop, answers, threads }
    }

    /// Answers so far.
    pub fn answers(&self) -> Vec<Answer> {
        self.answers.lock().expect("answers").clone()
    }

    /// Stops it, waits for what is out, and gives all answers in the order of their sending.
    pub fn stop(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client's thread");
        }
        let mut answers = std::mem::take(&mut *self.answers.lock().expect("answers"));
        answers.sort_by_key(|answer| answer.sent);
        answers
    }
}

fn pace(stop: &AtomicBool, rate: f64, most: Duration, to: &Sender<(u64, Instant)>) {
    let began = Instant::now();
    for number in 0.. {
        let due = began + Duration::from_secs_f64(number as f64 / rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let over = stop.load(Ordering::Relaxed) || began.elapsed() > most;
        if over || to.send((number, due)).is_err() {
            return;
        }
    }
}

fn work(
    orders: &Mutex<Receiver<(u64, Instant)>>,
    addresses: &Mutex<Vec<Option<String>>>,
    shapes: &[Shape],
    doors: usize,
    answers: &Mutex<Vec<Answer>>,
) {
    static RUN: AtomicU64 = AtomicU64::new(1);
    let run = RUN.fetch_add(1, Ordering::Relaxed);
    let count = addresses.lock().expect("addresses").len();
    let mut connections: Vec<Option<BufReader<TcpStream>>> = (0..count).map(|_| None).collect();
    loop {
        let order = orders.lock().expect("orders").recv();
        let Ok((number, sent)) = order else { return };
        let at = number as usize % count;
        let shape = (number as usize / count) % shapes.len();
        let Some(address) = addresses.lock().expect("addresses")[at].clone() else { continue };
        let id = format!("{run:x}-{number:x}");
        let range = &shapes[shape].franchisees;
        let franchisee = range.start + number / 7 % (range.end - range.start).max(1);
        let (status, more) = ask(&mut connections[at], &address, &shapes[shape], &id, franchisee, doors);
        let (gateway, done) = (at, Instant::now());
        answers.lock().expect("answers").push(Answer {
            id,
            shape,
            gateway,
            franchisee,
            sent,
            done,
            status,
            more,
        });
    }
}

fn ask(
    kept: &mut Option<BufReader<TcpStream>>,
    address: &str,
    shape: &Shape,
    id: &str,
    franchisee: u64,
    doors: usize,
) -> (Option<u16>, bool) {
    let key = if shape.keyed { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    let request = format!(
        "{} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nX-Contract: {}\r\nX-Client-Id: {:016x}\r\n\
        Request-Timeout: {:.3}\r\n{key}X-Metering: units=1,spread={doors},first=0\r\nContent-Length: 0\r\n\r\n",
        shape.line,
        shape.plan,
        franchisee,
        PATIENCE.as_secs_f64(),
    );
    // A connection that the gateway closed between requests is replaced once, as the protocol has it.
    for fresh in [false, true] {
        let mut reader = match kept.take().filter(|_| !fresh) {
            Some(reader) => reader,
            None => {
                let Ok(stream) = TcpStream::connect(address) else { continue };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(PATIENCE + Duration::from_millis(200)));
                BufReader::new(stream)
            }
        };
        if reader.get_mut().write_all(request.as_bytes()).is_err() {
            continue;
        }
        let began = Instant::now();
        let Some(message) = read_message(&mut reader) else {
            if began.elapsed() >= PATIENCE {
                return (None, false);
            }
            continue;
        };
        let status = message.line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let stream = reader.get_ref();
        let _ = stream.set_nonblocking(true);
        let more = !reader.buffer().is_empty() || matches!(reader.get_mut().read(&mut [0; 1]), Ok(1..));
        let _ = reader.get_ref().set_nonblocking(false);
        if message.get("connection") != Some("close") {
            *kept = Some(reader);
        }
        return (status, more);
    }
    (None, false)
}
