//! The program as the platform starts and ends it: signals at its start and while it ends.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Programs that are started and looked at.
const STARTS: usize = 12;
/// Signals as bits of the mask that /proc tells.
const HANGUP: u64 = 1;
const TERMINATE: u64 = 1 << 14;

/// Each program has three ports of its own.
const FIRST_PORT: u16 = 17_300;
static NEXT: AtomicU16 = AtomicU16::new(0);

struct Program {
    child: Child,
    front: SocketAddr,
    settings: PathBuf,
}

impl Program {
    fn start(name: &str) -> Program {
        // An address that no other process of the machine uses.
        let own = std::process::id();
        let ip = format!("127.21.{}.{}", own >> 8 & 255, own & 255);
        let port = FIRST_PORT + NEXT.fetch_add(3, Ordering::Relaxed);
        let front = format!("{ip}:{port}").parse().expect("an address");
        let settings = std::env::temp_dir().join(format!("edge-program-{}-{name}.toml", std::process::id()));
        let text = format!(
            r#"node_name = "edge-1"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip_address = "{ip}"
zone = "north-1"
region = "north"
internal_port_range = [{inner}, {inner}]
seed_nodes = ["127.0.0.1:1"]
initial_start = true
failure_counted = false
heartbeat_s = 0.5
[zones]
north-1 = "north"
[listen_addresses]
frontend = "{front}"
readiness = "{ip}:{ready}"
[limits]
cpu_share = 1.0
memory_mb = 256
max_file_descriptors = 1024
disk_mb = 0
[fault_tolerance]
machine_failures = 1
zones = 1
[bounds]
grace_s = 6
quota_window_s = 5
quota_overrun = 0
quota_slack = 0
"#,
            inner = port + 1,
            ready = port + 2,
        );
        fs::write(&settings, text).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_edge"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        Program { child, front, settings }
    }

    /// Waits until it listens for clients.
    fn connect(&mut self) -> TcpStream {
        loop {
            if let Ok(stream) = TcpStream::connect(self.front) {
                return stream;
            }
            let ended = self.child.try_wait().expect("known");
            assert!(ended.is_none(), "it has ended: {ended:?}");
        }
    }

    /// The signals that it takes now.
    fn taken(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("a mask");
        u64::from_str_radix(mask.trim(), 16).expect("a number")
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.expect("sent").success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

#[test]
fn a_program_that_listens_is_not_ended_by_sighup() {
    for start in 0..STARTS {
        let mut program = Program::start(&format!("start-{start}"));
        let _client = program.connect();
        let taken = program.taken();
        assert_eq!(taken & (HANGUP | TERMINATE), HANGUP | TERMINATE, "start {start}: {taken:x}");
    }
}

#[test]
fn signals_after_sigterm_cut_no_request() {
    let mut program = Program::start("again");
    let mut client = program.connect();
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    client.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n").expect("sent");
    // Read by now, so that it is no idle connection.
    std::thread::sleep(Duration::from_millis(200));
    let began = Instant::now();
    for name in ["TERM", "HUP", "TERM", "INT", "TERM"] {
        program.signal(name);
        std::thread::sleep(Duration::from_millis(200));
    }
    client.write_all(b"X-Attempt-Id: a\r\n\r\n").expect("sent");
    let mut answer = String::new();
    client.read_to_string(&mut answer).expect("whole");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.ends_with('}'), "{answer}");
    drop(client);
    let status = program.child.wait().expect("ended");
    assert!(status.success() && began.elapsed() >= Duration::from_millis(1_400), "{status}");
}
