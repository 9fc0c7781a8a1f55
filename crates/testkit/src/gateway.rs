//! Gateways as processes, with their files in a folder of their own.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for anything; only a broken program takes so long.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A folder that goes with this.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes one.
    pub fn new() -> Folder {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("nickeljunction-kit-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in it.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Default for Folder {
    fn default() -> Folder {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A gateway process.
pub struct Gateway {
    program: PathBuf,
    folder: Folder,
    process: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
    /// Where its clients connect.
    pub address: String,
}

impl Gateway {
    /// Starts the program on this configuration and document, if any, and waits until it serves.
    pub fn start(program: &str, config: &str, document: Option<&str>) -> Gateway {
        let folder = Folder::new();
        folder.write("config.json", config);
        if let Some(document) = document {
            folder.write("gateway.json", document);
        }
        let (process, log, address) = (None, Arc::default(), String::new());
        let mut gateway = Gateway { program: program.into(), folder, process, log, address };
        gateway.again().expect("it serves");
        gateway
    }

    fn document(&self) -> PathBuf {
        Some(self.folder.0.join("gateway.json")).filter(|path| path.exists()).unwrap_or_default()
    }

    /// Its folder: `config.json`, `gateway.json`, and what it writes there.
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Starts it again after [`Gateway::kill`]; the log goes on.
    ///
    /// # Errors
    /// It ended before it served; what it logged.
    pub fn again(&mut self) -> Result<(), String> {
        let mut process = Command::new(&self.program)
            .env("EDGE_CONFIG", self.folder.0.join("config.json"))
            .env("NICKELJUNCTION_DOCUMENT", self.document())
            .envs(
                ["NICKELJUNCTION_FRONT", "NICKELJUNCTION_PLUGIN", "NICKELJUNCTION_EPHEMERAL"]
                    .map(|name| (name, "")),
            )
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_DISCOVERY")
            .env_remove("NICKELJUNCTION_LOG")
            .env_remove("NICKELJUNCTION_LOG_FORMAT")
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .expect("it starts");
        let mut lines = BufReader::new(process.stderr.take().expect("its log")).lines().map_while(Result::ok);
        let mut said = Vec::new();
        for line in lines.by_ref() {
            said.push(line);
            let last = said.last().expect("pushed");
            if let Some(address) = last.split("listen=").nth(1).filter(|_| last.contains("serving")) {
                self.address = address.trim_matches('"').to_string();
                break;
            }
        }
        self.log.lock().expect("log").extend(said.iter().cloned());
        if !said.last().is_some_and(|line| line.contains("serving")) {
            let _ = process.wait();
            return Err(said.join("\n"));
        }
        let log = self.log.clone();
        std::thread::spawn(move || lines.for_each(|line| log.lock().expect("log").push(line)));
        self.process = Some(process);
        Ok(())
    }

    /// What it has logged.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("log").clone()
    }

    /// Runs `nickeljunction config ...` against it.
    pub fn config(&self, words: &[&str]) -> Output {
        Command::new(&self.program)
            .arg("config")
            .args(words)
            .env("NICKELJUNCTION_SOCKET", self.folder.0.join("control.sock"))
            .env("NICKELJUNCTION_DOCUMENT", "")
            .env("USER", "ann")
            .env_remove("EDGE_CONFIG")
            .current_dir(&self.folder.0)
            .output()
            .expect("it runs")
    }

    /// The same, which must end with 0; its standard output.
    pub fn done(&self, words: &[&str]) -> String {
        let output = self.config(words);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).to_string();
        assert!(
            output.status.success(),
            "{words:?}: {}{}\n{}",
            text(&output.stdout),
            text(&output.stderr),
            self.log().join("\n")
        );
        text(&output.stdout)
    }

    /// Waits until `status` has this phase and is about this epoch or none.
    pub fn wait_for(&self, phase: &str, within: Duration) -> String {
        let began = Instant::now();
        loop {
            let status = self.done(&["status", "--json"]);
            if status.contains(&format!("\"phase\": \"{phase}\"")) {
                return status;
            }
            assert!(
                began.elapsed() < within,
                "no phase {phase}: {status}\n{}\n{}",
                self.done(&["history"]),
                self.log().join("\n")
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends it SIGKILL at once, also while others speak to it; [`Gateway::kill`] then buries it.
    pub fn strike(&self) {
        let pid = self.process.as_ref().map_or(0, Child::id).to_string();
        let sent = Command::new("kill").args(["-s", "KILL", &pid]).status();
        assert!(sent.is_ok_and(|sent| sent.success()), "no signal sent");
    }

    /// Sends it a signal by its name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill").args(["-s", name, &process.id().to_string()]).status();
        }
    }

    /// Sends it SIGTERM and waits for its end; its exit code.
    pub fn stop(&mut self) -> Option<i32> {
        let mut process = self.process.take()?;
        let sent = Command::new("kill").args(["-s", "TERM", &process.id().to_string()]).status();
        assert!(sent.is_ok_and(|sent| sent.success()), "no signal sent");
        process.wait().ok().and_then(|status| status.code())
    }

    /// Memory that it holds, MiB.
    pub fn memory_mb(&self) -> f64 {
        let pid = self.process.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    /// Processor time that it has used, s.
    pub fn cpu(&self) -> f64 {
        let pid = self.process.as_ref().map_or(0, Child::id);
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
