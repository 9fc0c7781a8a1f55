//! `controller store`: the disk of a stopped member, for people. `docs/operators/store.md` shows each order.

use crate::cli::StoreCmd;
use nickeljunction_consensus::{member_id_from_random, Body, HardState, Member, Snapshot, Write};
use nickeljunction_replica::state::{Entry, Outcome, ReplicatedState};
use nickeljunction_storage::{FileLogStore, LogStore, StorageError, StoreReport};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The log store's folder in a data folder.
pub const CONSENSUS: &str = "logbook";
/// Where a replaced one goes.
const REPLACED: &str = "logbook.replaced";
/// First words of a snapshot's file, before its checksum and length.
const HEAD: &str = "nickeljunction snapshot 1";
/// A restored log begins at the next whole multiple of this, in index and term: out of the reach of any log and term that
/// an old member's disk may still have.
const JUMP: u64 = 1_000_000;

quick_error! {
    /// Why an order was not done.
    #[derive(Debug)]
    pub enum StoreError {
        /// The store.
        Storage(cause: StorageError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// A file of the order's own.
        File(step: &'static str, path: PathBuf, cause: std::io::Error) {
            display("{} {}: {}", step, path.display(), cause)
            source(cause)
        }
        /// It can't be used.
        Unfit(path: PathBuf, what: String) {
            display("{}: {}", path.display(), what)
        }
        /// The state can't be told from what is there.
        Unsound(fault: String) {
            display("unsound: {}", fault)
        }
    }
}

/// A snapshot's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Parcel {
    /// Whose disk it is from.
    from: Member,
    /// The last entry that it covers, and that entry's term.
    index: u64,
    term: u64,
    /// Term that the disk knew of.
    hard_term: u64,
    state: ReplicatedState,
}

/// Does an order and returns its exit code: 0 done or sound, 1 unsound, 2 bad use.
pub fn run(order: StoreCmd) -> ExitCode {
    match carry_out(order) {
        Ok((text, code)) => {
            // Whoever reads it may have gone.
            let _ = std::io::stdout().write_all(text.as_bytes());
            code
        }
        Err(error) => {
            eprintln!("controller: {error}");
            ExitCode::from(if matches!(error, StoreError::Unsound(_)) { 1 } else { 2 })
        }
    }
}

fn carry_out(order: StoreCmd) -> Result<(String, ExitCode), StoreError> {
    let done = |text: String| Ok((text, ExitCode::SUCCESS));
    match order {
        StoreCmd::Verify(order) => {
            let survey = survey(&order.folder)?;
            let code = if survey.faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
            Ok((verdict(&survey, order.json), code))
        }
        StoreCmd::Show(order) => {
            let survey = survey(&order.folder)?;
            done(if order.json { line(&shown(&survey)) } else { told(&survey) })
        }
        StoreCmd::Export(order) => {
            let survey = survey(&order.folder)?;
            let parcel = parcel(&survey)?;
            let value = if order.config { parcel.state.doc().clone() } else { exported(&survey, &parcel) };
            let text = format!("{value:#}\n");
            match order.out {
                None => done(text),
                Some(file) => {
                    write_new(&file, text.as_bytes())?;
                    done(String::new())
                }
            }
        }
        StoreCmd::Snapshot(order) => {
            let parcel = parcel(&survey(&order.folder)?)?;
            write_new(&order.file, &wrap(&parcel)?)?;
            let (index, term, version) = (parcel.index, parcel.term, parcel.state.version());
            done(format!("snapshot up to entry {index} of term {term}, config version {version}\n"))
        }
        StoreCmd::Restore(order) => {
            let me = Member { id: member_id_from_random(fastrand::u64(..)), host: order.host };
            done(restore(&order.file, &order.folder, me, order.replace)?)
        }
    }
}

fn survey(folder: &Path) -> Result<StoreReport, StoreError> {
    let own = folder.join(CONSENSUS);
    Ok(StoreReport::of(if own.is_dir() { &own } else { folder })?)
}

/// The state that the log makes, all entries on this disk applied.
fn parcel(survey: &StoreReport) -> Result<Parcel, StoreError> {
    if let Some(fault) = survey.faults.first() {
        return Err(StoreError::Unsound(fault.clone()));
    }
    let unsound = |what: String| StoreError::Unsound(what);
    let Some(from) = survey.me.clone() else { return Err(unsound("me: is missing".into())) };
    let (mut index, mut term, mut state) = (0, 0, ReplicatedState::default());
    if let Some(snapshot) = &survey.snapshot {
        (index, term) = (snapshot.index, snapshot.term);
        if !snapshot.state.is_empty() {
            state = ReplicatedState::from_text(&snapshot.state)
                .map_err(|error| unsound(format!("snapshot {index}: {error}")))?;
        }
    }
    for entry in &survey.entries {
        (index, term) = (entry.index, entry.term);
        if let Body::Data(data) = &entry.body {
            let change: Entry =
                serde_json::from_str(data).map_err(|error| unsound(format!("entry {index}: {error}")))?;
            if state.apply(change) == Outcome::Diverged {
                return Err(unsound(format!("entry {index}: makes another configuration than it should")));
            }
        }
    }
    Ok(Parcel { from, index, term, hard_term: survey.hard.map_or(0, |hard| hard.term), state })
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}

fn verdict(survey: &StoreReport, json: bool) -> String {
    let lost =
        "a member that starts from it gives it up, comes back under a new number, and learns the log anew";
    let state = parcel(survey);
    // What the log says must make a state, too.
    let fault = survey.faults.first().cloned().or_else(|| state.err().map(|error| error.to_string()));
    if json {
        return line(&json!({
            "sound": fault.is_none(), "faults": survey.faults, "format": survey.format,
            "records": survey.records, "entries": survey.entries.len(), "mark": survey.mark.is_some(),
        }));
    }
    let mut text = match &fault {
        None => format!("sound: {} records, format {}\n", survey.records, survey.format),
        Some(fault) => format!(
            "unsound: {fault}\n  {} faults; {} records could be found, {} entries read\n  {lost}\n",
            survey.faults.len(),
            survey.records,
            survey.entries.len()
        ),
    };
    if survey.mark.is_none() {
        text.push_str("  without a mark: an end that is missing as a whole can't be told\n");
    }
    text
}

fn shown(survey: &StoreReport) -> Value {
    let state = parcel(survey).map(|parcel| parcel.state).ok();
    let at = survey.snapshot.as_ref();
    json!({
        "store": survey.store, "bytes": survey.bytes, "format": survey.format, "records": survey.records,
        "saves": survey.saves, "saves_by_mark": survey.mark.map(|mark| mark.saves),
        "member": survey.me, "term": survey.hard.map(|hard| hard.term),
        "vote": survey.hard.and_then(|hard| hard.vote),
        "snapshot_index": at.map(|snapshot| snapshot.index),
        "first_entry": survey.entries.first().map(|entry| entry.index),
        "last_entry": survey.entries.last().map(|entry| entry.index),
        "members": members(survey),
        "config_version": state.as_ref().map(ReplicatedState::version),
        "evacuated": state.as_ref().map(ReplicatedState::evacuated),
        "gateways": state.as_ref().map(|state| state.gateways().values().collect::<Vec<_>>()),
        "faults": survey.faults,
    })
}

fn members(survey: &StoreReport) -> Vec<Member> {
    let newest = survey.entries.iter().rev().find_map(|entry| entry.body.members().map(<[Member]>::to_vec));
    newest.or(survey.snapshot.as_ref().map(|snapshot| snapshot.members.clone())).unwrap_or_default()
}

/// [`shown`] as lines of name and value.
fn told(survey: &StoreReport) -> String {
    let value = shown(survey);
    let mut text = String::new();
    let names = [
        "store",
        "bytes",
        "format",
        "records",
        "saves",
        "saves_by_mark",
        "member",
        "term",
        "vote",
        "snapshot_index",
        "first_entry",
        "last_entry",
        "members",
        "config_version",
        "evacuated",
        "gateways",
        "faults",
    ];
    for name in names {
        let told = match &value[name] {
            Value::Null => "-".to_owned(),
            Value::Array(items) if items.is_empty() => "none".to_owned(),
            Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(", "),
            one => plain(one),
        };
        text.push_str(&format!("{name:<15} {told}\n"));
    }
    text
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        // A member: its number and where it is.
        Value::Object(member) => member.values().map(plain).collect::<Vec<_>>().join(" at "),
        other => other.to_string(),
    }
}

fn exported(survey: &StoreReport, parcel: &Parcel) -> Value {
    json!({
        "from": parcel.from, "index": parcel.index, "term": parcel.term,
        "agreed_up_to": survey.snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
        "config_version": parcel.state.version(), "config": parcel.state.doc(),
        "evacuated": parcel.state.evacuated(),
    })
}

/// A snapshot's file: a line that tells what it is, with checksum and length of the JSON after it.
fn wrap(parcel: &Parcel) -> Result<Vec<u8>, StoreError> {
    let body = serde_json::to_vec(parcel).map_err(|error| StoreError::Unsound(error.to_string()))?;
    let head = format!("{HEAD} crc32={:08x} bytes={}\n", crc32fast::hash(&body), body.len());
    Ok([head.as_bytes(), &body, b"\n"].concat())
}

fn unwrap(path: &Path, bytes: &[u8]) -> Result<Parcel, StoreError> {
    let unfit = |what: &str| StoreError::Unfit(path.to_owned(), what.to_owned());
    let cut = bytes.iter().position(|byte| *byte == b'\n').ok_or_else(|| unfit("is no snapshot"))?;
    let (head, rest) = (String::from_utf8_lossy(&bytes[..cut]).into_owned(), &bytes[cut + 1..]);
    if !head.starts_with(HEAD) {
        return Err(unfit("is no snapshot of format 1"));
    }
    let body = rest.strip_suffix(b"\n").ok_or_else(|| unfit("is cut off"))?;
    if head != format!("{HEAD} crc32={:08x} bytes={}", crc32fast::hash(body), body.len()) {
        return Err(unfit("has another checksum or length than it should"));
    }
    serde_json::from_slice(body).map_err(|error| StoreError::Unfit(path.to_owned(), error.to_string()))
}

/// Writes a file that must not exist, whole and synced.
fn write_new(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let write = || -> std::io::Result<()> {
        let mut file = File::create_new(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    };
    write().map_err(|cause| StoreError::File("write", path.to_owned(), cause))
}

/// Makes `folder` the disk of `me`, the only member of a new core that starts with the snapshot's state.
fn restore(file: &Path, folder: &Path, me: Member, replace: bool) -> Result<String, StoreError> {
    if me.host.parse::<std::net::IpAddr>().is_err() {
        return Err(StoreError::Unfit(me.host.into(), "is no IP address".to_owned()));
    }
    let bytes = fs::read(file).map_err(|cause| StoreError::File("read", file.to_owned(), cause))?;
    let parcel = unwrap(file, &bytes)?;
    let own = folder.join(CONSENSUS);
    let full = |dir: &Path| fs::read_dir(dir).is_ok_and(|mut items| items.next().is_some());
    if full(folder) && !replace {
        let what = "isn't empty; --replace puts the store in it aside".to_owned();
        return Err(StoreError::Unfit(folder.to_owned(), what));
    }
    if own.exists() {
        let aside = folder.join(REPLACED);
        if aside.exists() {
            return Err(StoreError::Unfit(aside, "exists already; move it away first".to_owned()));
        }
        fs::rename(&own, &aside).map_err(|cause| StoreError::File("rename", own.clone(), cause))?;
    }
    let beyond = |value: u64| (value / JUMP + 1) * JUMP;
    let (index, term) = (beyond(parcel.index), beyond(parcel.term.max(parcel.hard_term)));
    let mut hold = FileLogStore::open(&own)?;
    hold.save(&Write {
        ticket: 1,
        me: Some(me.clone()),
        hard: Some(HardState { term, vote: None }),
        snapshot: Some(Snapshot { index, term, members: vec![me.clone()], state: parcel.state.to_text() }),
        ..Write::default()
    })?;
    let version = parcel.state.version();
    Ok(format!("member {} at {}: entry {index}, term {term}, config version {version}\n", me.id, me.host))
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_consensus::{Consensus, Restored, Tuning};

    fn temp() -> PathBuf {
        let dir = std::env::temp_dir().join(format!("controller-{:x}", fastrand::u64(..)));
        fs::create_dir_all(&dir).expect("a folder");
        dir
    }

    fn member(id: u64, host: &str) -> Member {
        Member { id, host: host.into() }
    }

    /// A member's disk whose log holds configuration 4 and an evacuation, after a snapshot with configuration 2.
    fn old_disk(folder: &Path) -> Restored {
        let put = |base, version| Entry::Put {
            base,
            version,
            digest: "d".into(),
            doc: json!({"config_version": version}),
        };
        let mut state = ReplicatedState::default();
        state.apply(put(0, 2));
        let data = |entry: &Entry| Body::Data(serde_json::to_string(entry).expect("JSON"));
        let entry = |index, body| nickeljunction_consensus::Entry { index, term: 5, body };
        let members = vec![member(1, "10.0.0.1"), member(2, "10.0.0.2"), member(3, "10.0.0.3")];
        let write = Write {
            ticket: 1,
            me: Some(member(2, "10.0.0.2")),
            hard: Some(HardState { term: 7, vote: Some(3) }),
            snapshot: Some(Snapshot { index: 10, term: 4, members, state: state.to_text() }),
            entries: vec![entry(11, data(&put(2, 4))), entry(12, data(&Entry::Evacuate("z".into())))],
            ..Write::default()
        };
        let mut hold = FileLogStore::open(folder.join(CONSENSUS)).expect("opens");
        hold.save(&write).expect("saved");
        hold.load().expect("loads").expect("a store").into()
    }

    #[test]
    fn a_restored_core_has_the_state_and_an_old_member_learns_from_it() {
        let dir = temp();
        let (old, file, new) = (dir.join("old"), dir.join("file"), dir.join("new"));
        let lost = old_disk(&old);
        let parcel = parcel(&survey(&old).expect("a store")).expect("sound");
        assert_eq!((parcel.index, parcel.term, parcel.state.version()), (12, 5, 4));
        let bytes = wrap(&parcel).expect("text");
        for cut in 0..bytes.len() {
            assert!(unwrap(&file, &bytes[..cut]).is_err(), "cut at {cut}");
        }
        write_new(&file, &bytes).expect("written");
        assert!(write_new(&file, &bytes).is_err(), "never over another file");
        let me = member(9, "10.0.0.1");
        let full = restore(&file, &old, me.clone(), false).expect_err("the folder is in use");
        assert!(full.to_string().contains("isn't empty"), "{full}");
        restore(&file, &new, me.clone(), false).expect("restored");
        let kept =
            FileLogStore::open(new.join(CONSENSUS)).expect("opens").load().expect("loads").expect("a store");
        assert_eq!((kept.hard.term, &kept.me), (1_000_000, &me));

        // The old member finds the new core: it is taught, and nothing of its log counts.
        let mut books = [
            Consensus::new(kept.into(), Tuning::default(), 1, 0),
            Consensus::new(lost, Tuning::default(), 2, 0),
        ];
        books[1].add_seed_hosts(&[me.host]);
        let mut states = [ReplicatedState::default(), ReplicatedState::default()];
        for now in 0..8_000 {
            for at in 0..2 {
                books[at].tick(now);
                let out = books[at].take_outputs();
                if let Some(snapshot) = out.restored_state {
                    states[at] = ReplicatedState::from_text(&snapshot.state).expect("own text");
                }
                for entry in out.committed.iter().filter_map(|entry| entry.data()) {
                    states[at].apply(serde_json::from_str(entry).expect("own entry"));
                }
                for write in out.writes {
                    books[at].written(now, write.ticket);
                }
                for (host, envelope) in out.send {
                    match host.as_str() {
                        "10.0.0.1" => books[0].step(now, envelope),
                        "10.0.0.2" => books[1].step(now, envelope),
                        _ => {}
                    }
                }
            }
            if now == 3_000 {
                let entry = serde_json::to_string(&Entry::Return("z".into())).expect("JSON");
                books[0].propose(now, entry).expect("it leads");
            }
        }
        assert!(books[0].is_leader() && books[0].members().len() == 2);
        assert_eq!(states[0], states[1]);
        assert!(states[1].version() == 4 && states[1].evacuated().is_empty());
        fs::remove_dir_all(dir).expect("removed");
    }
}
