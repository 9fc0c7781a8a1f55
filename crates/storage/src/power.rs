//! What a loss of power may leave of a folder, name by name and file by file, for tests: the store's own syncs are written
//! down as they are made, and from them every folder is built that a machine may find.
//!
//! A name that was made, renamed or removed since its folder was last synced is there or not, each by itself. A file has
//! what it had when it was last synced, what it has now, or sectors of both.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

const SECTOR: usize = 512;
/// Begins the names of sled's own snapshots.
const SNAPSHOT: &str = "snap.";
/// More names than this are not undecided at a time.
const NAMES_MAX: usize = 7;

/// A folder's content by path; none: a folder.
type Tree = BTreeMap<PathBuf, Option<Vec<u8>>>;

/// What was synced of a folder and all in it.
#[derive(Debug, Clone, Default)]
struct Synced {
    files: BTreeMap<PathBuf, Vec<u8>>,
    names: BTreeMap<PathBuf, BTreeSet<PathBuf>>,
}

/// A moment at which power may be lost.
#[derive(Debug, Clone)]
pub(crate) struct Point {
    live: Tree,
    synced: Synced,
    /// So many saves were acknowledged before.
    pub(crate) acked: usize,
}

#[derive(Debug)]
struct Recorder {
    root: PathBuf,
    synced: Synced,
    points: Vec<Point>,
    /// All points are kept, not only the newest.
    keeps_points: bool,
    acked: usize,
}

thread_local! {
    static RECORDER: RefCell<Option<Recorder>> = const { RefCell::new(None) };
}

/// Begins to write down what is synced in this folder, which is durable as it stands, and each point at which power may be
/// lost.
pub(crate) fn record(root: &Path) {
    begin(root, true);
}

/// The same without the points: only [`now`] tells what a loss of power leaves.
pub(crate) fn record_synced(root: &Path) {
    begin(root, false);
}

fn begin(root: &Path, keeps_points: bool) {
    let mut live = Tree::new();
    read(root, root, &mut live);
    let mut synced = Synced { names: BTreeMap::from([(PathBuf::new(), names(root))]), ..Synced::default() };
    for (path, bytes) in live {
        match bytes {
            Some(bytes) => drop(synced.files.insert(path, bytes)),
            None => drop(synced.names.insert(path.clone(), names(&root.join(path)))),
        }
    }
    let recorder = Recorder { root: root.to_owned(), synced, points: Vec::new(), keeps_points, acked: 0 };
    RECORDER.set(Some(recorder));
}

/// Ends it, and gives all points.
pub(crate) fn points() -> Vec<Point> {
    point();
    RECORDER.take().map_or_else(Vec::new, |recorder| recorder.points)
}

/// A save was acknowledged.
pub(crate) fn acked() {
    point();
    with(|recorder| recorder.acked += 1);
}

/// What a folder holds now is durable.
pub(crate) fn settle(folder: &Path) {
    with(|recorder| {
        let Synced { files, names } = &mut recorder.synced;
        files.retain(|path, _| !path.starts_with(folder));
        names.retain(|path, _| !path.starts_with(folder));
        let mut live = Tree::new();
        read(&recorder.root, &recorder.root.join(folder), &mut live);
        names.insert(folder.to_owned(), self::names(&recorder.root.join(folder)));
        for (path, bytes) in live {
            match bytes {
                Some(bytes) => drop(files.insert(path, bytes)),
                None => drop(names.insert(path.clone(), self::names(&recorder.root.join(path)))),
            }
        }
        names.insert(PathBuf::new(), self::names(&recorder.root));
    });
}

/// A file was synced.
pub(crate) fn file(path: &Path) {
    point();
    with(|recorder| {
        if let (Ok(name), Ok(bytes)) = (path.strip_prefix(&recorder.root), fs::read(path)) {
            recorder.synced.files.insert(name.to_owned(), bytes);
        }
    });
}

/// A folder was synced.
pub(crate) fn folder(path: &Path) {
    point();
    with(|recorder| {
        if let Ok(name) = path.strip_prefix(&recorder.root) {
            let now = names(path);
            // What is gone for good leaves nothing to whatever gets its name later.
            for gone in
                recorder.synced.names.get(name).into_iter().flatten().filter(|old| !now.contains(*old))
            {
                let gone = name.join(gone);
                recorder.synced.files.retain(|file, _| !file.starts_with(&gone));
            }
            recorder.synced.names.insert(name.to_owned(), now);
        }
    });
}

/// A folder got another name: what was synced in it is under both.
pub(crate) fn renamed(from: &Path, to: &Path) {
    with(|recorder| {
        let (Ok(from), Ok(to)) = (from.strip_prefix(&recorder.root), to.strip_prefix(&recorder.root)) else {
            return;
        };
        let moved = |path: &PathBuf| Some(to.join(path.strip_prefix(from).ok()?));
        let Synced { files, names } = &mut recorder.synced;
        let new: Vec<_> =
            files.iter().filter_map(|(path, bytes)| Some((moved(path)?, bytes.clone()))).collect();
        files.extend(new);
        let new: Vec<_> =
            names.iter().filter_map(|(path, names)| Some((moved(path)?, names.clone()))).collect();
        names.extend(new);
    });
    point();
}

thread_local! {
    /// So many syncs go well, and as many after them don't.
    static FAULTS: Cell<(usize, usize)> = const { Cell::new((usize::MAX, 0)) };
}

/// After `well` more syncs the disk takes nothing for the next `bad` ones.
pub(crate) fn fail_after(well: usize, bad: usize) {
    FAULTS.set((well, bad));
}

/// Whether all faults have come.
pub(crate) fn failed() -> bool {
    FAULTS.get().1 == 0
}

thread_local! {
    /// So many openings of a store break in the middle.
    static BROKEN_OPENINGS: Cell<usize> = const { Cell::new(0) };
}

/// The next so many openings of a store break in the middle, as a store's code may on a disk that takes nothing.
pub(crate) fn break_openings(count: usize) {
    BROKEN_OPENINGS.set(count);
}

/// What becomes of the next opening.
///
/// # Errors
/// It breaks.
pub(crate) fn ask_to_open() -> Result<(), crate::StorageError> {
    let left = BROKEN_OPENINGS.get();
    BROKEN_OPENINGS.set(left.saturating_sub(1));
    match left {
        0 => Ok(()),
        _ => Err(crate::StorageError::Panicked("open", "store.".to_owned())),
    }
}

/// What the disk says to the next sync.
///
/// # Errors
/// It is full.
pub(crate) fn ask() -> std::io::Result<()> {
    match FAULTS.get() {
        (0, 0) | (usize::MAX, _) => Ok(()),
        (0, bad) => {
            FAULTS.set((0, bad - 1));
            Err(std::io::ErrorKind::StorageFull.into())
        }
        (well, bad) => {
            FAULTS.set((well - 1, bad));
            Ok(())
        }
    }
}

fn with(act: impl FnOnce(&mut Recorder)) {
    RECORDER.with_borrow_mut(|recorder| recorder.as_mut().map(act));
}

/// What a loss of power may leave now.
pub(crate) fn now() -> Point {
    RECORDER.with_borrow(|recorder| recorder.as_ref().map(Recorder::point)).expect("something is recorded")
}

impl Recorder {
    fn point(&self) -> Point {
        let mut live = Tree::new();
        read(&self.root, &self.root, &mut live);
        Point { live, synced: self.synced.clone(), acked: self.acked }
    }
}

/// Power may be lost here.
fn point() {
    with(|recorder| {
        if recorder.keeps_points {
            let point = recorder.point();
            recorder.points.push(point);
        }
    });
}

fn names(folder: &Path) -> BTreeSet<PathBuf> {
    fs::read_dir(folder).into_iter().flatten().flatten().map(|item| item.file_name().into()).collect()
}

fn read(root: &Path, folder: &Path, tree: &mut Tree) {
    for name in names(folder) {
        let path = folder.join(name);
        let at = path.strip_prefix(root).expect("within").to_owned();
        if path.is_dir() {
            tree.insert(at, None);
            read(root, &path, tree);
        } else if let Ok(bytes) = fs::read(&path) {
            tree.insert(at, Some(bytes));
        }
    }
}

/// What a file has that wasn't synced since it was changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Content {
    Synced,
    Now,
    /// Each second sector of what is new.
    Torn,
}

pub(crate) const CONTENTS: [Content; 3] = [Content::Synced, Content::Now, Content::Torn];

impl Point {
    /// Names of which nobody knows whether they are there.
    pub(crate) fn open_names(&self) -> Vec<PathBuf> {
        let mut open = Vec::new();
        self.walk(Path::new(""), &mut open);
        open.truncate(NAMES_MAX);
        open
    }

    fn walk(&self, folder: &Path, open: &mut Vec<PathBuf>) {
        let (before, now) = self.names_of(folder);
        for name in before.union(&now) {
            let path = folder.join(name);
            if before.contains(name) != now.contains(name) {
                open.push(path.clone());
            }
            self.walk(&path, open);
        }
    }

    fn names_of(&self, folder: &Path) -> (BTreeSet<PathBuf>, BTreeSet<PathBuf>) {
        let before = self.synced.names.get(folder).cloned().unwrap_or_default();
        let within = self.live.keys().filter(|path| path.parent() == Some(folder));
        (before, within.filter_map(|path| path.file_name().map(PathBuf::from)).collect())
    }

    /// Names within a folder of which nobody knows whether they are there.
    pub(crate) fn open_names_of(&self, folder: &Path) -> Vec<PathBuf> {
        let mut open = Vec::new();
        self.walk(folder, &mut open);
        open
    }

    /// Builds one folder, with all in it, as a machine finds it without these names.
    pub(crate) fn build_folder(
        &self,
        root: &Path,
        folder: &Path,
        missing: &BTreeSet<PathBuf>,
        content: Content,
    ) {
        fs::create_dir_all(root.join(folder)).expect("a folder");
        self.build_in(root, folder, missing, content);
    }

    /// Builds the folder that a machine finds without these names.
    pub(crate) fn build(&self, root: &Path, missing: &BTreeSet<PathBuf>, content: Content) {
        self.build_in(root, Path::new(""), missing, content);
    }

    fn build_in(&self, root: &Path, folder: &Path, missing: &BTreeSet<PathBuf>, content: Content) {
        let (before, now) = self.names_of(folder);
        for name in before.union(&now) {
            let path = folder.join(name);
            if missing.contains(&path) {
                continue;
            }
            let live = self.live.get(&path);
            if matches!(live, Some(None)) || (live.is_none() && self.synced.names.contains_key(&path)) {
                fs::create_dir_all(root.join(&path)).expect("a folder");
                self.build_in(root, &path, missing, content);
                continue;
            }
            let synced = self.synced.files.get(&path);
            // Sled syncs these by itself before it gives them their name.
            let whole = name.to_string_lossy().starts_with(SNAPSHOT) && name.extension().is_some();
            let bytes = match (live, synced) {
                (Some(Some(live)), _) if whole => live.clone(),
                (Some(Some(live)), Some(synced)) => mix(synced, live, content),
                (Some(Some(live)), None) => mix(&[], live, content),
                (_, synced) => synced.cloned().unwrap_or_default(),
            };
            fs::write(root.join(&path), bytes).expect("a file");
        }
    }
}

fn mix(synced: &[u8], live: &[u8], content: Content) -> Vec<u8> {
    match content {
        Content::Synced => synced.to_vec(),
        Content::Now => live.to_vec(),
        Content::Torn => {
            let mut torn = synced.to_vec();
            torn.resize(live.len().max(synced.len()), 0);
            for at in (0..live.len()).step_by(2 * SECTOR) {
                let sector = at..(at + SECTOR).min(live.len());
                torn[sector.clone()].copy_from_slice(&live[sector]);
            }
            torn
        }
    }
}
