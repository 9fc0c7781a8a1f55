//! A vote among gateways that share nothing but a counter, decided once and for all: yes as soon as `needed`
//! have said yes, no as soon as anyone seals it before that. No two gateways ever come to different decisions;
//! one that can't know comes to none and says so.
//!
//! All of it stands in one name of the counter, whose adds are atomic and whose totals come in the order of the
//! calls: a yes adds 1, a seal takes 512, a mark adds 0.001. So a total tells how many said yes (`count`), how
//! many sealed (`seals`), and that the name is still the one that this gateway has marked.
//!
//! | what a gateway sees | what follows |
//! | --- | --- |
//! | no seal, `count` >= `needed` | yes |
//! | a seal, `count` < `needed` | no: a count that had reached `needed` before the first seal never falls under it |
//! | its own seal made the first one, `count` >= `needed` | yes, and it takes its seal back |
//! | a seal, `count` >= `needed`, not known which came first | wait: the loser takes his part back |
//! | its own mark or yes is missing | the name was forgotten or the counter replaced: never to be known |
//!
//! A yes that came after a seal is taken back by its caller, and a seal that came after a decision by its own.
//! A call without an answer may have been added: it is never made again, only read after. A name lives for 60 s
//! at most; nothing that a call brings later than [`LIFE_MS`] after the start is believed.

use serde::{Deserialize, Serialize};

/// What a seal takes, and what a mark adds: totals are exact to seven digits, which holds three of both.
const SEAL: f64 = 512.0;
const MARK: f64 = 0.001;
/// Most marks that a gateway makes of one name, and most gateways that can vote: all marks together must stay
/// under a yes, all yeses under a seal.
const MOST_MARKS: u8 = 4;
/// Most gateways that can vote.
pub const MOST_GATEWAYS: usize = 200;
/// How long a ballot can be decided, ms from its start; a name lives for 60 s from its first call, and the first
/// caller's clock may be ahead.
pub const LIFE_MS: f64 = 45_000.0;
/// Life that a name is given, ms: the counter's own bound.
const NAME_LIFE_MS: f64 = 60_000.0;
/// Pause between two reads, and after a call that brought nothing, ms.
const READ_MS: f64 = 250.0;
const RETRY_MS: f64 = 100.0;
/// An answer that took longer than this is believed no more, ms: the name may have ended under way.
const STALE_MS: f64 = 10_000.0;

/// A call to the counter: add `amount` to `name`, which lives for `life_ms` if it is new.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Name.
    pub name: String,
    /// Amount.
    pub amount: f64,
    /// Life, ms.
    pub life_ms: f64,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// The total after the call.
    Total(f64),
    /// Nothing was added.
    Nothing,
    /// It may have been added.
    Unknown,
}

/// What a ballot has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Enough said yes before anyone sealed it.
    Yes,
    /// It was sealed before that.
    No,
    /// Never to be known here: its name has ended, or the counter was replaced.
    Lost,
}

/// Whether a call of this gateway's has been added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Open,
    Unknown,
    Added,
    TakenBack,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Mark,
    Yes,
    Seal,
    Read,
    TakeBack(f64),
}

/// One gateway's side of a ballot.
#[derive(Debug, Clone)]
pub struct Ballot {
    name: String,
    needed: u32,
    ends: f64,
    mark: Part,
    marks_made: u8,
    yes: Part,
    seal: Part,
    /// Seals that its own showed, with its own.
    seals_then: f64,
    wants_yes: bool,
    wants_seal: bool,
    /// It is read between calls that add; else it waits for one.
    reads: bool,
    read_ms: f64,
    /// Not open yet: nothing but its mark is made.
    shut: bool,
    /// It was read since it is to be ended: a decision that stands already needs no seal.
    looked: bool,
    seen: u32,
    out: Option<(Step, f64)>,
    next: f64,
    decided: Option<Decision>,
    back: Vec<f64>,
}

/// Yeses and seals of a total.
fn parts(total: f64) -> (f64, f64, f64) {
    let seals = (-total / SEAL).ceil().max(0.0);
    let rest = total + seals * SEAL;
    let count = (rest + MARK / 2.0).floor();
    (count, seals, ((rest - count) / MARK).round())
}

impl Ballot {
    /// A ballot under this name that is decided by so many yeses. `started`: when its name may first have been
    /// called, ms; the same for all gateways.
    pub fn new(name: String, needed: u32, started: f64) -> Ballot {
        Ballot {
            name,
            needed: needed.max(1),
            ends: started + LIFE_MS,
            mark: Part::Open,
            marks_made: 0,
            yes: Part::Open,
            seal: Part::Open,
            seals_then: 0.0,
            wants_yes: false,
            wants_seal: false,
            reads: true,
            read_ms: READ_MS,
            shut: false,
            looked: false,
            seen: 0,
            out: None,
            next: f64::NEG_INFINITY,
            decided: None,
            back: Vec::new(),
        }
    }

    /// A ballot that an earlier process of this gateway took part in: what it had called is unknown, so it is
    /// not called again.
    pub fn resumed(name: String, needed: u32, started: f64) -> Ballot {
        Ballot { yes: Part::Unknown, wants_yes: true, ..Ballot::new(name, needed, started) }
    }

    /// A ballot that is marked ahead and opened later: a counter that is replaced after its opening is then
    /// noticed by everyone who had marked it, whoever has called it before.
    pub fn ahead(mut self) -> Ballot {
        self.shut = true;
        self
    }

    /// Opens what was only marked.
    pub fn open(&mut self) {
        if std::mem::take(&mut self.shut) {
            self.next = f64::NEG_INFINITY;
        }
    }

    /// Its mark is known to have been added.
    pub fn marked(&self) -> bool {
        self.mark == Part::Added
    }

    /// Takes it that an earlier process had marked it.
    pub fn with_mark(mut self, marked: bool) -> Ballot {
        self.mark = if marked { Part::Added } else { self.mark };
        self
    }

    /// Sets how often it is read, ms; `None`: only once it has been ended. Hundreds of gateways that read four
    /// times a second would crowd the counter.
    pub fn reading(mut self, every_ms: Option<f64>) -> Ballot {
        (self.reads, self.read_ms) = (every_ms.is_some(), every_ms.unwrap_or(READ_MS).max(READ_MS));
        self
    }

    /// Says yes, once.
    pub fn say_yes(&mut self) {
        if !std::mem::replace(&mut self.wants_yes, true) {
            self.next = f64::NEG_INFINITY;
        }
    }

    /// Ends it with no, unless it has come to yes already.
    pub fn end(&mut self) {
        if !std::mem::replace(&mut self.wants_seal, true) {
            self.next = f64::NEG_INFINITY;
        }
    }

    /// It is being ended.
    pub fn ending(&self) -> bool {
        self.wants_seal
    }

    /// This gateway's yes can't have been added: where all must say it, nobody can have seen enough.
    pub fn never_said(&self) -> bool {
        self.yes == Part::Open && !matches!(self.out, Some((Step::Yes, _)))
    }

    /// Most yeses that were seen.
    pub fn seen(&self) -> u32 {
        self.seen
    }

    /// What it has come to.
    pub fn decided(&self) -> Option<Decision> {
        self.decided
    }

    /// Its name at the counter.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Nothing is left to do: decided, and what had to be taken back is.
    pub fn done(&self) -> bool {
        self.decided.is_some() && self.back.is_empty() && self.out.is_none()
    }

    /// When [`Ballot::poll`] is next of use, ms.
    pub fn next(&self) -> f64 {
        match (self.out, self.done()) {
            (Some(_), _) | (_, true) => f64::INFINITY,
            _ if self.decided.is_some() => self.next,
            _ => self.next.min(self.ends),
        }
    }

    /// The call to make now, if any; one is out at a time.
    pub fn poll(&mut self, now: f64) -> Option<Call> {
        if self.out.is_some() || now < self.next() {
            return None;
        }
        if now >= self.ends {
            // What was not taken back ends with the name.
            self.back.clear();
            self.decided = self.decided.or(Some(Decision::Lost));
            return None;
        }
        if self.mark == Part::Open && self.marks_made == MOST_MARKS {
            self.next = self.ends;
            return None;
        }
        let step = match self.back.first() {
            Some(amount) => Step::TakeBack(*amount),
            None if self.decided.is_some() => return None,
            // Marked first: without its own mark a gateway could not tell an empty counter from an open vote.
            None if self.mark == Part::Open => Step::Mark,
            None if self.wants_yes && self.yes == Part::Open && !self.wants_seal => Step::Yes,
            None if self.wants_seal && self.looked && self.seal == Part::Open => Step::Seal,
            None if self.shut => {
                self.next = self.ends;
                return None;
            }
            None if !self.reads && !self.wants_seal && self.yes == Part::Open => {
                self.next = self.ends;
                return None;
            }
            None => Step::Read,
        };
        let amount = match step {
            Step::Mark => MARK,
            Step::Yes => 1.0,
            Step::Seal => -SEAL,
            Step::Read => 0.0,
            Step::TakeBack(amount) => amount,
        };
        self.out = Some((step, now));
        Some(Call { name: self.name.clone(), amount, life_ms: NAME_LIFE_MS })
    }

    /// Takes the answer to the call that is out.
    pub fn answered(&mut self, now: f64, reply: Reply) {
        let Some((step, asked)) = self.out.take() else { return };
        let reply = if now - asked > STALE_MS || now >= self.ends { Reply::Unknown } else { reply };
        let part = match reply {
            Reply::Total(_) => Part::Added,
            Reply::Unknown => Part::Unknown,
            Reply::Nothing => Part::Open,
        };
        match step {
            // A mark that may not be there is made again: more marks than needed do no harm.
            Step::Mark => {
                self.marks_made += u8::from(part != Part::Open);
                self.mark = if part == Part::Unknown { Part::Open } else { part };
            }
            Step::Yes => self.yes = part,
            Step::Seal => self.seal = part,
            Step::Read => {}
            // Taken back twice it would count against others: once is all, whatever became of it.
            Step::TakeBack(_) if part != Part::Open => drop(self.back.remove(0)),
            Step::TakeBack(_) => {}
        }
        // The few marks are spread: a counter that is dark for seconds must not use them up.
        let retry = RETRY_MS * if step == Step::Mark { 4f64.powi(i32::from(self.marks_made)) } else { 1.0 };
        self.next = now + if matches!(reply, Reply::Total(_)) { 0.0 } else { retry };
        let Reply::Total(total) = reply else { return };
        if step == Step::Read {
            let at_once = self.wants_seal && !std::mem::replace(&mut self.looked, self.wants_seal);
            self.next = now + if at_once { 0.0 } else { self.read_ms };
        }
        if self.decided.is_none() {
            self.judge(step, total);
        }
    }

    fn judge(&mut self, step: Step, total: f64) {
        let (count, seals, marks) = parts(total);
        let needed = f64::from(self.needed);
        let own = if self.yes == Part::Added { 1.0 } else { 0.0 };
        let own_seal = if self.seal == Part::Added { 1.0 } else { 0.0 };
        if (self.mark == Part::Added && marks < 1.0) || count < own || seals < own_seal {
            self.decided = Some(Decision::Lost);
            return;
        }
        if step == Step::Seal {
            self.seals_then = seals;
        }
        let enough = count >= needed;
        self.seen = self.seen.max(count as u32);
        let decision = match (step, enough, seals > 0.0) {
            // Its own yes came after a seal; before it, enough had not said so.
            (Step::Yes, true, true) if count - 1.0 < needed => Some(Decision::No),
            (Step::Seal, true, true) if seals == 1.0 => Some(Decision::Yes),
            // Seals are taken back only by those that found it decided with yes.
            (_, true, true) if self.seal == Part::Added && seals < self.seals_then => Some(Decision::Yes),
            (_, true, true) => None,
            (_, true, false) => Some(Decision::Yes),
            (_, false, true) => Some(Decision::No),
            (_, false, false) => None,
        };
        match decision {
            Some(Decision::No) if self.yes == Part::Added => {
                self.yes = Part::TakenBack;
                self.back.push(-1.0);
            }
            Some(Decision::Yes) if self.seal == Part::Added => {
                self.seal = Part::TakenBack;
                self.back.push(SEAL);
            }
            _ => {}
        }
        self.decided = decision;
    }
}
