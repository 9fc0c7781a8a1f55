//! A small language for tests over real sockets: each line is `actor: verb words`, with the verbs send,
//! expect, close and wait. Actors: clients (`a`, `b`, ...), regions (`r1`, ...), the counter `c`,
//! discovery `d` and the program itself, `gateway`. Every stand-in listens on a loopback port of its own.
//!
//!     a: send GET /safe/1 units=2        a client's request; more words: plan, customer, timeout, key, body, id
//!     r1: expect GET /safe/1             the region got it
//!     r1: send 200 hello settled=3       and answers
//!     a: expect 200 hello                the client has its answer; a last word `retry` wants a Retry-After
//!     a: raw GET / HTTP/1.1\r\n\r\n       bytes as they are (clients, regions, discovery); none: just connects
//!     first: expect GET /safe/1          whichever region gets it next; `second`: another one than `first`; both
//!     first: send 200 hello              then stand for their region
//!     r1: close | a: expect eof | d: send r1 Terminating | gateway: send TERM | wait 50
//!     gateway: move counter              a new counter (or discovery), written into the configuration
//!     gateway: write {}                  a configuration of another text
//!     gateway: log listen                its log has a line with this text

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Longest wait for anything; only a broken program takes so long.
const PATIENCE: Duration = Duration::from_secs(20);

pub type Head = BTreeMap<String, String>;

/// One message: first line, header lines by lower-case name, body.
pub struct Message {
    pub line: String,
    pub head: Head,
    pub body: String,
    stream: TcpStream,
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_string()),
        }
    }
    let split = |line: &String| line.split_once(':').map(|(a, b)| (a.to_lowercase(), b.trim().to_string()));
    let head: Head = lines[1..].iter().filter_map(split).collect();
    let mut body = vec![0; head.get("content-length").map_or(0, |n| n.parse().expect("a length"))];
    reader.read_exact(&mut body).ok()?;
    let stream = reader.get_ref().try_clone().expect("a second handle");
    Some(Message { line: lines[0].clone(), head, body: String::from_utf8_lossy(&body).into(), stream })
}

/// Listens; each connection is read by `read` until it returns.
fn stand_in(read: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let read = read.clone();
            std::thread::spawn(move || read(stream));
        }
    });
    address
}

fn region(to: Sender<Option<Message>>) -> SocketAddr {
    stand_in(move |stream| {
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let _ = to.send(Some(message));
        }
        let _ = to.send(None);
    })
}

/// Keeps numbers by name and tells of each call, as `NAME AMOUNT`.
fn counter(to: Sender<String>) -> SocketAddr {
    let totals = std::sync::Arc::new(std::sync::Mutex::new(HashMap::<String, f64>::new()));
    stand_in(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut word = || {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
            Some(line.trim_end().to_string())
        };
        let mut call = || -> Option<String> {
            let count: usize = word()?.trim_start_matches('*').parse().ok()?;
            let parts: Vec<String> = (0..count).map_while(|_| word().and_then(|_| word())).collect();
            if parts.len() < 4 {
                return Some("+PONG\r\n".into());
            }
            let mut totals = totals.lock().expect("totals");
            let total = totals.entry(parts[1].clone()).or_default();
            *total += parts[2].parse::<f64>().ok()?;
            let _ = to.send(format!("{} {}", parts[1], parts[2]));
            Some(format!("${}\r\n{total}\r\n", total.to_string().len()))
        };
        while let Some(answer) = call() {
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Takes watches, to be told what a scenario says.
fn discovery(to: Sender<TcpStream>) -> SocketAddr {
    stand_in(move |stream| {
        let mut reader = BufReader::new(stream);
        while let Some(mut message) = read_message(&mut reader) {
            let _ = message.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let _ = to.send(message.stream);
        }
    })
}

/// A region: where it listens, what came (`None`: a connection's end), and what is to be answered.
struct Region {
    address: SocketAddr,
    from: Receiver<Option<Message>>,
    last: Option<Message>,
}

pub struct Rig {
    gateway: Child,
    /// Its configuration: the file and the text with which it began, with the later addresses.
    config: (PathBuf, String),
    counter_at: SocketAddr,
    discovery_at: SocketAddr,
    log: Receiver<String>,
    listen: String,
    /// The admin door, where the files name `("admin", "")`.
    pub admin: Option<String>,
    clients: BTreeMap<String, BufReader<TcpStream>>,
    regions: BTreeMap<String, Region>,
    counter: Receiver<String>,
    watch: Receiver<TcpStream>,
    watching: Option<TcpStream>,
    sent: u64,
    called: Option<String>,
    /// Which regions `first` and `second` stand for.
    aliases: BTreeMap<String, String>,
}

/// Waits until the counter's names of the scenarios' customers, 7 and 8, will not change for a while: a window that ends
/// within a scenario carries use into the next name, and the amounts of calls differ.
fn clear_of_windows() {
    const WINDOW_MS: f64 = 30_000.0;
    const CLEAR_MS: f64 = 2_500.0;
    for customer in [7.0, 8.0, 7.0] {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
        let phase = (customer * 0.618_033_988_75_f64).fract() * WINDOW_MS;
        let left = WINDOW_MS - (unix.as_secs_f64() * 1e3 + phase).rem_euclid(WINDOW_MS);
        if left < CLEAR_MS {
            std::thread::sleep(Duration::from_millis(left as u64 + 20));
        }
    }
}

/// A directory for this test's files, removed with the rig's files by the system.
fn file(name: &str, text: &str) -> PathBuf {
    static NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("nickeljunction-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join(name), text).expect("a file");
    folder.join(name)
}

/// Writes a file that another's text names, and gives that text with its full name.
#[allow(dead_code)]
pub fn naming(text: &str, other: &str, content: &str) -> String {
    text.replace(other, &file(other, content).display().to_string())
}

/// The settings of all scenarios: three classes, a small plan and a large one.
pub const SETTINGS: &str = r#"{"Me":0,"Siblings":1,"Locality":"east","StepMs":2.0,"Classes":[
 {"Name":"safe","AimMs":4000,"GiveUpMs":12000,"Repeat":"repeatable","Group":"all","KeyTtlMs":1000,"Worth":1},
 {"Name":"keyed","AimMs":4000,"GiveUpMs":12000,"Repeat":"by_key","Group":"all","KeyTtlMs":5000,"Worth":1},
 {"Name":"once","AimMs":4000,"GiveUpMs":12000,"Repeat":"once","Group":"all","KeyTtlMs":1000,"Worth":1}],
 "TiersOfService":[{"Name":"small","Refill":0.001,"PeakUnits":4,"WorthFactor":1,"OverCost":1},
 {"Name":"large","Refill":1,"PeakUnits":100000,"WorthFactor":1,"OverCost":1}],
 "Extra":{"Counter":true,"CounterTimeoutMs":2000,"Settles":true,"UnitsTop":6},"Discovery":"automatic",
 "Permissions":{"MayCancel":true,"MaxAttempts":3,"MaxRetryAfterMs":2000,"RetryAfter":true,
 "SecondCopies":false,"ConnectTimeoutMs":2000,"IdleCloseMs":30000},
 "Guarantees":{"ColdFrom":0.15,"ColdMs":1000,"DrainGraceMs":1000,"FallMultiple":2,"FallMs":1500}}"#;

impl Rig {
    /// A gateway with `regions` in its service table, and operators' files by the variables that name them.
    #[allow(dead_code)]
    pub fn new(regions: usize, files: &[(&str, &str)]) -> Rig {
        Rig::on(regions, files, None)
    }

    /// A gateway as [`Rig::new`] starts it, on a listening socket handed on as descriptor 3 in `EDGE_SOCKET_FD`.
    #[allow(dead_code)]
    pub fn sharing(regions: usize, files: &[(&str, &str)], socket: &TcpListener) -> Rig {
        Rig::on(regions, files, Some(socket))
    }

    /// Another process on the same configuration and handed-on socket, once it serves; its log is read away.
    #[allow(dead_code)]
    pub fn successor(&self, socket: &TcpListener) -> Child {
        let mut next = start_on(&self.config.0, &[], Some(socket));
        let mut log = BufReader::new(next.stderr.take().expect("its log")).lines().map_while(Result::ok);
        log.find(|line| line.contains("serving")).expect("it serves");
        std::thread::spawn(move || log.for_each(drop));
        next
    }

    fn on(regions: usize, files: &[(&str, &str)], socket: Option<&TcpListener>) -> Rig {
        clear_of_windows();
        let names: Vec<String> = (1..=regions).map(|at| format!("r{at}")).collect();
        let regions: BTreeMap<_, _> = (names.into_iter())
            .map(|name| {
                let (to, from) = channel();
                (name, Region { address: region(to), from, last: None })
            })
            .collect();
        let (calls, counted) = channel();
        let (watches, watch) = channel();
        let (counter_at, discovery_at) = (counter(calls), discovery(watches));
        let entry = |(name, region): (&String, &Region)| target(name, region.address, "Ready");
        let known: Vec<String> = regions.iter().map(entry).collect();
        let door = if files.iter().any(|(name, _)| *name == "admin") {
            r#""admin_addr":"127.0.0.1:0","#
        } else {
            ""
        };
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0",{door}"discovery":"{discovery_at}","seed":"07","counter":"{counter_at}",
            "limits":{{"sockets":256}},"known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
            known.join(",")
        );
        let path = file("config.json", &config);
        let mut gateway = start_on(&path, files, socket);
        let mut log = BufReader::new(gateway.stderr.take().expect("its log")).lines().map_while(Result::ok);
        let mut admin = None;
        let serving = log
            .find(|line| {
                if let Some(at) = line.split("admin=").nth(1) {
                    admin = Some(at.split_whitespace().next().unwrap_or_default().to_string());
                }
                line.contains("serving")
            })
            .expect("it serves");
        let listen = serving.split("listen=").nth(1).expect("its address").trim_matches('"').to_string();
        // Nobody may block it by leaving its log unread.
        let (to, lines) = channel();
        std::thread::spawn(move || log.for_each(|line| drop(to.send(line))));
        let (clients, watching, config) = (BTreeMap::new(), None, (path, config));
        Rig {
            gateway,
            config,
            counter_at,
            discovery_at,
            log: lines,
            listen,
            admin,
            clients,
            regions,
            counter: counted,
            watch,
            watching,
            sent: 0,
            called: None,
            aliases: BTreeMap::new(),
        }
    }

    /// What a service table says of a region.
    #[allow(dead_code)]
    pub fn target(&self, name: &str) -> String {
        target(name, self.regions[name].address, "Ready")
    }

    /// How many descriptors the gateway holds now.
    #[allow(dead_code)]
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.gateway.id())).expect("its descriptors").count()
    }

    /// Plays a scenario and returns what the clients and regions saw, line by line.
    pub fn play(&mut self, scenario: &str) -> Vec<String> {
        let mut seen = Vec::new();
        for (at, line) in scenario.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            if let Some(ms) = line.strip_prefix("wait ") {
                std::thread::sleep(Duration::from_millis(ms.parse().expect("milliseconds")));
                continue;
            }
            let (actor, rest) = line.split_once(": ").expect("actor: verb words");
            let (verb, words) = rest.split_once(' ').unwrap_or((rest, ""));
            let done = match actor {
                "gateway" => self.process(verb, words),
                "c" => self.count(words),
                "d" => self.discovery(verb, words),
                "admin" => self.call(verb, words),
                "first" | "second" => self.either(actor, verb, words),
                _ if self.regions.contains_key(actor) => self.region(actor, verb, words),
                _ => self.client(actor, verb, words),
            };
            match done {
                Ok(text) => seen.push(format!("{actor} {text}")),
                Err(why) => panic!("line {}: {line}: {why}", at + 1),
            }
        }
        seen
    }

    /// A call at the admin door: `admin: GET /v1/readyz` and `admin: expect 200 yes`, or
    /// `admin: has app.passed.safe:1|c` for a line of the last answer.
    fn call(&mut self, verb: &str, words: &str) -> Result<String, String> {
        match verb {
            "expect" => {
                let got = self.called.as_ref().ok_or("no call")?;
                let status = got.split(' ').nth(1).unwrap_or_default();
                let body = got.split("\r\n\r\n").nth(1).unwrap_or_default();
                let got = format!("{status} {}", body.trim_end());
                got.starts_with(words).then_some(got.clone()).ok_or(format!("got {got}"))
            }
            "has" => {
                let got = self.called.as_ref().ok_or("no call")?;
                got.lines().any(|line| line == words).then(|| words.to_string()).ok_or(format!("got {got}"))
            }
            method => {
                let (status, text) = admin_call(self.admin.as_ref().ok_or("no admin door")?, method, words)?;
                self.called = Some(text);
                Ok(format!("{method} {words}: {status}"))
            }
        }
    }

    fn client(&mut self, name: &str, verb: &str, words: &str) -> Result<String, String> {
        if verb != "expect" && verb != "close" && !self.clients.contains_key(name) {
            let stream = TcpStream::connect(&self.listen).map_err(|why| why.to_string())?;
            stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            self.clients.insert(name.into(), BufReader::new(stream));
        }
        let reader = self.clients.get_mut(name).ok_or("not connected")?;
        match verb {
            "send" => {
                self.sent += 1;
                let text = request(words, self.sent);
                reader.get_mut().write_all(text.as_bytes()).map_err(|why| why.to_string())?;
                Ok(words.into())
            }
            "raw" => {
                reader.get_mut().write_all(unescape(words).as_bytes()).map_err(|why| why.to_string())?;
                Ok(words.into())
            }
            "close" => {
                self.clients.remove(name);
                Ok("closed".into())
            }
            _ if words == "eof" => match read_message(reader) {
                None => self.clients.remove(name).map(|_| "eof".into()).ok_or("gone".into()),
                Some(message) => Err(format!("got {}", message.line)),
            },
            _ => {
                let message = read_message(reader).ok_or("no answer")?;
                let status = message.line.split(' ').nth(1).unwrap_or_default();
                let advice = if message.head.contains_key("retry-after") { " retry" } else { "" };
                let got = format!("{status} {}{advice}", message.body.trim_end());
                let fits = words.is_empty() || got.starts_with(words.trim_end_matches(" retry"));
                let advised = !words.ends_with("retry") || !advice.is_empty();
                if fits && advised {
                    Ok(got)
                } else {
                    Err(format!("got {got}"))
                }
            }
        }
    }

    /// Stands for the region that got a request first, or second: a gateway chooses by its own lights.
    fn either(&mut self, alias: &str, verb: &str, words: &str) -> Result<String, String> {
        if verb == "expect" && words != "eof" {
            // With `first` another request begins.
            if alias == "first" {
                self.aliases.clear();
            }
            let until = std::time::Instant::now() + PATIENCE;
            let found = 'found: loop {
                for (name, region) in &mut self.regions {
                    if self.aliases.values().any(|taken| taken == name) {
                        continue;
                    }
                    if let Ok(Some(message)) = region.from.try_recv() {
                        let got = message.line.trim_end_matches(" HTTP/1.1").to_string();
                        region.last = Some(message);
                        break 'found (name.clone(), got);
                    }
                }
                if std::time::Instant::now() > until {
                    return Err("nothing came".into());
                }
                std::thread::sleep(Duration::from_millis(2));
            };
            self.aliases.insert(alias.into(), found.0);
            return if found.1 == words { Ok(found.1) } else { Err(format!("got {}", found.1)) };
        }
        let name = self.aliases.get(alias).ok_or("it got nothing yet")?.clone();
        self.region(&name, verb, words)
    }

    fn region(&mut self, name: &str, verb: &str, words: &str) -> Result<String, String> {
        let Region { from, last, .. } = self.regions.get_mut(name).expect("looked up");
        match verb {
            "expect" => {
                let next = || from.recv_timeout(PATIENCE).map_err(|_| "nothing came");
                if words == "eof" {
                    return next()?.map_or(Ok("eof".into()), |m| Err(format!("got {}", m.line)));
                }
                // Ends of idle connections are the gateway's affair, unless they are asked for.
                let message = loop {
                    if let Some(message) = next()? {
                        break message;
                    }
                };
                let got = message.line.trim_end_matches(" HTTP/1.1").to_string();
                let mut parts = words.split(" key=");
                let (line, key) = (parts.next().unwrap_or_default(), parts.next());
                if line != got
                    || key.is_some_and(|key| message.head.get("idempotency-key").is_none_or(|k| k != key))
                {
                    return Err(format!("got {got}, {:?}", message.head));
                }
                *last = Some(message);
                Ok(got)
            }
            "close" => {
                let message = last.take().ok_or("nothing to close")?;
                message.stream.shutdown(Shutdown::Both).map_err(|why| why.to_string())?;
                // The reader of that connection tells of its end: not a surprise to a later line.
                from.recv_timeout(PATIENCE).map(|_| "closed".into()).map_err(|why| why.to_string())
            }
            // Which of these header lines the last request had.
            "head" => {
                let head = &last.as_ref().ok_or("nothing came")?.head;
                let had =
                    words.split(' ').filter_map(|name| head.get(name).map(|value| format!("{name}={value}")));
                Ok(had.collect::<Vec<_>>().join(" "))
            }
            _ => {
                let message = last.as_mut().ok_or("nothing to answer")?;
                let text = if verb == "raw" { unescape(words) } else { reply(words) };
                message.stream.write_all(text.as_bytes()).map_err(|why| why.to_string())?;
                Ok(words.into())
            }
        }
    }

    /// The next call that adds: `NAME AMOUNT` without the window's number in the name.
    fn count(&mut self, words: &str) -> Result<String, String> {
        let call = self.counter.recv_timeout(PATIENCE).map_err(|_| "no call")?;
        let (name, amount) = call.split_once(' ').expect("name and amount");
        let got = format!("{} {amount}", name.split('.').next().unwrap_or_default());
        if got == words || words.is_empty() {
            Ok(got)
        } else {
            Err(format!("got {got}"))
        }
    }

    fn discovery(&mut self, verb: &str, words: &str) -> Result<String, String> {
        if verb == "close" || self.watching.is_none() {
            if let Some(old) = self.watching.take() {
                let _ = old.shutdown(Shutdown::Both);
            }
            self.watching = Some(self.watch.recv_timeout(PATIENCE).map_err(|_| "no watch")?);
        }
        if verb == "close" {
            return Ok("closed".into());
        }
        let line = match (verb, words.split_once(' ')) {
            ("send", Some((name, state))) => {
                let address = self.regions[name].address;
                format!(r#"{{"rev":2,"all":false,"targets":[{}]}}"#, target(name, address, state))
            }
            _ => words.to_string(),
        };
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let stream = self.watching.as_mut().expect("a watch");
        stream.write_all(chunk.as_bytes()).map_err(|why| why.to_string())?;
        Ok(words.into())
    }

    fn process(&mut self, verb: &str, words: &str) -> Result<String, String> {
        if verb == "send" {
            let pid = self.gateway.id().to_string();
            let sent =
                Command::new("kill").args(["-s", words, &pid]).status().map_err(|why| why.to_string())?;
            return if sent.success() { Ok(words.into()) } else { Err("no signal sent".into()) };
        }
        if verb == "move" {
            let (at, now) = if words == "counter" {
                let (to, from) = channel();
                self.counter = from;
                (&mut self.counter_at, counter(to))
            } else {
                let (to, from) = channel();
                (self.watch, self.watching) = (from, None);
                (&mut self.discovery_at, discovery(to))
            };
            let old = std::mem::replace(at, now);
            self.config.1 = self.config.1.replace(&old.to_string(), &now.to_string());
            return std::fs::write(&self.config.0, &self.config.1)
                .map(|()| words.into())
                .map_err(|why| why.to_string());
        }
        // `gateway: edit OLD => NEW`: the configuration with the first OLD replaced, as a new file.
        if verb == "edit" {
            let (old, new) = words.split_once(" => ").ok_or("OLD => NEW")?;
            if !self.config.1.contains(old) {
                return Err(format!("the configuration has no {old}"));
            }
            self.config.1 = self.config.1.replacen(old, new, 1);
            return std::fs::write(&self.config.0, &self.config.1)
                .map(|()| words.into())
                .map_err(|why| why.to_string());
        }
        // `gateway: cut`: the configuration cut off halfway, as a writer that stopped would leave it.
        if verb == "cut" {
            let half = &self.config.1[..self.config.1.len() / 2];
            return std::fs::write(&self.config.0, half)
                .map(|()| "cut".into())
                .map_err(|why| why.to_string());
        }
        if verb == "write" {
            return std::fs::write(&self.config.0, words)
                .map(|()| words.into())
                .map_err(|why| why.to_string());
        }
        if verb == "log" {
            let line = || self.log.recv_timeout(PATIENCE).map_err(|_| "no such line".to_string());
            while !line()?.contains(words) {}
            return Ok(words.into());
        }
        let status = self.gateway.wait().map_err(|why| why.to_string())?;
        let got = format!("exit {}", status.code().unwrap_or(-1));
        if got == words {
            Ok(got)
        } else {
            Err(format!("got {got}"))
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
    }
}

/// Starts the program on the text of a configuration and operators' files.
#[allow(dead_code)]
pub fn start(config: &str, files: &[(&str, &str)]) -> Child {
    start_on(&file("config.json", config), files, None)
}

fn start_on(config: &Path, files: &[(&str, &str)], socket: Option<&TcpListener>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nickeljunction"));
    if let Some(socket) = socket {
        use command_fds::{CommandFdExt, FdMapping};
        let parent_fd = socket.try_clone().expect("a copy of the socket").into();
        command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 3 }]).expect("descriptor 3");
        command.env("EDGE_SOCKET_FD", "3");
    }
    for variable in ["EDGE_LISTEN", "EDGE_DISCOVERY"] {
        command.env_remove(variable);
    }
    for variable in ["NICKELJUNCTION_FRONT", "NICKELJUNCTION_PLUGIN", "NICKELJUNCTION_EPHEMERAL"] {
        let text = files.iter().find(|(name, _)| *name == variable).map(|(_, text)| file("operators", text));
        command.env(variable, text.unwrap_or_default());
    }
    let command = command.env("EDGE_CONFIG", config);
    command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().expect("it starts")
}

/// One call at the admin door, on a connection of its own: its status and its whole answer.
pub fn admin_call(door: &str, method: &str, path: &str) -> Result<(u16, String), String> {
    let mut stream = TcpStream::connect(door).map_err(|why| why.to_string())?;
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let call = format!("{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(call.as_bytes()).map_err(|why| why.to_string())?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(|why| why.to_string())?;
    let status =
        text.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(format!("got {text}"))?;
    Ok((status, text))
}

fn target(name: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"{address}","az":"east","pod_group":1,"state":"{state}","boot_ms":0}}"#
    )
}

fn unescape(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}

fn request(words: &str, number: u64) -> String {
    let mut parts = words.split(' ');
    let (method, path) = (parts.next().expect("a method"), parts.next().expect("a path"));
    let given: HashMap<&str, &str> = parts.filter_map(|part| part.split_once('=')).collect();
    let get = |key: &str, or: &'static str| given.get(key).copied().unwrap_or(or);
    let key = given.get("key").map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let body = get("body", "");
    let id = given.get("id").map_or_else(|| format!("{number:016x}"), |id| id.to_string());
    format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nX-Contract: {}\r\nX-Client-Id: {:0>16}\r\n\
        Request-Timeout: {}\r\n{key}X-Metering: units={},spread=1,first=0\r\nContent-Length: {}\r\n\r\n{body}",
        get("plan", "large"), get("customer", "7"), get("timeout", "10"), get("units", "1"), body.len()
    )
}

fn reply(words: &str) -> String {
    let mut parts = words.split(' ');
    let status = parts.next().expect("a status");
    let (mut extra, mut body) = (String::new(), "");
    for part in parts {
        match part.split_once('=') {
            Some(("settled", units)) => extra += &format!("X-Settled: {units}\r\n"),
            _ if part == "not-started" => extra += "Not-Started: 1\r\n",
            _ => body = part,
        }
    }
    format!("HTTP/1.1 {status} X\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}
