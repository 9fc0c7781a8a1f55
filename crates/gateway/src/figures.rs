//! The figures that the admin door shows: counts from 0 at the process's start, each raised where its
//! event happens, never estimated.
//!
//! Shown in the line form of statsd, one figure a line: `app.passed.safe:812|c` for counts,
//! `app.in_progress:14|g` for gauges. Counts by class are `passed` (a booking server's answer passed on),
//! `dropped` (refused: a `ShortOnCapacityReply`) and `bad_gateway` (failed, 502).

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Every name begins with it.
const PREFIX: &str = "app";

/// How a request that was let in ended, for the counts by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A booking server's answer went to the client.
    Passed,
    /// It was refused.
    Dropped,
    /// It failed.
    BadGateway,
}

/// The figures of one process.
#[derive(Debug, Default)]
pub struct Figures {
    /// Counts by class: passed, dropped, bad gateway.
    by_class: RefCell<BTreeMap<String, [u64; 3]>>,
    /// Attempts whose last byte was written to a booking server.
    upstream_tries: Cell<u64>,
    /// Requests let in and not ended.
    in_progress: Cell<u64>,
    /// Booking servers in the service table.
    known: Cell<u64>,
    /// Of them, those that get nothing new.
    skipped: Cell<u64>,
    /// Files taken at SIGHUP.
    loads: Cell<u64>,
    /// Files turned down at SIGHUP.
    load_errors: Cell<u64>,
    /// Counts of attempts out that differed between core and module, and were put right: always 0, or a fault.
    books_put_right: Cell<u64>,
}

impl Figures {
    /// Figures with these classes shown at 0 before their first request.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Figures {
        let by_class = classes.into_iter().map(|class| (class.to_string(), [0; 3])).collect();
        Figures { by_class: RefCell::new(by_class), ..Figures::default() }
    }

    /// A request was let in: it is in progress until [`Figures::ended`] or [`Figures::left`].
    pub fn began(&self) {
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// A request that was let in got its final answer.
    pub fn ended(&self, class: &str, ending: Ending) {
        self.left();
        let mut by_class = self.by_class.borrow_mut();
        // A class's name is the settings': a handful, so the map stays small.
        let counts = match by_class.get_mut(class) {
            Some(counts) => counts,
            None => by_class.entry(class.to_string()).or_default(),
        };
        counts[ending as usize] += 1;
    }

    /// A request that was let in ended without an answer: its client had gone.
    pub fn left(&self) {
        self.in_progress.set(self.in_progress.get().saturating_sub(1));
    }

    /// An attempt was written whole to a booking server.
    pub fn tried(&self) {
        self.upstream_tries.set(self.upstream_tries.get() + 1);
    }

    /// The service table now lists `known` booking servers, of which `skipped` get nothing new.
    pub fn listed(&self, known: usize, skipped: usize) {
        self.known.set(known as u64);
        self.skipped.set(skipped as u64);
    }

    /// A file was read at SIGHUP: taken (`true`) or turned down.
    pub fn loaded(&self, taken: bool) {
        let count = if taken { &self.loads } else { &self.load_errors };
        count.set(count.get() + 1);
    }

    /// So many counts of attempts out differed and were put right.
    pub fn put_right(&self, counts: usize) {
        self.books_put_right.set(self.books_put_right.get() + counts as u64);
    }

    /// All figures in the line form of statsd, classes in the order of their names.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (class, counts) in self.by_class.borrow().iter() {
            for (name, count) in ["passed", "dropped", "bad_gateway"].iter().zip(counts) {
                let _ = writeln!(text, "{PREFIX}.{name}.{class}:{count}|c");
            }
        }
        let counts = [
            ("upstream_tries", self.upstream_tries.get(), 'c'),
            ("in_progress", self.in_progress.get(), 'g'),
            ("known_booking_servers", self.known.get(), 'g'),
            ("skipped_booking_servers", self.skipped.get(), 'g'),
            ("loads", self.loads.get(), 'c'),
            ("load_errors", self.load_errors.get(), 'c'),
            ("books_put_right", self.books_put_right.get(), 'c'),
        ];
        for (name, value, kind) in counts {
            let _ = writeln!(text, "{PREFIX}.{name}:{value}|{kind}");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_event_raises_its_own_figure_and_nothing_else() {
        let figures = Figures::new(["once"]);
        for _ in 0..3 {
            figures.began();
        }
        figures.ended("safe", Ending::Passed);
        figures.ended("once", Ending::BadGateway);
        figures.left();
        figures.began();
        figures.ended("safe", Ending::Dropped);
        figures.tried();
        figures.listed(4, 1);
        figures.loaded(true);
        figures.loaded(false);
        figures.loaded(false);
        figures.put_right(4);
        let text = figures.render();
        let want = "app.passed.once:0|c\napp.dropped.once:0|c\napp.bad_gateway.once:1|c\n\
            app.passed.safe:1|c\napp.dropped.safe:1|c\napp.bad_gateway.safe:0|c\n\
            app.upstream_tries:1|c\napp.in_progress:0|g\napp.known_booking_servers:4|g\n\
            app.skipped_booking_servers:1|g\napp.loads:1|c\napp.load_errors:2|c\n\
            app.books_put_right:4|c\n";
        assert_eq!(text, want);
    }
}
