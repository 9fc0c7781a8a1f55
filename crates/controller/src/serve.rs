//! Brings the parts up and down.

use crate::driver::{Driver, Ports};
use crate::peers::Peers;
use crate::resources::{self, config, core, evacuations, inner, instances, operations, status, trials};
use crate::store::CONSENSUS;
use crate::{disk, follow, hint};
use nickeljunction_consensus::{bootstrap_member_id, member_id_from_random, Restored, Tuning};
use nickeljunction_messages::{path, Member};
use nickeljunction_net::caller::Caller;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::desk::{Desk, Limits};
use nickeljunction_net::figures;
use nickeljunction_net::start::{listen, Order, Orders, StartError};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_replica::{MemberConfig, Replica};
use nickeljunction_schema::{CoreAddresses, Settings, SettingsError};
use nickeljunction_storage::{FileLogStore, LogStore, StorageError};
use quick_error::quick_error;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Longest document that operators may put, bytes.
/// A longer one could not be told to gateways.
const MOST_DOCUMENT: usize = nickeljunction_net::caller::MOST_ANSWER / 2;
/// Messages and counted adds are short; a snapshot is a document and a little.
const MOST_INNER: usize = 16 << 20;
/// Descriptors that are for the disk, for files outside of it, for calls to other members and for the program itself.
const OTHER_DESCRIPTORS: usize = 400;
/// Least connections that a desk takes, whatever the settings say.
const FEW_CONNECTIONS: usize = 64;
/// What is left of `grace_s` after an orderly stop, at most so much is used, ms.
const STOP_MS: f64 = 1_500.0;
/// Longest wait for another machine to take this one's place as a member, ms: an election, and a member found to be gone.
const LEAVE_MS: u64 = 3_000;
/// A connection to another member that isn't up by then is given up, ms: messages behind it must not wait for a dark one.
const PEER_CONNECT_MS: f64 = 100.0;
/// A disk that can't be opened is tried again so much later, ms.
const DISK_AGAIN_MS: f64 = 250.0;

quick_error! {
    /// Why the program could not start.
    #[derive(Debug)]
    pub enum ServeError {
        /// The settings.
        Settings(cause: SettingsError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// Listeners and the like.
        Start(cause: StartError) {
            from()
            display("{}", cause)
            source(cause)
        }
    }
}

/// Connections that each of the two desks takes: of operators and servers, and of gateways and members. One for each
/// server, and two for each gateway, stay open; a desk that is full closes idle ones, whose owners come back at once.
fn connections(settings: &Settings) -> usize {
    let descriptors = settings.limits.max_file_descriptors as usize;
    (descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2).max(FEW_CONNECTIONS)
}

/// A disk, and what it gave back.
type Opened = (Box<dyn LogStore + Send>, Restored);

/// Opens the disk; one that can't be opened or read is started anew, under a new number.
fn open(
    settings: &Settings,
    addresses: &CoreAddresses,
    dice: &mut fastrand::Rng,
) -> Result<Opened, StorageError> {
    let host = addresses.ip.to_string();
    let mut hold = FileLogStore::open(addresses.data.join(CONSENSUS))?;
    if let Some(cause) = hold.given_up() {
        log::error!("event=disk_given_up step=open error={cause:?}");
    }
    let was_lost = hold.was_lost();
    if let Some(kept) = hold.load()? {
        log::info!("event=disk_loaded member={} entries={}", kept.me.id, kept.entries.len());
        return Ok((Box::new(hold), kept.into()));
    }
    let hold = Box::new(hold);
    let seeds: Vec<String> = addresses.seeds.iter().map(|seed| seed.ip().to_string()).collect();
    // Whatever the settings say: a folder that lost its store isn't a first start's.
    if settings.initial_start && !was_lost {
        let member = |host: &String| Member { id: bootstrap_member_id(host), host: host.clone() };
        let me = member(&host);
        log::info!("event=first_start member={}", me.id);
        if seeds.contains(&host) {
            let members = seeds.iter().map(member).collect();
            return Ok((hold, Restored::bootstrap(me, members)));
        }
        return Ok((hold, Restored::joining(me)));
    }
    let me = Member { id: member_id_from_random(dice.u64(..)), host };
    log::info!("event=empty_disk member={}", me.id);
    Ok((hold, Restored::joining(me)))
}

/// Opens the disk, and waits for one that can't be opened for the moment: to start without it would be to forget what was
/// acknowledged.
async fn opened(
    settings: &Settings,
    addresses: &CoreAddresses,
    wheel: &Wheel,
    dice: &mut fastrand::Rng,
) -> Opened {
    let turning = tokio::task::spawn_local(wheel.clone().run());
    let opened = loop {
        match open(settings, addresses, dice) {
            Ok(opened) => break opened,
            Err(error) => log::error!("event=disk_unreadable step=open error={:?}", error.to_string()),
        }
        wheel.sleep(DISK_AGAIN_MS).await;
    };
    turning.abort();
    opened
}

/// Serves until SIGTERM; figures at this place, where one is given.
///
/// # Errors
/// See [`ServeError`].
pub async fn run(settings: Settings, figures_at: Option<figures::Place>) -> Result<(), ServeError> {
    // Before the store is opened, which takes a while: a signal that is not taken ends the process.
    let mut orders = Orders::new()?;
    let addresses = settings.core_checked()?;
    let mut dice = fastrand::Rng::new();
    let wheel = Wheel::new(Clock::start());
    let opening = opened(&settings, &addresses, &wheel, &mut dice);
    let Some(((hold, restored), reload)) = unless_stopped(&mut orders, opening).await else {
        log::info!("event=stopping name={}", settings.node_name);
        return Ok(());
    };
    let (writes, to_write) = mpsc::unbounded_channel();
    let (done, to_tell) = mpsc::unbounded_channel();
    disk::start(hold, hint::place(&addresses.data), to_write, done)
        .map_err(|cause| StartError::System("starting the disk's thread", cause))?;

    let place = Rc::new(MemberConfig {
        name: settings.node_name.clone(),
        host: addresses.ip.to_string(),
        zones: settings.zones.clone(),
        bounds: settings.bounds.clone(),
        heartbeat_ms: (settings.heartbeat_s * 1_000.0) as u64,
    });
    let ports = Ports { control: addresses.control.port(), inner: addresses.inner.port() };
    let caller = Caller::new(wheel.clone());
    let peers = Peers::new(Caller::within(wheel.clone(), PEER_CONNECT_MS), ports.inner);
    let now = wheel.now() as u64;
    let tuning = Tuning::tolerating(settings.fault_tolerance.machine_failures as usize);
    let house = Replica::new(place.clone(), restored, tuning, dice.u64(..), now);
    let driver = Driver::new(place, ports, wheel.clone(), house, writes, peers);
    if let Some(copy) = hint::load(&addresses.data) {
        driver.remember(copy);
    }
    driver.seek(addresses.seeds.iter().map(|seed| seed.ip().to_string()).collect());

    let connections = connections(&settings);
    let control = Desk::new(wheel.clone(), Limits { connections, body: MOST_DOCUMENT, ..Limits::default() })
        .route(resources::CONFIG, Rc::new(config::Config(driver.clone())))
        .route(resources::CORE, Rc::new(core::Core(driver.clone())))
        .route(resources::TRIALS, Rc::new(trials::Trials(driver.clone())))
        .route(resources::OPERATIONS, Rc::new(operations::Operations(driver.clone())))
        .route(resources::EVACUATIONS, Rc::new(evacuations::Evacuations(driver.clone())))
        .route(resources::INSTANCES, Rc::new(instances::Instances(driver.clone())))
        .route(resources::STATUS, Rc::new(status::Status(driver.clone())));
    let inner_desk = Desk::new(wheel.clone(), Limits { connections, body: MOST_INNER, ..Limits::default() })
        .route(path::CONSENSUS, Rc::new(inner::Messages(driver.clone())))
        .route(path::WATCH, Rc::new(inner::Watch(driver.clone())))
        .route(path::CLAIM, Rc::new(operations::Claims(driver.clone())))
        .route(path::PACE_SHARES, Rc::new(inner::Ebb(driver.clone())))
        .route(path::UNITS, Rc::new(inner::Units(driver.clone())));
    let desks = vec![
        (listen("control", addresses.control).await?, Rc::new(control)),
        (listen("inner calls", addresses.inner).await?, Rc::new(inner_desk)),
    ];
    if let Some(place) = figures_at {
        figures::offer_at(&wheel, place, addresses.ip, driver.figures()).await?;
    }
    let open_desks: Vec<Rc<Desk>> = desks.iter().map(|(_, desk)| desk.clone()).collect();
    let mut serving = tokio::task::JoinSet::new();
    for (listener, desk) in desks {
        serving.spawn_local(desk.serve(listener));
    }
    tokio::task::spawn_local(wheel.clone().run());
    tokio::task::spawn_local(disk::listen(driver.clone(), to_tell));
    tokio::task::spawn_local(driver.clone().run());
    tokio::task::spawn_local(follow::run(driver.clone(), caller, dice.u64(..)));
    log::info!(
        "event=serving name={} control={} inner={}",
        settings.node_name,
        addresses.control,
        addresses.inner
    );

    if reload {
        read_again(&settings, &driver);
    }
    while orders.next().await == Order::Reload {
        read_again(&settings, &driver);
    }
    log::info!("event=stopping name={}", settings.node_name);
    driver.leave(LEAVE_MS).await;
    driver.resign();
    open_desks.iter().for_each(|desk| desk.close_all());
    let closed = async { while serving.join_next().await.is_some() {} };
    wheel.timeout(STOP_MS, closed).await;
    Ok(())
}

/// What comes of the work, and whether SIGHUP came meanwhile; `None` if SIGTERM or SIGINT did.
async fn unless_stopped<T>(orders: &mut Orders, work: impl Future<Output = T>) -> Option<(T, bool)> {
    tokio::pin!(work);
    let mut reload = false;
    loop {
        tokio::select! {
            biased;
            done = &mut work => return Some((done, reload)),
            order = orders.next() => match order {
                Order::Stop => return None,
                Order::Reload => reload = true,
            }
        }
    }
}

/// SIGHUP: the seeds of the changed file are taken.
fn read_again(settings: &Settings, driver: &Driver) {
    let file = &settings.source;
    match Settings::read(file).and_then(|settings| settings.core_checked()) {
        Ok(addresses) => {
            log::info!("event=settings_read file={file:?}");
            driver.seek(addresses.seeds.iter().map(|seed| seed.ip().to_string()).collect());
        }
        // What can't be used changes nothing.
        Err(error) => log::error!("event=settings_refused error={:?}", error.to_string()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_schema::MachineLimits;

    fn taken(max_file_descriptors: u32) -> usize {
        let limits = MachineLimits { max_file_descriptors, ..MachineLimits::usual() };
        connections(&Settings { limits, ..Settings::default() })
    }

    #[test]
    fn desks_take_what_the_machine_has_descriptors_for() {
        assert_eq!(taken(4_096), 1_848);
        assert!(2 * taken(4_096) + OTHER_DESCRIPTORS <= 4_096);
        assert_eq!(taken(100), FEW_CONNECTIONS);
    }
}
