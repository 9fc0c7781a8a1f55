//! What socket tasks tell the core loop, and what travels with a request. Below [`super::hub`] and
//! [`super::terminal`], which know nothing of each other.

use crate::tally::Mark;
use nickeljunction_core::facade::{CounterReply, Intake, Outcome, RequestKey, ServiceTable, Settings, Tap};
use nickeljunction_core::life::Answer;
use nickeljunction_http::{RegionReply, TerminalRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// A request as it travels: what goes on to a region, and where its answer is awaited.
pub struct Exchange {
    /// As the client sent it.
    pub request: TerminalRequest,
    /// Holds its id for as long as the request or an attempt is open.
    pub id: Rc<OpenId>,
    /// Takes the final answer.
    pub reply: oneshot::Sender<Answer<RegionReply>>,
    /// What its answer counts for, where answers are counted.
    pub mark: Option<Mark>,
}

/// What socket tasks tell the core loop.
pub enum Input {
    /// A request is whole.
    Arrive(RequestKey, f64, Intake, Exchange),
    /// Its client has gone.
    Left(RequestKey),
    /// A routed task ended.
    Ended(RequestKey, usize, Outcome, Option<RegionReply>),
    /// The counter answered.
    Counted(String, CounterReply),
    /// Discovery told a change.
    Table(ServiceTable),
    /// The program stops: hand leases back, then answer.
    Retire(oneshot::Sender<()>),
    /// Something that is done whole between two turns of the core loop.
    Turn(Turn),
}

/// What a turn does, at this time.
pub type Turn = Box<dyn FnOnce(&mut dyn Swap, f64)>;

/// What can be exchanged between two turns. None of it can fail.
pub trait Swap {
    /// New figures; see [`nickeljunction_core::facade::Facade::update_settings`].
    fn retune(&mut self, now: f64, settings: Settings, from: f64, epoch: u64);
    /// New time-outs of connections to regions, ms: to come up, and until regions close idle ones.
    fn retime(&mut self, connect_ms: f64, idle_ms: f64);
    /// Another recorder, or none.
    fn record(&mut self, tap: Option<Box<dyn Tap>>);
}

/// Where socket tasks put what they have to tell, and numbers for requests.
#[derive(Clone)]
pub struct Inbox {
    to: UnboundedSender<Input>,
    last: Rc<Cell<RequestKey>>,
}

impl Inbox {
    /// An inbox that writes to this queue.
    pub fn new(to: UnboundedSender<Input>) -> Inbox {
        Inbox { to, last: Rc::default() }
    }

    /// A number for a new request.
    pub fn next_key(&self) -> RequestKey {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// Tells the core loop; it ends only with the program.
    pub fn tell(&self, input: Input) {
        let _ = self.to.send(input);
    }
}

/// Ids of the requests that are open, each held by [`OpenId`].
pub type OpenIds = Rc<RefCell<HashSet<String>>>;

/// The id of an open request: until it is dropped, no other request may bear it. Regions tell requests apart
/// by it, and a second one under it would pass for a copy of the first.
pub struct OpenId {
    ids: OpenIds,
    id: String,
}

impl OpenId {
    /// Takes an id; `None` if a request that is open bears it.
    pub fn take(ids: &OpenIds, id: &str) -> Option<Rc<OpenId>> {
        let new = ids.borrow_mut().insert(id.to_string());
        new.then(|| Rc::new(OpenId { ids: ids.clone(), id: id.to_string() }))
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
