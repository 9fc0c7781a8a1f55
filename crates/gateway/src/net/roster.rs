//! Where the service table comes from, and how it moves from one source to another while the program serves.

use crate::net::ephemeral::{self, Ephemeral};
use crate::net::service_table;
use nickeljunction_core::facade::{RegionState, ServiceTable};
use nickeljunction_net::backoff::Backoff;
use nickeljunction_net::wheel::Wheel;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// A source of the service table.
#[derive(Debug, Clone, PartialEq)]
pub enum Source {
    /// Discovery's agent.
    Discovery(SocketAddr),
    /// Ephemeral nodes.
    Ephemeral(Ephemeral),
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Source::Discovery(address) => write!(f, "discovery at {address}"),
            Source::Ephemeral(nodes) => write!(f, "nodes under {} at {:?}", nodes.path, nodes.servers),
        }
    }
}

async fn follow(source: Source, rev: u64, wheel: Wheel, backoff: Backoff, told: impl Fn(ServiceTable)) {
    match source {
        Source::Discovery(address) => service_table::follow(address, rev, wheel, backoff, told).await,
        Source::Ephemeral(nodes) => ephemeral::watch(nodes, wheel, backoff, told).await,
    }
}

/// Watches the present source, the first one from version `rev` on, and passes on each change for as long as it is
/// polled. A new source is asked for the whole list, since its versions need not be those of the old one; until it
/// has told that list, the watch at the old one goes on. The first one is asked after `first_ms`: gateways that
/// start together and know a table need not all ask at once for a newer one.
pub async fn watch(
    mut sources: watch::Receiver<Source>,
    rev: u64,
    wheel: Wheel,
    backoff: Backoff,
    mut first_ms: f64,
    told: impl Fn(ServiceTable) + 'static,
) {
    let told = Rc::new(told);
    let former: Rc<RefCell<Vec<AbortHandle>>> = Rc::default();
    let (mut source, mut rev) = (sources.borrow_and_update().clone(), rev);
    loop {
        let replaced = former.borrow().clone();
        let (told, all) = (told.clone(), former.clone());
        let watch = follow(source.clone(), rev, wheel.clone(), backoff.clone(), move |table| {
            // The present watch speaks: those before it have had their time.
            replaced.iter().for_each(AbortHandle::abort);
            all.borrow_mut().retain(|task| !task.is_finished());
            told(table);
        });
        let begin = wheel.sleep(std::mem::take(&mut first_ms));
        let task = tokio::task::spawn_local(async { (begin.await, watch.await) });
        former.borrow_mut().push(task.abort_handle());
        loop {
            if sources.changed().await.is_err() {
                return std::future::pending().await;
            }
            let next = sources.borrow_and_update().clone();
            if next != source {
                (source, rev) = (next, 0);
                break;
            }
        }
    }
}

/// Asks a source for its whole list once, as a trial of it. `None`: it told none in this time, ms.
pub async fn ask(source: Source, wheel: &Wheel, within_ms: f64) -> Option<ServiceTable> {
    let (to, mut tables) = mpsc::unbounded_channel();
    let alone = Backoff::new(1, 0);
    let watching = tokio::task::spawn_local(follow(source, 0, wheel.clone(), alone, move |table| {
        let _ = to.send(table);
    }));
    let whole = async {
        while let Some(table) = tables.recv().await {
            if table.all {
                return Some(table);
            }
        }
        None
    };
    let told = wheel.timeout(within_ms, whole).await.flatten();
    watching.abort();
    told
}

/// Regions of a table that take work.
pub fn ready(table: &ServiceTable) -> usize {
    table.regions.iter().filter(|entry| entry.state == RegionState::Ready).count()
}
