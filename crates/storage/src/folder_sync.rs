//! Syncs a folder's files and names to the disk: sled's own flush writes to the kernel's cache, and syncs no folder.

use crate::StorageError;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The store's log, which every flush changes.
const LOG: &str = "db";

/// Length and modification time of a file, as of its last sync.
pub(crate) type FileState = (u64, Option<SystemTime>);

/// A folder, and the state of its files when they were last synced.
#[derive(Debug)]
pub(crate) struct FolderSync {
    dir: PathBuf,
    file_states: BTreeMap<PathBuf, FileState>,
    /// The store's log stays open: it is synced each time.
    log: Option<File>,
    /// Copies of what was synced, which is what a loss of power leaves.
    #[cfg(test)]
    pub(crate) shadow: Option<PathBuf>,
    /// Syncs nothing, to show that tests see the loss.
    #[cfg(test)]
    pub(crate) lazy: bool,
    /// Syncs the files themselves.
    #[cfg(test)]
    pub(crate) truly: bool,
}

impl FolderSync {
    /// Nothing is synced yet.
    pub(crate) fn new(dir: &Path) -> FolderSync {
        FolderSync {
            dir: dir.to_owned(),
            file_states: BTreeMap::new(),
            log: None,
            #[cfg(test)]
            shadow: None,
            #[cfg(test)]
            lazy: false,
            #[cfg(test)]
            truly: false,
        }
    }

    /// Syncs the store's log, every file that is new or changed since it was last synced, and the folders whose
    /// names changed. The first time that is everything.
    ///
    /// # Errors
    /// Where one could not be synced; the next call syncs everything.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        #[cfg(test)]
        if self.lazy {
            return Ok(());
        }
        let done = self.sync_changed();
        if done.is_err() {
            self.file_states.clear();
            self.log = None;
        }
        done
    }

    /// Bytes of all files, as of the last sync.
    pub(crate) fn size(&self) -> u64 {
        self.file_states.values().map(|(len, _)| len).sum()
    }

    fn sync_changed(&mut self) -> Result<(), StorageError> {
        let mut file_states = BTreeMap::new();
        let mut folders = Vec::new();
        list_files(&self.dir, &mut file_states, &mut folders)
            .map_err(|cause| io_error("list", &self.dir, cause))?;
        for (path, file_state) in &file_states {
            let is_log = path.parent() == Some(&self.dir) && path.file_name().is_some_and(|name| name == LOG);
            if is_log || self.file_states.get(path) != Some(file_state) {
                self.sync_file(path, is_log)?;
            }
        }
        if !self.file_states.keys().eq(file_states.keys()) {
            for folder in &folders {
                self.sync_names(folder)?;
            }
        }
        self.file_states = file_states;
        Ok(())
    }

    fn sync_file(&mut self, path: &Path, is_log: bool) -> Result<(), StorageError> {
        #[cfg(test)]
        crate::power::ask().map_err(|cause| io_error("sync", path, cause))?;
        #[cfg(test)]
        crate::power::file(path);
        #[cfg(test)]
        if !self.truly {
            // The shadow tells what lasts; waiting for the true disk would tell nothing more.
            self.shadow_file(path);
            return Ok(());
        }
        let done = match &self.log {
            Some(log) if is_log => log.sync_all(),
            _ => File::open(path).and_then(|file| {
                file.sync_all()?;
                self.log = if is_log { Some(file) } else { self.log.take() };
                Ok(())
            }),
        };
        match done {
            // The store clears away its own old files meanwhile.
            Err(cause) if cause.kind() == io::ErrorKind::NotFound && !is_log => Ok(()),
            done => done.map_err(|cause| io_error("sync", path, cause)),
        }
    }

    fn sync_names(&mut self, folder: &Path) -> Result<(), StorageError> {
        #[cfg(test)]
        crate::power::ask().map_err(|cause| io_error("sync", folder, cause))?;
        #[cfg(test)]
        crate::power::folder(folder);
        #[cfg(test)]
        if !self.truly {
            self.shadow_folder(folder);
            return Ok(());
        }
        sync_folder(folder)
    }

    /// A file's content lasts from here on.
    #[cfg(test)]
    fn shadow_file(&self, path: &Path) {
        if let (Some(shadow), Ok(name)) = (&self.shadow, path.strip_prefix(&self.dir)) {
            let to = shadow.join(name);
            fs::create_dir_all(to.parent().unwrap()).unwrap();
            fs::copy(path, to).unwrap();
        }
    }

    /// A folder's names are gone for good from here on, where they are gone.
    #[cfg(test)]
    fn shadow_folder(&self, folder: &Path) {
        if let (Some(shadow), Ok(name)) = (&self.shadow, folder.strip_prefix(&self.dir)) {
            for item in fs::read_dir(shadow.join(name)).into_iter().flatten() {
                let item = item.unwrap();
                if item.path().is_file() && !folder.join(item.file_name()).exists() {
                    fs::remove_file(item.path()).unwrap();
                }
            }
        }
    }
}

/// All files under a folder, and all folders from it on.
pub(crate) fn list_files(
    dir: &Path,
    file_states: &mut BTreeMap<PathBuf, FileState>,
    folders: &mut Vec<PathBuf>,
) -> io::Result<()> {
    folders.push(dir.to_owned());
    for item in fs::read_dir(dir)? {
        let path = item?.path();
        let about = match fs::metadata(&path) {
            Ok(about) => about,
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => continue,
            Err(cause) => return Err(cause),
        };
        if about.is_dir() {
            list_files(&path, file_states, folders)?;
        } else {
            file_states.insert(path, (about.len(), about.modified().ok()));
        }
    }
    Ok(())
}

/// Writes and syncs a little, to learn whether the disk takes writes.
///
/// # Errors
/// Where it doesn't.
pub(crate) fn check_writable(dir: &Path) -> Result<(), StorageError> {
    let path = dir.join("probe");
    let write = || -> io::Result<()> {
        #[cfg(test)]
        crate::power::ask()?;
        fs::write(&path, [1; 64 * 1024])?;
        File::open(&path)?.sync_all()
    };
    let done = write().map_err(|cause| io_error("probe", &path, cause));
    // Whatever remains of it is cleared with the rest.
    let _ = fs::remove_file(&path);
    done
}

/// Makes the names in a folder last.
///
/// # Errors
/// Where it could not be synced.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    #[cfg(test)]
    crate::power::ask().map_err(|cause| io_error("sync", folder, cause))?;
    #[cfg(test)]
    crate::power::folder(folder);
    if cfg!(test) {
        // No test's files outlive its machine.
        return Ok(());
    }
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(|cause| io_error("sync", folder, cause))
}

/// Makes a folder where it is missing, and makes its name last, and the names of those above it that were missing: what is
/// synced within a folder is lost with it.
///
/// # Errors
/// Where it could not be made or synced.
pub(crate) fn make_folder(dir: &Path) -> Result<(), StorageError> {
    let missing =
        dir.ancestors().skip(1).take_while(|above| !above.as_os_str().is_empty() && !above.exists());
    let missing = missing.count();
    fs::create_dir_all(dir).map_err(|cause| io_error("create", dir, cause))?;
    // The last one is there, and was perhaps made by a life that ended before it could sync.
    for above in dir.ancestors().skip(1).take(missing + 1) {
        sync_folder(if above.as_os_str().is_empty() { Path::new(".") } else { above })?;
    }
    Ok(())
}

/// Removes all that is in a folder but the file `kept`, and makes that last.
///
/// # Errors
/// Where something could not be removed.
pub(crate) fn clear(dir: &Path, kept: &str) -> Result<(), StorageError> {
    let remove = || -> io::Result<()> {
        for item in fs::read_dir(dir)? {
            let path = item?.path();
            if path.file_name().is_some_and(|name| name == kept) {
                continue;
            }
            if path.is_dir() {
                fs::remove_dir_all(&path)?;
            } else {
                fs::remove_file(&path)?;
            }
        }
        Ok(())
    };
    remove().map_err(|cause| io_error("clear", dir, cause))?;
    sync_folder(dir)
}

/// Bytes of all files under a folder; files that vanish meanwhile don't count.
pub(crate) fn size(dir: &Path) -> u64 {
    let mut file_states = BTreeMap::new();
    // What can't be listed is found out by the next sync.
    let _ = list_files(dir, &mut file_states, &mut Vec::new());
    file_states.values().map(|(len, _)| len).sum()
}

/// An error with the path's last name, as the folder itself is the operator's.
pub(crate) fn io_error(step: &'static str, path: &Path, cause: io::Error) -> StorageError {
    let name = path.file_name().unwrap_or(path.as_os_str());
    StorageError::Io(step, name.to_string_lossy().into_owned(), cause)
}
