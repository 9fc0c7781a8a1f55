//! Records what the gateway sees and decides into trace files. The core loop only adds events to a block in memory; a
//! thread of its own packs and writes. What that thread can't keep up with is dropped a whole block at a time, and the
//! trace itself says how much: the core loop never waits for a disk.

use nickeljunction_core::facade::{Ending, Input, Report, RequestKey, Settings, Tap, Verdict};
use nickeljunction_decide::wire::settings_to_pairs;
use nickeljunction_trace::block::Builder;
use nickeljunction_trace::event::{Event, TICKS_PER_MS};
use nickeljunction_trace::file::{Header, Writer};
use nickeljunction_trace::replay::of_verdict;
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::time::{Duration, Instant, SystemTime};

/// Blocks that may wait for the disk: half a megabyte.
const MOST_WAITING: usize = 8;
/// A block is handed on after so long however little is in it, ms: more is not lost by a kill.
const HAND_ON_MS: f64 = 1_000.0;
/// Longest wait for the last block to be written at a stop.
const END_WITHIN: Duration = Duration::from_millis(500);
/// The ending of a trace's name.
pub const ENDING: &str = "njtrace";

/// Where traces go and how much of them is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The folder; made if it is not there.
    pub folder: PathBuf,
    /// A file is ended at this length, bytes, or age.
    pub file_bytes: u64,
    /// See `file_bytes`.
    pub file_age: Duration,
    /// The oldest files go when all are longer than this, bytes, or older.
    pub total_bytes: u64,
    /// See `total_bytes`.
    pub keep: Duration,
}

enum Job {
    Block(Box<Builder>),
    End(SyncSender<()>),
}

/// The recorder of one gateway.
pub struct Recorder {
    block: Box<Builder>,
    since: f64,
    named: (String, String),
    dropped: (u64, u64),
    to: SyncSender<Job>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Recorder {{ dropped: {:?} }}", self.dropped)
    }
}

fn ticks(now: f64) -> i64 {
    (now * TICKS_PER_MS) as i64
}

impl Recorder {
    /// A recorder for the gateway of this name, with a thread that writes.
    pub fn start(gateway: &str, place: Place) -> Recorder {
        let (to, jobs) = sync_channel(MOST_WAITING);
        let gateway = gateway.to_string();
        std::thread::spawn(move || write(&gateway, &place, &jobs));
        Recorder { block: Box::default(), since: 0.0, named: Default::default(), dropped: (0, 0), to }
    }

    /// The module begins with these: what a replay needs.
    pub fn boot(&mut self, now: f64, name: &str, seed: u64, strict: bool, settings: &Settings) {
        let (name, settings) = (name.to_string(), settings_to_pairs(settings));
        self.add(now, &Event::Boot { name, seed, strict, settings });
    }

    fn add(&mut self, now: f64, event: &Event) {
        if self.block.is_empty() {
            self.since = now;
            if self.dropped.0 > 0 {
                let (blocks, events) = self.dropped;
                self.block.add(ticks(now), &Event::Dropped { blocks, events });
            }
        }
        if self.block.add(ticks(now), event) || now - self.since >= HAND_ON_MS {
            self.hand_on();
        }
    }

    fn hand_on(&mut self) {
        let block = std::mem::take(&mut self.block);
        let events = u64::from(block.events());
        match self.to.try_send(Job::Block(block)) {
            Ok(()) => self.dropped = (0, 0),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped = (self.dropped.0 + 1, self.dropped.1 + events);
            }
        }
    }
}

impl Tap for Recorder {
    fn named(&mut self, id: &str, key: &str) {
        self.named = (id.to_string(), key.to_string());
    }

    fn input(&mut self, now: f64, input: Input<'_>) {
        let event = match input {
            Input::Request(request, intake) => {
                let (id, key) = std::mem::take(&mut self.named);
                Event::Taken { request, id, key, intake: intake.clone() }
            }
            Input::Report(Report::Ended {
                request,
                attempt,
                region,
                outcome,
                settled,
                latency_ms,
                closed,
            }) => Event::Ended {
                request: *request,
                attempt: *attempt,
                region: region.clone(),
                outcome: *outcome,
                settled: *settled,
                latency_ms: *latency_ms,
                closed: *closed,
            },
            Input::Report(Report::ClientLeft(request)) => Event::Left(*request),
            Input::Report(Report::CounterReplied(name, reply)) => Event::Counted(name.clone(), *reply),
            Input::Report(Report::ServiceTable { table, saved }) => {
                Event::Table { table: table.clone(), saved: *saved }
            }
            Input::Tick => Event::Tick,
            Input::ShutDown => Event::Retired,
            Input::SettingsUpdated(settings, from, epoch) => {
                Event::Tuned { epoch, settings: settings_to_pairs(settings), from }
            }
        };
        self.add(now, &event);
    }

    fn verdict(&mut self, now: f64, verdict: &Verdict) {
        self.add(now, &of_verdict(verdict.clone()));
    }

    fn answered(&mut self, now: f64, request: RequestKey, ending: Ending) {
        self.add(now, &Event::Answered(request, ending));
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if !self.block.is_empty() {
            let _ = self.to.send(Job::Block(std::mem::take(&mut self.block)));
        }
        let (done, ended) = sync_channel(1);
        if self.to.try_send(Job::End(done)).is_ok() {
            let _ = ended.recv_timeout(END_WITHIN);
        }
    }
}

/// A file under way.
struct Open {
    writer: Writer<BufWriter<File>>,
    begun: Instant,
}

fn write(gateway: &str, place: &Place, jobs: &Receiver<Job>) {
    let mut open: Option<Open> = None;
    let mut failed = false;
    for job in jobs {
        let done = match job {
            Job::Block(mut block) => {
                let (bytes, summary) = block.close();
                let keep = || -> Result<(), String> {
                    let full = open.as_ref().is_some_and(|open| {
                        open.writer.length() >= place.file_bytes || open.begun.elapsed() >= place.file_age
                    });
                    if full {
                        end(open.take());
                    }
                    let file = match &mut open {
                        Some(file) => file,
                        None => {
                            let file = begin(gateway, place)?;
                            thin(place);
                            open.insert(file)
                        }
                    };
                    file.writer.add_block(&bytes, summary).map_err(|why| why.to_string())?;
                    file.writer.flush().map_err(|why| why.to_string())
                };
                keep()
            }
            Job::End(ended) => {
                end(open.take());
                let _ = ended.send(());
                Ok(())
            }
        };
        match done {
            Ok(()) => failed = false,
            Err(why) => {
                // A full or vanished disk costs the trace, never the service; said once until it is well again.
                if !std::mem::replace(&mut failed, true) {
                    tracing::error!("traces can't be written: {why}");
                }
                open = None;
            }
        }
    }
    end(open);
}

fn end(open: Option<Open>) {
    if let Some(open) = open {
        if let Err(why) = open.writer.end() {
            tracing::error!("a trace could not be ended: {why}");
        }
    }
}

fn begin(gateway: &str, place: &Place) -> Result<Open, String> {
    let text = |why: std::io::Error| format!("{}: {why}", place.folder.display());
    std::fs::create_dir_all(&place.folder).map_err(text)?;
    let begun_ms =
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |at| at.as_secs_f64() * 1e3);
    let safe: String =
        gateway.chars().map(|letter| if letter.is_ascii_alphanumeric() { letter } else { '_' }).collect();
    let name = format!("{safe}-{:015.0}-{}.{ENDING}", begun_ms, std::process::id());
    let path = place.folder.join(name);
    let file = File::options().write(true).create_new(true).open(&path).map_err(text)?;
    let about = vec![("program".to_string(), format!("nickeljunction {}", env!("CARGO_PKG_VERSION")))];
    let header = Header { gateway: gateway.to_string(), begun_ms, about };
    let writer = Writer::new(BufWriter::new(file), &header).map_err(|why| why.to_string())?;
    Ok(Open { writer, begun: Instant::now() })
}

/// Removes the oldest traces beyond the total length and age; only files with the ending of a trace.
fn thin(place: &Place) {
    let Ok(entries) = std::fs::read_dir(&place.folder) else { return };
    let mut files: Vec<(SystemTime, u64, PathBuf)> = entries
        .flatten()
        .filter(|entry| Path::new(&entry.file_name()).extension().is_some_and(|ending| ending == ENDING))
        .filter_map(|entry| {
            let about = entry.metadata().ok()?;
            Some((about.modified().ok()?, about.len(), entry.path()))
        })
        .collect();
    files.sort();
    let mut total: u64 = files.iter().map(|(_, length, _)| length).sum();
    for (modified, length, path) in files {
        let old = modified.elapsed().is_ok_and(|age| age > place.keep);
        if total <= place.total_bytes && !old {
            return;
        }
        if std::fs::remove_file(&path).is_ok() {
            total -= length;
        }
    }
}
