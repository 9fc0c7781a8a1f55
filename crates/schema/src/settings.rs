//! The settings file of a process.

use crate::lenient;
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Variable that holds the path of the settings file.
pub const SETTINGS_VAR: &str = "NICKELJUNCTION_SETTINGS";

quick_error! {
    /// Why the settings can't be used. Each names the file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The variable isn't set.
        NoPath {
            display("{}: wants the path of the settings file, is not set", SETTINGS_VAR)
        }
        /// File, and why it can't be read.
        File(name: String, error: io::Error) {
            display("{}: {}", name, error)
            source(error)
        }
        /// File, line (from 1), and why it is no TOML.
        Syntax(name: String, line: usize, what: String) {
            display("{}:{}: {}", name, line, what)
        }
        /// File, field, and what is wanted there.
        Field(name: String, field: String, wants: String) {
            display("{}: {}: {}", name, field, wants)
        }
    }
}

/// What a process is told. Fields that are absent are empty, or have the usual figures.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Settings {
    /// Name of its machine.
    #[prost(string, tag = "1")]
    #[serde(default)]
    pub node_name: String,
    /// Its role in the deploy file.
    #[prost(string, tag = "2")]
    #[serde(default)]
    pub role: String,
    /// `edge` or `core`.
    #[prost(string, tag = "3")]
    #[serde(default)]
    pub machine_class: String,
    /// Who may call it: `edge`, `control`, `directory`.
    #[prost(string, repeated, tag = "4")]
    #[serde(default)]
    pub serves: Vec<String>,
    /// IP address of its machine.
    #[prost(string, tag = "5")]
    #[serde(default)]
    pub ip_address: String,
    /// Zone of its machine.
    #[prost(string, tag = "6")]
    #[serde(default)]
    pub zone: String,
    /// Region of its machine.
    #[prost(string, tag = "7")]
    #[serde(default)]
    pub region: String,
    /// First and last port for inner calls, the same on every machine.
    #[prost(uint32, repeated, tag = "8")]
    #[serde(default)]
    pub internal_port_range: Vec<u32>,
    /// Control addresses of some machines, as they stood when the file was written.
    #[prost(string, repeated, tag = "9")]
    #[serde(default)]
    pub seed_nodes: Vec<String>,
    /// This is the first start of the whole system, on empty disks.
    #[prost(bool, tag = "10")]
    #[serde(default)]
    pub initial_start: bool,
    /// Its machine is among those that `fault_tolerance` counts.
    #[prost(bool, tag = "11")]
    #[serde(default)]
    pub failure_counted: bool,
    /// Folder on the machine's disk; empty: there is none.
    #[prost(string, tag = "12")]
    #[serde(default)]
    pub data_directory: String,
    /// Time between two beats of a server, s.
    #[prost(double, tag = "13")]
    #[serde(default = "usual_heartbeat")]
    pub heartbeat_s: f64,
    /// Regions by zone.
    #[prost(btree_map = "string, string", tag = "14")]
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where it listens.
    #[prost(message, required, tag = "15")]
    #[serde(default)]
    pub listen_addresses: Listen,
    /// What its machine grants it.
    #[prost(message, required, tag = "16")]
    #[serde(default = "MachineLimits::usual")]
    pub limits: MachineLimits,
    /// What may be lost at one time.
    #[prost(message, required, tag = "17")]
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules.
    #[prost(message, required, tag = "18")]
    #[serde(default = "Bounds::usual")]
    pub bounds: Bounds,
    /// Parts of the rules in force.
    #[prost(string, repeated, tag = "19")]
    #[serde(default)]
    pub contracts: Vec<String>,
    /// The file that this was read from, for messages.
    #[prost(string, tag = "20")]
    #[serde(skip)]
    pub source: String,
}

fn usual_heartbeat() -> f64 {
    1.5
}

/// Where a process listens, each `IP:PORT`; empty: not at all.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default)]
pub struct Listen {
    /// For clients.
    #[prost(string, tag = "1")]
    pub frontend: String,
    /// For the platform's checks.
    #[prost(string, tag = "2")]
    pub readiness: String,
    /// For servers and the operator.
    #[prost(string, tag = "3")]
    pub control_plane: String,
    /// For clients that ask where to go.
    #[prost(string, tag = "4")]
    pub directory_service: String,
}

/// What a machine grants a process.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default = "MachineLimits::usual")]
pub struct MachineLimits {
    /// Part of a core, above 0.
    #[prost(double, tag = "1")]
    pub cpu_share: f64,
    /// So many times as fast.
    #[prost(double, tag = "2")]
    pub cpu_cores: f64,
    /// Memory, MB: above it the process is killed.
    #[prost(uint32, tag = "3")]
    #[serde(deserialize_with = "lenient::rounded_down")]
    pub memory_mb: u32,
    /// Descriptors, 200 of which are for files outside of the disk folder.
    #[prost(uint32, tag = "4")]
    #[serde(deserialize_with = "lenient::rounded_down")]
    pub max_file_descriptors: u32,
    /// Bandwidth of the machine's link, Mbit/s.
    #[prost(double, tag = "5")]
    pub link_mbps: f64,
    /// Disk, MB; 0: none.
    #[prost(uint32, tag = "6")]
    #[serde(deserialize_with = "lenient::rounded_down")]
    pub disk_mb: u32,
}

impl MachineLimits {
    /// The figures where the file is silent.
    pub fn usual() -> MachineLimits {
        MachineLimits {
            cpu_share: 0.2,
            cpu_cores: 1.0,
            memory_mb: 256,
            max_file_descriptors: 4_096,
            link_mbps: 1_000.0,
            disk_mb: 0,
        }
    }
}

/// What may be lost at one time while all rules hold.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines with `failure_counted`.
    #[prost(uint32, tag = "1")]
    #[serde(deserialize_with = "lenient::rounded_down")]
    pub machine_failures: u32,
    /// Zones.
    #[prost(uint32, tag = "2")]
    #[serde(deserialize_with = "lenient::rounded_down")]
    pub zones: u32,
    /// Regions.
    #[prost(uint32, tag = "3")]
    #[serde(deserialize_with = "lenient::rounded_down")]
    pub region_failures: u32,
}

macro_rules! bounds {
    ($($(#[$doc:meta])* $name:ident = $usual:literal, $tag:literal;)*) => {
        /// Figures of the rules. Names that end in `_s` are seconds.
        #[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
        #[serde(default = "Bounds::usual")]
        pub struct Bounds {
            $($(#[$doc])* #[prost(double, tag = $tag)] pub $name: f64,)*
            /// Keys that were taken away are refused by every machine, in touch or not.
            #[prost(bool, tag = "50")]
            pub revocation_strict: bool,
        }

        impl Bounds {
            /// The figures where the file is silent.
            pub fn usual() -> Bounds {
                Bounds { $($name: $usual,)* revocation_strict: false }
            }

            fn figures(&self) -> impl Iterator<Item = (&'static str, f64)> {
                [$((stringify!($name), self.$name)),*].into_iter()
            }
        }
    };
}

bounds! {
    /// Lists of machines lag by so much.
    seed_lag_s = 3.0, "1";
    /// The address of a server that ended is not handed out again before this.
    reuse_delay_s = 2.0, "2";
    /// A machine is in touch once it was so for this long.
    contact_s = 4.0, "3";
    /// An order wants its acknowledgement within this.
    ack_timeout_s = 6.0, "4";
    /// A machine counts as lost for so long after its return.
    sync_time_s = 4.0, "5";
    /// A server that leaves may get requests for so long after the acknowledgement.
    drain_timeout_s = 3.0, "6";
    /// Between SIGTERM and SIGKILL.
    grace_s = 6.0, "7";
    /// A request whole for less than this may be lost with its connection.
    loss_slack_s = 0.2, "8";
    /// A configuration is in force everywhere so long after its acknowledgement.
    config_apply_s = 3.0, "9";
    /// An older version may still show for so long after a newer one did.
    revert_slack_s = 0.25, "10";
    /// Most by which an unsettled core stretches the bounds.
    max_stretch_s = 8.0, "11";
    /// A key that was taken away is refused so long after the acknowledgement, where `revocation_strict`.
    revoke_timeout_s = 5.0, "12";
    /// Further tries for each request.
    retry_budget_ratio = 0.2, "13";
    /// Window over which further tries count.
    retry_window_s = 10.0, "14";
    /// Further tries in a window beyond the ratio.
    retry_slack = 58.0, "15";
    /// Window over which quotas count.
    quota_window_s = 5.0, "16";
    /// Part by which a quota may be overrun.
    quota_overrun = 0.1, "17";
    /// Requests in a window beyond that.
    quota_slack = 20.0, "18";
    /// Times its rate that a cold server may get in a second.
    warmup_overrun = 1.5, "19";
    /// Requests in a second beyond that.
    warmup_slack = 5.0, "20";
    /// Nothing reaches an evacuated zone so long after the acknowledgement.
    evacuation_s = 5.0, "21";
    /// Requests are served again so long after the machines are back.
    recovery_s = 15.0, "22";
    /// Longest time that clients keep an answer of the directory.
    ttl_max_s = 5.0, "23";
    /// Requests with one operation key that come within this are one operation.
    key_window_s = 60.0, "24";
}

/// Addresses of a process that carries traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EdgeAddresses {
    /// Its machine.
    pub ip: IpAddr,
    /// For clients.
    pub frontend: SocketAddr,
    /// For the platform's checks.
    pub readiness: SocketAddr,
    /// For clients that ask where to go, if it serves them.
    pub directory: Option<SocketAddr>,
    /// First port for inner calls, on every core machine.
    pub inner_port: u16,
    /// Control addresses of some core machines; at least one.
    pub seeds: Vec<SocketAddr>,
}

/// Addresses of a process of the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreAddresses {
    /// Its machine.
    pub ip: IpAddr,
    /// For servers and the operator.
    pub control: SocketAddr,
    /// For clients that ask where to go, if it serves them.
    pub directory: Option<SocketAddr>,
    /// For inner calls: the machine's address with the first inner port.
    pub inner: SocketAddr,
    /// Control addresses of some core machines.
    pub seeds: Vec<SocketAddr>,
    /// Folder on the disk.
    pub data: PathBuf,
}

impl Settings {
    /// Reads the file that [`SETTINGS_VAR`] names.
    pub fn from_env() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VAR).ok_or(SettingsError::NoPath)?;
        Settings::read(path)
    }

    /// Reads a file.
    pub fn read(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let path = path.as_ref();
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::File(name.clone(), error))?;
        Settings::parse(&text, &name)
    }

    /// Reads the text of a file; `name` is for messages.
    pub fn parse(text: &str, name: &str) -> Result<Settings, SettingsError> {
        let table: toml::Table = toml::from_str(text).map_err(|error| {
            let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
            let line = 1 + before.bytes().filter(|byte| *byte == b'\n').count();
            SettingsError::Syntax(name.into(), line, error.message().trim().replace('\n', " "))
        })?;
        // A list would be taken for a table's members in a row.
        for field in ["listen_addresses", "limits", "fault_tolerance", "bounds"] {
            if table.get(field).is_some_and(|value| !value.is_table()) {
                return Err(SettingsError::Field(name.into(), field.into(), "wants a table".into()));
            }
        }
        let settings: Result<Settings, _> = serde_path_to_error::deserialize(table);
        let mut settings = settings.map_err(|error| {
            let wants = error.inner().message().trim().replace('\n', " ");
            SettingsError::Field(name.into(), error.path().to_string(), wants)
        })?;
        settings.source = name.into();
        Ok(settings)
    }

    /// The part `name` of the rules is in force.
    pub fn has_contract(&self, name: &str) -> bool {
        self.contracts.iter().any(|contract| contract == name)
    }

    /// The region of a zone; `None`: the file doesn't name the zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        match self.zones.get(zone) {
            Some(region) => Some(region),
            None => (zone == self.zone && !self.region.is_empty()).then_some(self.region.as_str()),
        }
    }

    /// The process is told to serve `whom` (`edge`, `control`, `directory`).
    pub fn serves(&self, whom: &str) -> bool {
        self.serves.iter().any(|served| served == whom)
    }

    /// First port for inner calls, the same on every machine.
    pub fn inner_port(&self) -> Result<u16, SettingsError> {
        Ok(self.inner_ports()?.0)
    }

    /// First and last port for inner calls.
    pub fn inner_ports(&self) -> Result<(u16, u16), SettingsError> {
        let port = |port: u32| u16::try_from(port).ok().filter(|port| *port > 0);
        if let [first, last] = self.internal_port_range[..] {
            if let (Some(first), Some(last)) = (port(first), port(last)) {
                if first <= last {
                    return Ok((first, last));
                }
            }
        }
        let got = format!("{:?}", self.internal_port_range);
        Err(self.field("internal_port_range", "[FIRST, LAST], ports from 1 to 65535", got))
    }

    /// The machine's address.
    pub fn ip(&self) -> Result<IpAddr, SettingsError> {
        let ip = self.ip_address.parse();
        ip.map_err(|_| self.field("ip_address", "an IP address", format!("{:?}", self.ip_address)))
    }

    /// Control addresses of some core machines.
    pub fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        let seeds = self.seed_nodes.iter().enumerate();
        seeds.map(|(at, seed)| self.address(&format!("seed_nodes[{at}]"), seed)).collect()
    }

    /// Checks what a process that carries traffic needs, and gives its addresses.
    pub fn edge_checked(&self) -> Result<EdgeAddresses, SettingsError> {
        self.common_checked()?;
        let seeds = self.seeds()?;
        // Without one it could never learn of the core.
        if seeds.is_empty() {
            return Err(self.field("seed_nodes", "at least one IP:PORT", "none"));
        }
        Ok(EdgeAddresses {
            ip: self.ip()?,
            directory: self.directory()?,
            frontend: self.address("listen_addresses.frontend", &self.listen_addresses.frontend)?,
            readiness: self.address("listen_addresses.readiness", &self.listen_addresses.readiness)?,
            inner_port: self.inner_port()?,
            seeds,
        })
    }

    /// Checks what a process of the core needs, and gives its addresses.
    pub fn core_checked(&self) -> Result<CoreAddresses, SettingsError> {
        self.common_checked()?;
        let ip = self.ip()?;
        let listen = &self.listen_addresses;
        if self.data_directory.is_empty() {
            return Err(self.field("data_directory", "a folder on the disk", "none"));
        }
        Ok(CoreAddresses {
            ip,
            control: self.address("listen_addresses.control_plane", &listen.control_plane)?,
            directory: self.directory()?,
            inner: SocketAddr::new(ip, self.inner_port()?),
            seeds: self.seeds()?,
            data: PathBuf::from(&self.data_directory),
        })
    }

    fn directory(&self) -> Result<Option<SocketAddr>, SettingsError> {
        let address = &self.listen_addresses.directory_service;
        let wanted = !address.is_empty() || self.serves("directory");
        wanted.then(|| self.address("listen_addresses.directory_service", address)).transpose()
    }

    fn common_checked(&self) -> Result<(), SettingsError> {
        for (field, value) in [("node_name", &self.node_name), ("zone", &self.zone)] {
            if value.is_empty() {
                return Err(self.field(field, "a name", "none"));
            }
        }
        if self.region_of(&self.zone).is_none() {
            return Err(self.field("region", "a name, or the zone's in zones", "none"));
        }
        if !(self.heartbeat_s > 0.0 && self.heartbeat_s.is_finite()) {
            return Err(self.field("heartbeat_s", "seconds above 0", self.heartbeat_s));
        }
        let limits = &self.limits;
        let sizes = [
            ("limits.cpu_share", limits.cpu_share),
            ("limits.cpu_cores", limits.cpu_cores),
            ("limits.memory_mb", f64::from(limits.memory_mb)),
            ("limits.max_file_descriptors", f64::from(limits.max_file_descriptors)),
        ];
        for (field, size) in sizes {
            if !(size > 0.0 && size.is_finite()) {
                return Err(self.field(field, "a number above 0", size));
            }
        }
        for (name, figure) in self.bounds.figures() {
            if !(figure >= 0.0 && figure.is_finite()) {
                return Err(self.field(&format!("bounds.{name}"), "a number, 0 or more", figure));
            }
        }
        Ok(())
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse().map_err(|_| self.field(field, "IP:PORT", format!("{text:?}")))
    }

    fn field(&self, field: &str, wants: &str, got: impl Display) -> SettingsError {
        SettingsError::Field(self.source.clone(), field.into(), format!("wants {wants}, got {got}"))
    }
}
