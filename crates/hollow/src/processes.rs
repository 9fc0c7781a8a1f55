//! The real processes of a run: their settings files, their start and their end.

use crate::run::Trouble;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Region of all zones.
pub const REGION: &str = "north";
/// Zones.
pub const ZONES: [&str; 3] = ["north-1", "north-2", "north-3"];
/// Window of the quotas, s.
pub const QUOTA_WINDOW_S: f64 = 5.0;

/// Ports of every machine, from the base on.
const PORTS: u16 = 8;
const FRONTEND: u16 = 0;
const READINESS: u16 = 1;
const CONTROL: u16 = 2;
const DIRECTORY: u16 = 3;
const INNER: u16 = 4;
/// Bases that are tried.
const BASES: std::ops::Range<u16> = 20_300..22_300;
/// A process that was told to end has so long.
const GRACE: Duration = Duration::from_secs(6);
/// Between two looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(10);

/// What a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// `controller`.
    Core,
    /// `edge`.
    Edge,
}

impl Part {
    fn program(self) -> &'static str {
        match self {
            Part::Core => "controller",
            Part::Edge => "edge",
        }
    }
}

/// A real process, by its place.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// What it runs.
    pub part: Part,
    /// Its address.
    pub ip: Ipv4Addr,
}

/// Real processes; what still runs is killed when this is dropped.
pub struct Processes {
    /// The core's first.
    pub machines: Vec<Machine>,
    heartbeat_s: f64,
    base: u16,
    folder: PathBuf,
    programs: PathBuf,
    children: Vec<Child>,
}

impl Processes {
    /// Looks for the programs beside this one, draws ports and makes a folder; starts nothing.
    ///
    /// # Errors
    /// A program is missing, no ports are free, or the folder can't be made.
    pub fn plan(core: u8, edges: u8, heartbeat_s: f64) -> Result<Processes, Trouble> {
        let own = std::env::current_exe()?;
        let programs = own.parent().map(PathBuf::from).unwrap_or_default();
        let machine = |part: Part, last: u8, number: u8| Machine {
            name: format!("{}-{number}", part.program()),
            part,
            ip: Ipv4Addr::new(127, 0, 1, last + number),
        };
        let machines: Vec<Machine> = (1..=core)
            .map(|number| machine(Part::Core, 10, number))
            .chain((1..=edges).map(|number| machine(Part::Edge, 20, number)))
            .collect();
        for machine in &machines {
            let path = programs.join(machine.part.program());
            if !path.is_file() {
                return Err(Trouble::NoProgram(path));
            }
        }
        let free = |base: &u16| {
            let mut all =
                machines.iter().flat_map(|machine| (0..PORTS).map(move |port| (machine.ip, base + port)));
            all.all(|address| TcpListener::bind(address).is_ok())
        };
        let base = BASES.step_by(usize::from(PORTS)).find(free).ok_or(Trouble::NoPorts)?;
        let folder = std::env::temp_dir().join(format!("nickeljunction-hollow-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Processes { machines, heartbeat_s, base, folder, programs, children: Vec::new() })
    }

    /// These machines, without programs and a folder: nothing of it can be started.
    pub fn describe(machines: Vec<Machine>, heartbeat_s: f64, base: u16) -> Processes {
        let (folder, programs) = (PathBuf::from("/nowhere"), PathBuf::new());
        Processes { machines, heartbeat_s, base, folder, programs, children: Vec::new() }
    }

    fn of(&self, part: Part, port: u16) -> Vec<SocketAddr> {
        let machines = self.machines.iter().filter(|machine| machine.part == part);
        machines.map(|machine| SocketAddr::new(IpAddr::V4(machine.ip), self.base + port)).collect()
    }

    /// Where the core takes operators' and servers' calls.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.of(Part::Core, CONTROL)
    }

    /// Where the core takes inner calls.
    pub fn inner(&self) -> Vec<SocketAddr> {
        self.of(Part::Core, INNER)
    }

    /// Each process that runs, with its machine's name.
    pub fn running(&self) -> impl Iterator<Item = (&Machine, u32)> + '_ {
        self.machines.iter().zip(self.children.iter().map(Child::id))
    }

    /// The settings of a machine, as its file holds them.
    pub fn settings(&self, machine: &Machine) -> String {
        let Machine { name, part, ip, .. } = machine;
        let at = |port: u16| format!("\"{ip}:{}\"", self.base + port);
        let seeds: Vec<String> = self.control().iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, serves, listen, data, disk) = match part {
            Part::Core => (
                "core",
                r#""control""#,
                format!("control_plane = {}", at(CONTROL)),
                format!("data_directory = \"{}\"\n", self.folder.join(format!("{name}.disk")).display()),
                4096,
            ),
            Part::Edge => (
                "edge",
                r#""edge", "directory""#,
                format!(
                    "frontend = {}\nreadiness = {}\ndirectory_service = {}",
                    at(FRONTEND),
                    at(READINESS),
                    at(DIRECTORY)
                ),
                String::new(),
                0,
            ),
        };
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"{REGION}\"\n")).collect();
        let (first, last) = (self.base + INNER, self.base + PORTS - 1);
        format!(
            r#"node_name = "{name}"
role = "{role}"
machine_class = "{class}"
serves = [{serves}]
ip_address = "{ip}"
zone = "{zone}"
region = "{REGION}"
internal_port_range = [{first}, {last}]
seed_nodes = [{seeds}]
initial_start = true
failure_counted = {counted}
heartbeat_s = {heartbeat}
{data}
[zones]
{zones}
[listen_addresses]
{listen}

[limits]
cpu_share = 1.0
memory_mb = 4096
max_file_descriptors = 16384
disk_mb = {disk}

[fault_tolerance]
machine_failures = 1
zones = 1

[bounds]
grace_s = {grace}
quota_window_s = {QUOTA_WINDOW_S}
quota_overrun = 0
quota_slack = 0
"#,
            role = part.program(),
            zone = ZONES[0],
            seeds = seeds.join(", "),
            counted = *part == Part::Core,
            heartbeat = self.heartbeat_s,
            grace = GRACE.as_secs(),
        )
    }

    /// Starts all of them.
    ///
    /// # Errors
    /// A file can't be written, or a process not started.
    pub fn start(&mut self) -> Result<(), Trouble> {
        for machine in &self.machines {
            let file = self.folder.join(format!("{}.toml", machine.name));
            fs::write(&file, self.settings(machine))?;
            let log = File::create(self.folder.join(format!("{}.log", machine.name)))?;
            let child = Command::new(self.programs.join(machine.part.program()))
                .env("NICKELJUNCTION_SETTINGS", &file)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            self.children.push(child);
        }
        Ok(())
    }

    /// Ends all of them, first in order, then at once; the folder goes.
    pub fn end(&mut self) {
        for child in &self.children {
            // One that has ended already can't be told so.
            let _ = kill_process(Pid::from_child(child), Signal::TERM);
        }
        let until = Instant::now() + GRACE;
        for child in &mut self.children {
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                std::thread::sleep(LOOK);
            }
            // The same.
            let _ = child.kill().and_then(|()| child.wait().map(drop));
        }
        self.children.clear();
        // What is left lies in the system's folder for such things.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.end();
    }
}
