//! The open connections of a frontend, from the start of the process to the end of its graceful shutdown.

use crate::shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use tokio::sync::Notify;

/// How long idle connections are kept during shutdown unless [`Lifecycle::set_idle_grace_ms`] says otherwise, ms.
const IDLE_GRACE_MS: f64 = 500.0;

/// The state of one connection that the other connections and the shutdown see.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Since when it has been idle, ms of the program's clock; `None`: it is busy.
    idle_since: Cell<Option<f64>>,
    /// It is to be closed as soon as it is idle, to free its file descriptor.
    evicted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    /// Sets the waker for changes of its state or of the lifecycle.
    pub(super) fn set_waker(&self, waker: &Waker) {
        let mut current = self.waker.borrow_mut();
        if !current.as_ref().is_some_and(|current| current.will_wake(waker)) {
            *current = Some(waker.clone());
        }
    }

    /// Has it closed as soon as it is idle.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
    }

    /// See [`ConnectionState::evict`].
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// The open connections of a frontend, and the state of the shutdown.
pub struct Lifecycle {
    shutdown: Cell<Option<Shutdown>>,
    idle_grace_ms: Cell<f64>,
    failing_unanswered: Cell<bool>,
    accepting: Cell<bool>,
    stopped_accepting: Notify,
    next_id: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    busy: Cell<usize>,
    any_closed: Notify,
    all_closed: Notify,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            shutdown: Cell::new(None),
            idle_grace_ms: Cell::new(IDLE_GRACE_MS),
            failing_unanswered: Cell::new(false),
            accepting: Cell::new(true),
            stopped_accepting: Notify::new(),
            next_id: Cell::new(0),
            connections: RefCell::default(),
            busy: Cell::new(0),
            any_closed: Notify::new(),
            all_closed: Notify::new(),
        }
    }
}

impl Lifecycle {
    /// Sets how long idle connections are kept during shutdown, ms, so that a request that is already on its way is
    /// still served. Default: 500.
    pub fn set_idle_grace_ms(&self, ms: f64) {
        self.idle_grace_ms.set(ms);
    }

    /// Begins the shutdown: from now on each connection is closed after its last answer, or when it stays idle. New
    /// connections are still accepted, for one request each, which is refused if it can't finish in time.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.set(self.shutdown.get().or(Some(shutdown)));
        self.wake_all();
    }

    /// The schedule of the shutdown; `None`: it has not begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get()
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// When a connection that has been idle since `idle_since` is closed because of the shutdown, ms; infinite before
    /// it.
    pub(super) fn idle_until(&self, idle_since: f64) -> f64 {
        let since = self.shutdown.get().map(|shutdown| shutdown.began.max(idle_since));
        since.map_or(f64::INFINITY, |since| since + self.idle_grace_ms.get())
    }

    /// Answers all unanswered requests with 504 instead of closing their connections without an answer.
    pub fn fail_unanswered(&self) {
        self.failing_unanswered.set(true);
        self.wake_all();
    }

    /// See [`Lifecycle::fail_unanswered`].
    pub(super) fn is_failing_unanswered(&self) -> bool {
        self.failing_unanswered.get()
    }

    /// Stops accepting connections.
    pub fn stop_accepting(&self) {
        self.accepting.set(false);
        self.stopped_accepting.notify_one();
    }

    /// Whether connections are accepted.
    pub(super) fn is_accepting(&self) -> bool {
        self.accepting.get()
    }

    /// Completes at [`Lifecycle::stop_accepting`].
    pub(super) async fn stopped_accepting(&self) {
        self.stopped_accepting.notified().await;
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Number of connections with a request that is being received or not yet answered.
    pub fn busy_connections(&self) -> usize {
        self.busy.get()
    }

    /// Completes once no connection is open.
    pub async fn all_closed(&self) {
        while self.open_connections() > 0 {
            self.all_closed.notified().await;
        }
    }

    /// Completes once any connection has closed.
    pub(super) async fn connection_closed(&self) {
        self.any_closed.notified().await;
    }

    /// Has the connection that has been idle longest closed; `false`: none is idle.
    pub(super) fn evict_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| !connection.is_evicted());
        let idle = idle.filter_map(|connection| Some((connection.idle_since.get()?, connection)));
        let Some((_, connection)) = idle.min_by(|left, right| left.0.total_cmp(&right.0)) else {
            return false;
        };
        connection.evict();
        connection.wake();
        true
    }

    fn wake_all(&self) {
        let connections: Vec<_> = self.connections.borrow().values().cloned().collect();
        connections.iter().for_each(|connection| connection.wake());
    }
}

/// A connection's entry in the lifecycle; dropping it removes the connection.
pub(super) struct Entry {
    lifecycle: Rc<Lifecycle>,
    id: u64,
    pub(super) connection: Rc<ConnectionState>,
}

impl Entry {
    pub(super) fn new(lifecycle: Rc<Lifecycle>, now: f64) -> Entry {
        let id = lifecycle.next_id.replace(lifecycle.next_id.get() + 1);
        let connection = Rc::new(ConnectionState::default());
        connection.idle_since.set(Some(now));
        lifecycle.connections.borrow_mut().insert(id, connection.clone());
        Entry { lifecycle, id, connection }
    }

    /// Sets since when the connection has been idle, ms; `None`: it is busy.
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
        self.lifecycle.connections.borrow_mut().remove(&self.id);
        self.lifecycle.any_closed.notify_one();
        if self.lifecycle.open_connections() == 0 {
            self.lifecycle.all_closed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn evicts_connections_by_idle_time_and_never_a_busy_one() {
        let lifecycle = Rc::new(Lifecycle::default());
        let entries: Vec<_> =
            (0..4).map(|opened_at| Entry::new(lifecycle.clone(), f64::from(opened_at))).collect();
        entries[0].set_idle(None);
        entries[1].set_idle(None);
        entries[1].set_idle(Some(9.0));
        assert_eq!((lifecycle.busy_connections(), lifecycle.open_connections()), (1, 4));
        let evicted = || entries.iter().map(|entry| entry.connection.is_evicted()).collect::<Vec<_>>();
        for expected in [[false, false, true, false], [false, false, true, true], [false, true, true, true]] {
            assert!(lifecycle.evict_longest_idle());
            assert_eq!(evicted(), expected);
        }
        assert!(!lifecycle.evict_longest_idle());
        drop(entries);
        assert_eq!((lifecycle.busy_connections(), lifecycle.open_connections()), (0, 0));
    }
}
