//! What of a running gateway an operators' document changes: built whole beside what serves (all that can fail),
//! then exchanged between two turns of the core loop (nothing that can).

use crate::config::Config;
use crate::front::openapi::OpenApi;
use crate::front::platform::Platform;
use crate::net::ephemeral::Ephemeral;
use crate::net::inbox::Turn;
use crate::net::roster::{self, Source};
use crate::net::terminal::Terminals;
use crate::plugin::{Hooked, Plugin};
use crate::reception::Front;
use crate::record::{Place, Recorder};
use crate::tally::Tally;
use nickeljunction_config::bundle::{fingerprint, Bundle};
use nickeljunction_config::check::Checked;
use nickeljunction_config::document::{smaller, Document, Roster, TraceFiles, SECTIONS};
use nickeljunction_config::guard::Scope;
use nickeljunction_config::problem::Problem;
use nickeljunction_config::transaction::{Epoch, Figures, InForce};
use nickeljunction_core::facade::{check, Plan, Settings, Tap};
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How long a new counter or source of the service table may take to show itself, ms.
const TRIAL_MS: f64 = 3_000.0;

/// Single operators' files, in force where the document has no section of their kind.
#[derive(Debug, Clone, Default)]
pub struct Files {
    /// Routes (`deploy/front.json`).
    pub front: Option<PathBuf>,
    /// The script (`deploy/plugin.rhai`).
    pub plugin: Option<PathBuf>,
    /// Ephemeral nodes (`deploy/ephemeral.json`).
    pub ephemeral: Option<PathBuf>,
}

impl Files {
    /// The front of the files alone, and whether any of them asks for never-twice handling.
    ///
    /// # Errors
    /// A file that can't be read, or that contradicts itself.
    pub fn front(&self, settings: &Settings) -> Result<(Rc<dyn Front>, bool), String> {
        let (mut front, mut strict): (Rc<dyn Front>, bool) = (Rc::new(Platform::new(settings)), false);
        if let Some(path) = &self.front {
            let openapi = OpenApi::load(path, settings).map_err(|why| why.to_string())?;
            openapi.warnings.iter().for_each(|warning| tracing::warn!("{warning}"));
            tracing::info!(file = %path.display(), "routes are an operator's");
            (front, strict) = (Rc::new(openapi), true);
        }
        if let Some(path) = &self.plugin {
            let plugin = Plugin::load(path, settings)?;
            tracing::info!(file = %path.display(), "requests are reviewed by a plugin");
            (front, strict) = (Rc::new(Hooked { front, plugin }), true);
        }
        Ok((front, strict))
    }
}

/// What the gateway was started with, and what SIGHUP moved since.
pub struct Base {
    /// The configuration.
    pub config: Config,
    /// Single operators' files.
    pub files: Files,
    /// The source of the service table by these.
    pub source: RefCell<Source>,
    /// The counter by these.
    pub counter: Cell<Option<SocketAddr>>,
    /// Where the operators' document is; empty without one.
    pub document: PathBuf,
}

/// A document that is built and can be put in force.
pub struct Prepared {
    /// The document with its files, as it came.
    pub bundle: Bundle,
    /// What it says.
    pub document: Document,
    /// The same as a plain value.
    pub value: serde_json::Value,
    /// The settings under it.
    pub settings: Settings,
    /// Fingerprint of what must agree over the gateways.
    pub fingerprint: String,
    front: Rc<dyn Front>,
    source: Option<Source>,
    counter: Option<SocketAddr>,
    connect_ms: f64,
    idle_close_ms: f64,
    trace: Option<Place>,
}

fn place(document: &Path, files: &TraceFiles) -> Place {
    const MIB: f64 = 1024.0 * 1024.0;
    Place {
        folder: crate::paths::beside(document, &files.folder),
        file_bytes: (files.file_mb * MIB) as u64,
        file_age: Duration::from_secs_f64(files.file_minutes * 60.0),
        total_bytes: (files.total_mb * MIB) as u64,
        keep: Duration::from_secs_f64(files.keep_hours * 3600.0),
    }
}

fn source_of(roster: &Roster) -> Option<Source> {
    if let Some(address) = roster.discovery.as_deref().and_then(|text| text.parse().ok()) {
        return Some(Source::Discovery(address));
    }
    let nodes = roster.ephemeral.as_ref()?;
    let servers = nodes.servers.iter().filter_map(|text| text.parse().ok()).collect();
    let session_ms = nodes.session_ms as i32;
    Some(Source::Ephemeral(Ephemeral { servers, path: nodes.path.clone(), session_ms }))
}

impl Prepared {
    /// Where its traces go; none: nothing is recorded.
    pub fn trace(&self) -> Option<&Place> {
        self.trace.as_ref()
    }

    /// Builds a document: its settings, routes and script. Opens no connection.
    ///
    /// # Errors
    /// All that is wrong with it, at the keys at fault.
    pub fn build(bundle: &Bundle, base: &Base) -> Result<Prepared, Vec<Problem>> {
        let checked = bundle.check(Some(&base.config.settings))?;
        let document = checked.document.clone();
        let settings = document.settings(&base.config.settings);
        let mut problems = Vec::new();
        if let Err(why) = check(&settings) {
            problems.push(checked.problem("", why.to_string(), "figures that the module can work with"));
        }
        let front = match front(bundle, &checked, base, &settings) {
            Ok(front) => front,
            Err(problem) => {
                problems.push(problem);
                return Err(problems);
            }
        };
        if !problems.is_empty() {
            return Err(problems);
        }
        let times = document.timeouts.clone().unwrap_or_default();
        Ok(Prepared {
            bundle: bundle.clone(),
            fingerprint: fingerprint(&settings),
            front,
            source: document.roster.as_ref().and_then(source_of),
            counter: document.counter.as_ref().and_then(|counter| counter.address.parse().ok()),
            connect_ms: times.connect_ms.unwrap_or(base.config.connect_ms),
            idle_close_ms: times.idle_close_ms.unwrap_or(base.config.idle_close_ms),
            // The folder is taken from where the gateway's own document is, whatever file was staged.
            trace: document.trace.as_ref().map(|files| place(&base.document, files)),
            settings,
            value: checked.value,
            document,
        })
    }

    /// Tries what is new beside what is in force: connects to another counter, asks another source of the service
    /// table for its list.
    ///
    /// # Errors
    /// What does not answer, or names too few regions.
    pub async fn try_out(&self, now: &Prepared, wheel: &Wheel) -> Result<(), Vec<Problem>> {
        let checked = self.bundle.check(None)?;
        let mut problems = Vec::new();
        if let Some(address) = self.counter.filter(|_| self.counter != now.counter) {
            let connected = wheel.timeout(TRIAL_MS, TcpStream::connect(address)).await;
            if !matches!(connected, Some(Ok(_))) {
                let found = format!("no connection to {address} within {TRIAL_MS} ms");
                problems.push(checked.problem("counter.address", found, "a counter that can be reached"));
            }
        }
        if let Some(source) = self.source.as_ref().filter(|source| now.source.as_ref() != Some(source)) {
            let least = self.document.roster.as_ref().map_or(1, |roster| roster.least_regions) as usize;
            let found = match roster::ask(source.clone(), wheel, TRIAL_MS).await {
                None => Some(format!("no list from {source} within {TRIAL_MS} ms")),
                Some(table) if roster::ready(&table) < least => {
                    Some(format!("{} regions ready at {source}", roster::ready(&table)))
                }
                Some(_) => None,
            };
            let wanted = format!("at least {least} (roster.least_regions)");
            problems.extend(found.map(|found| checked.problem("roster", found, wanted)));
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }

    /// What a change from `before` to this can be to blame for. Plans are numbered as in `places`.
    pub fn scope(&self, before: &Prepared, places: &[String]) -> Scope {
        let mut scope = Scope::default();
        for section in SECTIONS {
            let files = match section {
                "routes" => self.document.routes.as_ref().and_then(|routes| routes.description.clone()),
                "plugin" => self.document.plugin.as_ref().map(|plugin| plugin.script.clone()),
                _ => None,
            };
            let other =
                files.is_some_and(|file| self.bundle.files.get(&file) != before.bundle.files.get(&file));
            if other || self.value.get(section) != before.value.get(section) {
                scope.sections.insert(section.to_string());
            }
        }
        for plan in &self.settings.plans {
            let old = before.settings.plans.iter().find(|old| old.name == plan.name);
            if old == Some(plan) {
                continue;
            }
            scope.plans.extend(places.iter().position(|name| *name == plan.name));
            scope.grew |= old.is_none_or(|old| grew(old, plan));
        }
        scope
    }
}

fn grew(old: &Plan, new: &Plan) -> bool {
    let more = |old: f64, new: f64| old > 0.0 && (new == 0.0 || new > old);
    more(old.rate, new.rate)
        || more(old.burst, new.burst)
        || more(old.ceiling_rate, new.ceiling_rate)
        || more(old.ceiling_burst, new.ceiling_burst)
        || more(old.max_concurrent, new.max_concurrent)
}

/// The front under a document: its own sections, or the single files where it has none.
fn front(
    bundle: &Bundle,
    checked: &Checked,
    base: &Base,
    settings: &Settings,
) -> Result<Rc<dyn Front>, Problem> {
    let document = &checked.document;
    let files = Files {
        front: base.files.front.clone().filter(|_| document.routes.is_none()),
        plugin: None,
        ephemeral: None,
    };
    let by_files = files.front(settings);
    let (mut front, _) =
        by_files.map_err(|why| checked.problem("routes", why, "a file of routes that can be used"))?;
    if let Some(routes) = &document.routes {
        let text = serde_json::to_string(routes).unwrap_or_default();
        let read = |name: &str| {
            let missing =
                || crate::front::openapi::FrontError { at: name.into(), why: "not in the bundle".into() };
            bundle.files.get(name).cloned().ok_or_else(missing)
        };
        let openapi = OpenApi::parse(&text, settings, read).map_err(|why| {
            checked.problem("routes", format!("{}: {}", why.at, why.why), "routes that fit the settings")
        })?;
        openapi.warnings.iter().for_each(|warning| tracing::warn!("{warning}"));
        front = Rc::new(openapi);
    }
    let text = match (&document.plugin, &base.files.plugin) {
        (Some(plugin), _) => bundle.files.get(&plugin.script).cloned(),
        (None, Some(path)) => match std::fs::read_to_string(path) {
            Ok(text) => Some(text),
            Err(why) => {
                let found = format!("{}: {why}", path.display());
                return Err(checked.problem("plugin", found, "a script that can be read"));
            }
        },
        (None, None) => None,
    };
    if let Some(text) = text {
        let plugin = Plugin::parse(&text, settings).map_err(|why| {
            checked.problem("plugin.script", why, "a script that compiles, with admit(request)")
        })?;
        front = Rc::new(Hooked { front, plugin });
    }
    Ok(front)
}

/// Senders and cells through which what serves is exchanged.
pub struct Live {
    /// What the gateway was started with.
    pub base: Rc<Base>,
    /// Where the front stands.
    pub terminals: Rc<Terminals>,
    /// Where the service table comes from.
    pub source: Rc<watch::Sender<Source>>,
    /// Where the counter is.
    pub counter: Rc<watch::Sender<Option<SocketAddr>>>,
    /// When a counter call counts as timed out, ms.
    pub counter_timeout_ms: Rc<Cell<f64>>,
    /// Counts answers.
    pub tally: Rc<Tally>,
    /// Plans by the places that the module knows them under, with the figures that they last had.
    pub places: RefCell<Vec<Plan>>,
    /// Where traces go at present.
    pub recording: RefCell<Option<Place>>,
    /// The document in force has a roster, a counter of its own: SIGHUP does not move those.
    pub pinned: Rc<Pinned>,
}

/// What SIGHUP does not move, since a document says where it is.
#[derive(Debug, Default)]
pub struct Pinned {
    /// The service table's source.
    pub source: Cell<bool>,
    /// The counter.
    pub counter: Cell<bool>,
}

impl Live {
    /// Names of plans by their places.
    pub fn places(&self) -> Vec<String> {
        self.places.borrow().iter().map(|plan| plan.name.clone()).collect()
    }

    /// Plans in the order of their places; one that this document does not know keeps its figures, and the front
    /// admits no request under it.
    fn placed(&self, plans: &[Plan]) -> Vec<Plan> {
        let mut places = self.places.borrow_mut();
        for place in places.iter_mut() {
            if let Some(plan) = plans.iter().find(|plan| plan.name == place.name) {
                *place = plan.clone();
            }
        }
        for plan in plans {
            if !places.iter().any(|place| place.name == plan.name) {
                places.push(plan.clone());
            }
        }
        places.clone()
    }

    /// The turn that puts it in force: everything is worked out here, and the turn only exchanges. `of` gives the
    /// document of an epoch.
    pub fn turn(&self, force: InForce, of: impl Fn(Epoch) -> Option<Rc<Prepared>>) -> Option<Turn> {
        let sections = of(force.sections)?;
        let plans = match force.plans {
            Figures::Of(epoch) => of(epoch).unwrap_or(sections.clone()).settings.plans.clone(),
            Figures::Smaller(one, other) => {
                let (one, other) = (of(one)?, of(other));
                match other {
                    Some(other) => smaller(&one.settings.plans, &other.settings.plans),
                    None => one.settings.plans.clone(),
                }
            }
        };
        let settings = Settings { plans: self.placed(&plans), ..sections.settings.clone() };
        let source = sections.source.clone().unwrap_or_else(|| self.base.source.borrow().clone());
        let counter = sections.counter.or(self.base.counter.get());
        self.pinned.source.set(sections.source.is_some());
        self.pinned.counter.set(sections.counter.is_some());
        let (terminals, tally) = (self.terminals.clone(), self.tally.clone());
        let (sources, counters) = (self.source.clone(), self.counter.clone());
        let timeout = self.counter_timeout_ms.clone();
        let figures = sections.document.guard.clone();
        let moves = *self.recording.borrow() != sections.trace;
        let recorder = moves.then(|| {
            self.recording.replace(sections.trace.clone());
            sections.trace.clone().map(|place| Recorder::start(&self.base.config.name, place))
        });
        Some(Box::new(move |core, now| {
            if let Some(recorder) = recorder {
                core.record(recorder.map(|recorder| Box::new(recorder) as Box<dyn Tap>));
            }
            terminals.front.replace(sections.front.clone());
            timeout.set(settings.counter_timeout_ms);
            counters.send_if_modified(|old| std::mem::replace(old, counter) != counter);
            sources.send_if_modified(|old| {
                let other = *old != source;
                *old = source;
                other
            });
            tally.retune(&figures, &settings, force.sections);
            core.retime(sections.connect_ms, sections.idle_close_ms);
            core.retune(now, settings, force.from, force.sections);
        }))
    }
}
