//! One run: brings all of it up, waits until it has settled, measures, and ends it.

use crate::document::{self, Size};
use crate::flags::Run as Flags;
use crate::gateway::{Adds, Fleet, Gateway};
use crate::operator::Operator;
use crate::processes::{Part, Processes, QUOTA_WINDOW_S, ZONES};
use crate::procfs::{self, Look, Spent};
use crate::report::{Process, Report};
use crate::server::{self, Life};
use crate::spread::Spread;
use crate::traffic::{Channel, Traffic};
use nickeljunction_messages::GatewayLine;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::Bounds;
use quick_error::quick_error;
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;

/// Gateways have so long to learn the first configuration, ms.
const FIRST_MS: f64 = 45_000.0;
/// Between two looks whether they have, ms.
const LOOK_MS: f64 = 50.0;
/// Most seconds of a measurement: a run is bounded.
const MOST_SECONDS: f64 = 600.0;

quick_error! {
    /// Why a run ends without a table.
    #[derive(Debug)]
    pub enum Trouble {
        /// Bad arguments.
        Use(what: &'static str) {
            display("{}", what)
        }
        /// A program isn't there.
        NoProgram(path: PathBuf) {
            display("{}: no such program; cargo build --release makes it", path.display())
        }
        /// No base is free.
        NoPorts {
            display("no ports in a row are free on 127.0.1.11 to 127.0.1.21")
        }
        /// A file, a folder or a process.
        System(cause: io::Error) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// An order was refused.
        Refused(method: String, status: u16, why: String) {
            display("{} /-/config is refused: {} {}", method, status, why.trim())
        }
        /// Nobody took an order.
        NotTaken(method: String, last: String) {
            display("nobody takes {} /-/config; last: {}", method, last)
        }
        /// What the tool made itself isn't as expected.
        Odd(what: String) {
            display("{}", what)
        }
    }
}

/// The arguments with their defaults.
struct Plan {
    core: u8,
    edges: u8,
    gateways: usize,
    servers: usize,
    size: Size,
    changes: f64,
    adds: f64,
    heartbeat_s: f64,
    seconds: f64,
    settle_s: f64,
    starts_per_s: f64,
    directory: bool,
}

impl Plan {
    fn of(flags: &Flags) -> Result<Plan, Trouble> {
        let tenants = flags.tenants.unwrap_or(100);
        let size = Size {
            routes: flags.routes.unwrap_or(30),
            tenants,
            limited: flags.limited.unwrap_or(tenants).min(tenants),
            services: flags.services.unwrap_or(10),
        };
        let plan = Plan {
            core: flags.core.unwrap_or(3),
            edges: flags.edges.unwrap_or(1),
            gateways: flags.gateways.unwrap_or(10),
            servers: flags.servers.unwrap_or(50),
            size,
            changes: flags.changes.unwrap_or(0.0),
            adds: flags.adds.unwrap_or(0.0),
            heartbeat_s: flags.heartbeat.unwrap_or(1.0),
            seconds: flags.seconds.unwrap_or(10.0),
            settle_s: flags.settle.unwrap_or(5.0),
            starts_per_s: flags.starts.unwrap_or(200.0),
            directory: !flags.without_directory,
        };
        if ![1, 3, 5].contains(&plan.core) {
            return Err(Trouble::Use("--core wants 1, 3 or 5"));
        }
        if plan.edges > 1 {
            return Err(Trouble::Use("--edges wants 0 or 1"));
        }
        if size.routes == 0 || size.services == 0 {
            return Err(Trouble::Use("--routes and --services want 1 at least"));
        }
        let times = [plan.seconds, plan.settle_s, plan.heartbeat_s];
        if !times.iter().all(|time| (0.0..=MOST_SECONDS).contains(time)) || plan.seconds < 1.0 {
            return Err(Trouble::Use("times want 0 to 600 s, --seconds 1 at least"));
        }
        if !(plan.changes >= 0.0 && plan.adds >= 0.0 && plan.heartbeat_s >= 0.1 && plan.starts_per_s >= 1.0) {
            return Err(Trouble::Use("rates want 0 or more, --heartbeat 0.1 at least, --starts 1 at least"));
        }
        Ok(plan)
    }

    fn shown(&self) -> String {
        let Size { routes, tenants, limited, services } = self.size;
        format!(
            "core {} gateways {} servers {} services {services} routes {routes} tenants {tenants} limited {limited} \
             changes/min {} adds/s {} heartbeat {} s{}",
            self.core,
            self.gateways,
            self.servers,
            self.changes,
            self.adds,
            self.heartbeat_s,
            if self.directory { "" } else { " without directory" }
        )
    }
}

/// Carries a run out; what it prints.
///
/// # Errors
/// See [`Trouble`].
pub fn run(flags: Flags) -> Result<String, Trouble> {
    let plan = Plan::of(&flags)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut processes = Processes::plan(plan.core, plan.edges, plan.heartbeat_s)?;
    processes.start()?;
    let report = tokio::task::LocalSet::new().block_on(&runtime, measure(&plan, &processes));
    processes.end();
    let report = report?;
    Ok(if flags.json { format!("{}\n", report.json()) } else { report.text() })
}

/// A look at all processes and counts.
struct Mark {
    looks: Vec<(String, bool, Look)>,
    traffic: Traffic,
    adds: Adds,
    at: f64,
}

/// All that is hollow, and what it counts.
struct Scene {
    fleet: Rc<Fleet>,
    traffic: Rc<RefCell<Traffic>>,
    gateways: Vec<Rc<Gateway>>,
}

impl Scene {
    fn mark(&self, processes: &Processes) -> io::Result<Mark> {
        let mut looks = Vec::new();
        for (machine, process) in processes.running() {
            let (_, look) = procfs::look(process)?;
            looks.push((machine.name.clone(), machine.part == Part::Core, look));
        }
        let (_, own) = procfs::look(std::process::id())?;
        looks.push(("hollow".into(), false, own));
        let (traffic, adds) = (*self.traffic.borrow(), *self.fleet.adds.borrow());
        Ok(Mark { looks, traffic, adds, at: self.fleet.wheel.now() })
    }

    fn configured(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.version() > 0).count()
    }

    /// Waits until all gateways have a configuration, or for long; how long it took, if they have.
    async fn first(&self, since: f64) -> Option<f64> {
        let wheel = &self.fleet.wheel;
        while wheel.now() < since + FIRST_MS {
            if self.configured() == self.gateways.len() {
                return Some(wheel.now() - since);
            }
            wheel.sleep(LOOK_MS).await;
        }
        None
    }
}

fn bounds() -> Bounds {
    Bounds { quota_window_s: QUOTA_WINDOW_S, quota_overrun: 0.0, quota_slack: 0.0, ..Bounds::usual() }
}

fn raise(plan: &Plan, processes: &Processes) -> Scene {
    let wheel = Wheel::new(Clock::start());
    tokio::task::spawn_local(wheel.clone().run());
    let traffic = Rc::new(RefCell::new(Traffic::default()));
    let fleet = Rc::new(Fleet {
        wheel: wheel.clone(),
        core: processes.inner(),
        limits: document::limits(&plan.size, &bounds()),
        directory: plan.directory,
        window_ms: (QUOTA_WINDOW_S * 1_000.0) as u64,
        spread: RefCell::new(Spread::default()),
        adds: RefCell::new(Adds::default()),
    });
    let mut dice = fastrand::Rng::new();
    let gateways: Vec<Rc<Gateway>> = (0..plan.gateways)
        .map(|number| {
            let front = SocketAddr::from((Ipv4Addr::from(0x0A80_0000 + number as u32), 80)).to_string();
            let zone = ZONES[number % ZONES.len()].into();
            let line = GatewayLine { name: format!("hollow-{number}"), front, zone, ready: false };
            Gateway::new(&fleet, Channel::new(&wheel, &traffic), line, dice.u64(1..))
        })
        .collect();
    for (number, gateway) in gateways.iter().enumerate() {
        let (gateway, wheel, adds) = (gateway.clone(), wheel.clone(), plan.adds);
        let begin_ms = number as f64 / plan.starts_per_s * 1_000.0;
        tokio::task::spawn_local(async move {
            wheel.sleep(begin_ms).await;
            tokio::task::spawn_local(gateway.clone().count());
            tokio::task::spawn_local(gateway.clone().spend(adds));
            gateway.watch().await;
        });
    }
    for number in 0..plan.servers {
        let life = Life {
            id: format!("i-{number:08x}"),
            service: document::service(number % plan.size.services),
            zone: ZONES[number % ZONES.len()].into(),
            address: SocketAddr::from((Ipv4Addr::from(0x0A00_0000 + number as u32), 8080)),
        };
        let channel = Channel::new(&wheel, &traffic);
        let beat_ms = plan.heartbeat_s * 1_000.0;
        let phase_ms = dice.f64() * beat_ms;
        tokio::task::spawn_local(server::run(
            life,
            channel,
            wheel.clone(),
            processes.control(),
            phase_ms,
            beat_ms,
        ));
    }
    Scene { fleet, traffic, gateways }
}

async fn measure(plan: &Plan, processes: &Processes) -> Result<Report, Trouble> {
    let scene = raise(plan, processes);
    let wheel = scene.fleet.wheel.clone();
    let operator = Operator {
        channel: Channel::new(&wheel, &scene.traffic),
        control: processes.control(),
        fleet: scene.fleet.clone(),
        size: plan.size,
    };
    let document = operator.put().await?;
    let first_ms = scene.first(wheel.now()).await;
    wheel.sleep(plan.settle_s * 1_000.0).await;
    let before = scene.mark(processes)?;
    tokio::select! {
        changed = operator.change(1, plan.changes) => changed?,
        () = wheel.sleep(plan.seconds * 1_000.0) => {}
    }
    let after = scene.mark(processes)?;
    let seconds = (after.at - before.at) / 1_000.0;
    // The last changes may still be under way.
    let delays = scene.fleet.spread.borrow().delays(1, plan.gateways);
    // The leader does what gateways and servers ask for: of the core it spent the most.
    let spent: Vec<Spent> = before
        .looks
        .iter()
        .zip(&after.looks)
        .map(|((_, _, before), (_, _, after))| Spent::between(before, after, seconds))
        .collect();
    let in_core = |at: &usize| after.looks[*at].1;
    let busiest = (0..spent.len()).filter(in_core).max_by(|a, b| spent[*a].core.total_cmp(&spent[*b].core));
    let process = |(at, (name, _, _)): (usize, &(String, bool, Look))| Process {
        name: name.clone(),
        leads: busiest == Some(at),
        spent: spent[at],
    };
    let known = scene.gateways.iter().map(|gateway| gateway.servers()).min().unwrap_or(0);
    Ok(Report {
        asked: plan.shown(),
        seconds,
        document,
        gateways: (plan.gateways, scene.configured()),
        servers: (plan.servers, known),
        first_ms,
        processes: after.looks.iter().enumerate().map(process).collect(),
        start: before.traffic,
        traffic: after.traffic.since(&before.traffic),
        adds: Adds {
            spent: after.adds.spent - before.adds.spent,
            refused: after.adds.refused - before.adds.refused,
            waited: after.adds.waited - before.adds.waited,
        },
        delays,
    })
}
