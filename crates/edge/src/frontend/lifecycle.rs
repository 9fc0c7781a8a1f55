//! The connections of a front, from the program's start to the end of its orderly shutdown.

use crate::shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use tokio::sync::Notify;

/// How long idle connections are kept after the order to leave unless [`Lifecycle::set_idle_grace_ms`] says otherwise, ms.
const IDLE_GRACE_MS: f64 = 500.0;

/// What the others and the program know of one connection.
#[derive(Default)]
pub(super) struct Connection {
    /// Since when it has been idle, ms of the program's clock; `None`: it is not.
    idle_since: Cell<Option<f64>>,
    /// It is to end as soon as it is idle: its descriptor is needed.
    evicted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    /// Whom to wake when something about it or about the lifecycle changes.
    pub(super) fn set_waker(&self, waker: &Waker) {
        let mut known = self.waker.borrow_mut();
        if !known.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }

    /// It is to end as soon as it is idle.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
    }

    /// See [`Connection::evict`].
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// The connections of a front, and how far the program's shutdown has come.
pub struct Lifecycle {
    shutdown: Cell<Option<Shutdown>>,
    idle_grace_ms: Cell<f64>,
    /// The time for answers is over.
    ended: Cell<bool>,
    accepting: Cell<bool>,
    stopped_accepting: Notify,
    next_number: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    busy: Cell<usize>,
    one_closed: Notify,
    all_closed: Notify,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            shutdown: Cell::new(None),
            idle_grace_ms: Cell::new(IDLE_GRACE_MS),
            ended: Cell::new(false),
            accepting: Cell::new(true),
            stopped_accepting: Notify::new(),
            next_number: Cell::new(0),
            connections: RefCell::default(),
            busy: Cell::new(0),
            one_closed: Notify::new(),
            all_closed: Notify::new(),
        }
    }
}

impl Lifecycle {
    /// How long idle connections are kept after the order to leave, ms: a request that is on its way to one is still
    /// served. 500 unless set.
    pub fn set_idle_grace_ms(&self, ms: f64) {
        self.idle_grace_ms.set(ms);
    }

    /// The order to leave: from now on the last answer of each connection closes it, and connections that stay idle are
    /// closed. New ones are still taken, for one request each, which is begun if it can end in time and refused if not.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.set(self.shutdown.get().or(Some(shutdown)));
        self.wake_all();
    }

    /// The schedule of the shutdown, once the order to leave has come.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get()
    }

    /// The order to leave has come.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Until when a connection may stay idle that has been so since `idle_since`, ms; infinite without an order to leave.
    pub(super) fn idle_until(&self, idle_since: f64) -> f64 {
        let since = self.shutdown.get().map(|shutdown| shutdown.began.max(idle_since));
        since.map_or(f64::INFINITY, |since| since + self.idle_grace_ms.get())
    }

    /// The time for answers is over: requests that are still unanswered are told so, rather than cut off without a word.
    pub fn fail_unanswered(&self) {
        self.ended.set(true);
        self.wake_all();
    }

    /// See [`Lifecycle::fail_unanswered`].
    pub(super) fn is_failing_unanswered(&self) -> bool {
        self.ended.get()
    }

    /// Takes no more connections.
    pub fn stop_accepting(&self) {
        self.accepting.set(false);
        self.stopped_accepting.notify_one();
    }

    /// Connections are taken.
    pub(super) fn is_accepting(&self) -> bool {
        self.accepting.get()
    }

    /// Ready at [`Lifecycle::stop_accepting`].
    pub(super) async fn stopped_accepting(&self) {
        self.stopped_accepting.notified().await;
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Connections with a request that has begun to come and is not yet answered.
    pub fn busy_connections(&self) -> usize {
        self.busy.get()
    }

    /// Ready once no connection is open.
    pub async fn all_closed(&self) {
        while self.open_connections() > 0 {
            self.all_closed.notified().await;
        }
    }

    /// Ready once some connection has closed.
    pub(super) async fn connection_closed(&self) {
        self.one_closed.notified().await;
    }

    /// The connection that has been idle longest is to end; `false`: none is idle.
    pub(super) fn evict_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| !connection.is_evicted());
        let idle = idle.filter_map(|connection| Some((connection.idle_since.get()?, connection)));
        let Some((_, connection)) = idle.min_by(|one, other| one.0.total_cmp(&other.0)) else { return false };
        connection.evict();
        connection.wake();
        true
    }

    fn wake_all(&self) {
        let connections: Vec<_> = self.connections.borrow().values().cloned().collect();
        connections.iter().for_each(|connection| connection.wake());
    }
}

/// A connection's entry in the lifecycle; dropping it strikes it off.
pub(super) struct Entry {
    lifecycle: Rc<Lifecycle>,
    number: u64,
    pub(super) connection: Rc<Connection>,
}

impl Entry {
    pub(super) fn new(lifecycle: Rc<Lifecycle>, now: f64) -> Entry {
        let number = lifecycle.next_number.replace(lifecycle.next_number.get() + 1);
        let connection = Rc::new(Connection::default());
        connection.idle_since.set(Some(now));
        lifecycle.connections.borrow_mut().insert(number, connection.clone());
        Entry { lifecycle, number, connection }
    }

    /// Since when the connection has been idle, ms; `None`: it is busy.
    pub(super) fn set_idle(&self, since: Option<f64>) {
        let busy = &self.lifecycle.busy;
        match (self.connection.idle_since.replace(since).is_some(), since.is_some()) {
            (true, false) => busy.set(busy.get() + 1),
            (false, true) => busy.set(busy.get() - 1),
            _ => {}
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.set_idle(Some(0.0));
        self.lifecycle.connections.borrow_mut().remove(&self.number);
        self.lifecycle.one_closed.notify_one();
        if self.lifecycle.open_connections() == 0 {
            self.lifecycle.all_closed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_idle_connection_makes_room_and_a_busy_one_never() {
        let lifecycle = Rc::new(Lifecycle::default());
        let entries: Vec<_> = (0..4).map(|at| Entry::new(lifecycle.clone(), f64::from(at))).collect();
        entries[0].set_idle(None);
        entries[1].set_idle(None);
        entries[1].set_idle(Some(9.0));
        assert_eq!((lifecycle.busy_connections(), lifecycle.open_connections()), (1, 4));
        let evicted = || entries.iter().map(|entry| entry.connection.is_evicted()).collect::<Vec<_>>();
        for wanted in [[false, false, true, false], [false, false, true, true], [false, true, true, true]] {
            assert!(lifecycle.evict_longest_idle());
            assert_eq!(evicted(), wanted);
        }
        assert!(!lifecycle.evict_longest_idle());
        drop(entries);
        assert_eq!((lifecycle.busy_connections(), lifecycle.open_connections()), (0, 0));
    }
}
