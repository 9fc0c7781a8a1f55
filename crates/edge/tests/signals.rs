//! Signals to a running `edge` process: SIGHUP must not kill it once it listens, and signals during a shutdown must not
//! break a request off.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// How often the process is started to check its signal mask.
const STARTS: usize = 12;
/// SIGHUP and SIGTERM as bits of the signal mask in `/proc/PID/status`.
const SIGHUP_BIT: u64 = 1;
const SIGTERM_BIT: u64 = 1 << 14;

const FIRST_PORT: u16 = 17_300;
/// Each process has ports for clients, for the inner API and for readiness.
const PORTS_PER_PROCESS: u16 = 3;
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

struct EdgeProcess {
    child: Child,
    frontend: SocketAddr,
    settings: PathBuf,
}

impl EdgeProcess {
    fn start(name: &str) -> EdgeProcess {
        // A loopback address derived from the pid, so that test processes don't share ports.
        let pid = std::process::id();
        let ip = format!("127.21.{}.{}", pid >> 8 & 255, pid & 255);
        let port = FIRST_PORT + NEXT_PORT_OFFSET.fetch_add(PORTS_PER_PROCESS, Ordering::Relaxed);
        let frontend = format!("{ip}:{port}").parse().expect("an address");
        let settings = std::env::temp_dir().join(format!("edge-signals-{pid}-{name}.toml"));
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
frontend = "{frontend}"
readiness = "{ip}:{readiness}"
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
            readiness = port + 2,
        );
        fs::write(&settings, text).expect("write the settings");
        let child = Command::new(env!("CARGO_BIN_EXE_edge"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("start the process");
        EdgeProcess { child, frontend, settings }
    }

    /// Opens a client connection; waits until the process listens.
    fn connect(&mut self) -> TcpStream {
        loop {
            if let Ok(stream) = TcpStream::connect(self.frontend) {
                return stream;
            }
            let status = self.child.try_wait().expect("exit status");
            assert!(status.is_none(), "the process has ended: {status:?}");
        }
    }

    /// The mask of the signals for which the process has a handler now.
    fn caught_signals(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("process runs");
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("SigCgt line");
        u64::from_str_radix(mask.trim(), 16).expect("hexadecimal mask")
    }

    fn send_signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(status.expect("run kill").success());
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

#[test]
fn sighup_and_sigterm_have_handlers_once_the_process_listens() {
    for start in 0..STARTS {
        let mut process = EdgeProcess::start(&format!("start-{start}"));
        let _client = process.connect();
        let caught = process.caught_signals();
        let expected = SIGHUP_BIT | SIGTERM_BIT;
        assert_eq!(caught & expected, expected, "start {start}: {caught:x}");
    }
}

#[test]
fn signals_after_sigterm_do_not_break_off_a_request() {
    let mut process = EdgeProcess::start("after-sigterm");
    let mut client = process.connect();
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("set the read timeout");
    client.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n").expect("send to the process");
    // By then the process has read the partial request, so it doesn't close the connection as idle.
    std::thread::sleep(Duration::from_millis(200));
    let began = Instant::now();
    for name in ["TERM", "HUP", "TERM", "INT", "TERM"] {
        process.send_signal(name);
        std::thread::sleep(Duration::from_millis(200));
    }
    client.write_all(b"X-Attempt-Id: a\r\n\r\n").expect("send to the process");
    let mut answer = String::new();
    client.read_to_string(&mut answer).expect("complete answer");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.ends_with('}'), "{answer}");
    drop(client);
    let status = process.child.wait().expect("exit status");
    assert!(status.success() && began.elapsed() >= Duration::from_millis(1_400), "{status}");
}
