//! A timer wheel: all timers of the program in coarse ticks behind one sleep of the runtime.

use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;

/// Length of a tick, ms. Timers fire up to one tick late, never early.
const TICK_MS: f64 = 2.0;
/// A stall is told of for so long after it, ms: whatever came in it has been dealt with by then.
const STALL_TOLD_MS: f64 = 100.0;
/// A timer that fires no later than this is on time, ms.
const ON_TIME_MS: f64 = 10.0;
/// Slots of the wheel; a timer further off waits in its slot for another lap.
const SLOTS: u64 = 512;

struct Timer {
    due: u64,
    fired: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A time in which the program did not run.
#[derive(Clone, Copy)]
struct Stall {
    ended: f64,
    ms: f64,
}

impl Stall {
    const NONE: Stall = Stall { ended: f64::NEG_INFINITY, ms: 0.0 };

    /// Its length, as long as it is told of.
    fn told_ms(self, now: f64) -> f64 {
        if now - self.ended <= STALL_TOLD_MS {
            self.ms
        } else {
            0.0
        }
    }
}

struct Inner {
    clock: Clock,
    origin: f64,
    slots: RefCell<Vec<Vec<Rc<Timer>>>>,
    turned: Cell<u64>,
    earliest: Cell<u64>,
    /// The longest of late that made a timer late.
    stall: Cell<Stall>,
    /// When the program was last seen to run, and the longest time of late in which it was not.
    seen: Cell<f64>,
    unseen: Cell<Stall>,
    sooner: Notify,
}

/// A handle on the wheel.
#[derive(Clone)]
pub struct Wheel(Rc<Inner>);

impl Wheel {
    /// A wheel; it turns only while [`Wheel::run`] is polled.
    pub fn new(clock: Clock) -> Wheel {
        let slots = RefCell::new((0..SLOTS).map(|_| Vec::new()).collect());
        let (turned, earliest) = (Cell::new(0), Cell::new(u64::MAX));
        let (stall, unseen) = (Cell::new(Stall::NONE), Cell::new(Stall::NONE));
        let sooner = Notify::new();
        let (origin, seen) = (clock.now(), Cell::new(clock.now()));
        Wheel(Rc::new(Inner { clock, origin, slots, turned, earliest, stall, seen, unseen, sooner }))
    }

    /// The program's clock.
    pub fn now(&self) -> f64 {
        let now = self.0.clock.now();
        self.note_seen(now);
        now
    }

    /// How long ago something that the program learns of now may have come, ms, at most: it has not been seen to run since. A
    /// program that idled can't be told from one that stood still, unless its own timer woke it on time.
    pub fn unseen_ms(&self) -> f64 {
        let now = self.now();
        self.0.unseen.get().told_ms(now).max(self.stalled_ms())
    }

    /// The program runs. Keeps the longest of the times without it that are told of.
    fn note_seen(&self, now: f64) {
        let unseen = Stall { ended: now, ms: now - self.0.seen.replace(now) };
        let overdue_ms = now - self.due();
        let on_time = (0.0..=ON_TIME_MS).contains(&overdue_ms);
        if !on_time && unseen.ms >= self.0.unseen.get().told_ms(now) {
            self.0.unseen.set(unseen);
        }
    }

    /// How long the program has just stood still, ms, as far as its timers tell: what came from outside meanwhile came up to so
    /// long ago. 0 where the last timer fired on time, or its lateness is some time ago.
    pub fn stalled_ms(&self) -> f64 {
        self.0.stall.get().told_ms(self.now()).max(self.overdue_ms())
    }

    /// The tick that has begun.
    fn tick(&self) -> u64 {
        ((self.now() - self.0.origin) / TICK_MS).floor().max(0.0) as u64
    }

    /// When the next timer is due, ms of the program's clock; infinite where none is set.
    fn due(&self) -> f64 {
        match self.0.earliest.get() {
            u64::MAX => f64::INFINITY,
            due => self.0.origin + due as f64 * TICK_MS,
        }
    }

    /// How late the next timer is, ms.
    fn overdue_ms(&self) -> f64 {
        (self.now() - self.due()).max(0.0)
    }

    /// Ready after so many ms.
    pub fn sleep(&self, ms: f64) -> Sleep {
        self.sleep_until(self.now() + ms)
    }

    /// Ready at a time of the program's clock.
    pub fn sleep_until(&self, at: f64) -> Sleep {
        let inner = &self.0;
        let tick = ((at - inner.origin) / TICK_MS).ceil().max(0.0) as u64;
        // One for a time that is over is due now, and no late one.
        let due = tick.max(inner.turned.get() + 1).max(self.tick());
        let timer = Rc::new(Timer { due, fired: Cell::new(false), waker: RefCell::new(None) });
        inner.slots.borrow_mut()[(due % SLOTS) as usize].push(timer.clone());
        if due < inner.earliest.get() {
            inner.earliest.set(due);
            inner.sooner.notify_one();
        }
        Sleep(timer)
    }

    /// Ready with `None` if the future takes longer than so many ms.
    pub async fn timeout<F: Future>(&self, ms: f64, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(ms) => None,
        }
    }

    /// Turns the wheel for as long as it is polled.
    pub async fn run(self) {
        loop {
            let inner = &self.0;
            let due = inner.earliest.get();
            if due == u64::MAX {
                inner.sooner.notified().await;
                continue;
            }
            let wait = inner.origin + due as f64 * TICK_MS - self.now();
            if wait > 0.0 {
                tokio::select! {
                    () = inner.sooner.notified() => continue,
                    () = tokio::time::sleep(Duration::from_micros((wait * 1000.0) as u64)) => {}
                }
            }
            self.turn();
        }
    }

    /// Keeps the longest stall of those that are told of.
    fn note_stall(&self) {
        let stall = Stall { ended: self.now(), ms: self.overdue_ms() };
        if stall.ms >= self.stalled_ms() {
            self.0.stall.set(stall);
        }
    }

    /// Fires what is due and finds the next tick with a timer that somebody still waits for.
    fn turn(&self) {
        let inner = &self.0;
        self.note_stall();
        let now = self.tick();
        let mut slots = inner.slots.borrow_mut();
        let from = inner.turned.get() + 1;
        for tick in from..=now.min(from + SLOTS - 1) {
            slots[(tick % SLOTS) as usize].retain(|timer| {
                if timer.due > now {
                    // Only the wheel still knows of it: nobody waits any more.
                    return Rc::strong_count(timer) > 1;
                }
                timer.fired.set(true);
                if let Some(waker) = timer.waker.borrow_mut().take() {
                    waker.wake();
                }
                false
            });
        }
        inner.turned.set(now.max(inner.turned.get()));
        let mut earliest = u64::MAX;
        for tick in now + 1..=now + SLOTS {
            let slot = &mut slots[(tick % SLOTS) as usize];
            slot.retain(|timer| Rc::strong_count(timer) > 1);
            if let Some(due) = slot.iter().map(|timer| timer.due).min() {
                earliest = earliest.min(due);
                if due == tick {
                    break;
                }
            }
        }
        inner.earliest.set(earliest);
    }
}

/// A timer under way; dropping it cancels it.
pub struct Sleep(Rc<Timer>);

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.0.fired.get() {
            return Poll::Ready(());
        }
        let mut waker = self.0.waker.borrow_mut();
        match waker.as_ref() {
            Some(old) if old.will_wake(context.waker()) => {}
            _ => *waker = Some(context.waker().clone()),
        }
        Poll::Pending
    }
}
