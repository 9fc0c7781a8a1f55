//! Runs a recorded trace through the decision module again. The module is deterministic in settings, seed and events,
//! so every verdict must come as it was recorded; the first that does not is told.

use crate::event::{Event, TICKS_PER_MS};
use nickeljunction_core::facade::{Facade, Report, Settings, Verdict};
use std::collections::VecDeque;

/// The first verdict that differs.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Number of the event in the trace, from 0.
    pub event: u64,
    /// Its time, ticks.
    pub time: i64,
    /// What was recorded; `None`: the module decided something that was not.
    pub recorded: Option<Event>,
    /// What the module decides now; `None`: it decides nothing.
    pub decided: Option<Event>,
}

/// A replay under way.
#[derive(Default)]
pub struct Replay {
    facade: Option<Facade>,
    due: VecDeque<Event>,
    at: u64,
    time: i64,
    /// Inputs fed and verdicts compared.
    pub inputs: u64,
    /// See `inputs`.
    pub verdicts: u64,
    /// Blocks are missing: from there on to the next boot nothing can be compared.
    pub blind: bool,
}

/// How a replay makes settings out of what a trace holds; another answer asks "what if".
pub type ToSettings<'a> = &'a dyn Fn(&[(String, String)]) -> Result<Settings, String>;

impl Replay {
    /// Feeds the next event of one process. Events of several processes or gateways must not be mixed.
    ///
    /// # Errors
    /// The first difference; or settings that can't be used, as a difference without a verdict.
    pub fn feed(
        &mut self,
        time: i64,
        event: &Event,
        settings: ToSettings<'_>,
    ) -> Result<(), Box<Difference>> {
        let number = self.at;
        self.at += 1;
        self.time = time;
        if matches!(event, Event::Dropped { .. }) {
            self.blind = true;
        }
        if let Event::Boot { seed, strict, settings: pairs, .. } = event {
            self.due.clear();
            self.blind = false;
            self.facade =
                settings(pairs).ok().and_then(|settings| Facade::new(settings, *seed, *strict).ok());
            self.inputs += 1;
            return match self.facade {
                Some(_) => Ok(()),
                None => Err(Box::new(Difference {
                    event: number,
                    time,
                    recorded: Some(event.clone()),
                    decided: None,
                })),
            };
        }
        // Recorded from the middle of a process on, there is nothing to compare with.
        if self.blind || self.facade.is_none() {
            return Ok(());
        }
        if event.is_verdict() {
            self.verdicts += 1;
            let decided = self.due.pop_front();
            if decided.as_ref() != Some(event) {
                let recorded = Some(event.clone());
                return Err(Box::new(Difference { event: number, time, recorded, decided }));
            }
            return Ok(());
        }
        if !event.is_input() {
            return Ok(());
        }
        if let Some(decided) = self.due.pop_front() {
            let (recorded, decided) = (None, Some(decided));
            return Err(Box::new(Difference { event: number, time, recorded, decided }));
        }
        self.inputs += 1;
        let Some(facade) = &mut self.facade else { return Ok(()) };
        let now = time as f64 / TICKS_PER_MS;
        let verdicts = match event.clone() {
            Event::Taken { request, intake, .. } => facade.pick(now, request, &intake),
            Event::Ended { request, attempt, region, outcome, settled, latency_ms, closed } => facade.report(
                now,
                Report::Ended { request, attempt, region, outcome, settled, latency_ms, closed },
            ),
            Event::Left(request) => facade.report(now, Report::ClientLeft(request)),
            Event::Counted(name, reply) => facade.report(now, Report::CounterReplied(name, reply)),
            Event::Table { table, saved } => facade.report(now, Report::ServiceTable { table, saved }),
            Event::Tick => facade.tick(now),
            Event::Retired => facade.shut_down(now),
            Event::Tuned { settings: pairs, from, epoch } => {
                if let Ok(settings) = settings(&pairs) {
                    facade.update_settings(now, settings, from, epoch);
                }
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.due.extend(verdicts.into_iter().map(of_verdict));
        Ok(())
    }

    /// The trace has ended.
    ///
    /// # Errors
    /// A verdict was due that the trace does not have.
    pub fn end(mut self) -> Result<(), Box<Difference>> {
        match self.due.pop_front() {
            None => Ok(()),
            Some(decided) => Err(Box::new(Difference {
                event: self.at,
                time: self.time,
                recorded: None,
                decided: Some(decided),
            })),
        }
    }
}

/// A verdict as the event that records it.
pub fn of_verdict(verdict: Verdict) -> Event {
    match verdict {
        Verdict::Route(task) => Event::Route(task),
        Verdict::ShortOnCapacity(request, pause) => Event::Short(request, pause),
        Verdict::Fail(request) => Event::Fail(request),
        Verdict::CancelAttempt(request, attempt) => Event::GiveUp(request, attempt),
        Verdict::IncrementCounter(name, amount, life) => Event::Count(name, amount, life),
        Verdict::CloseIdle(region) => Event::CloseIdle(region),
        Verdict::Log(text) => Event::Note(text),
    }
}
