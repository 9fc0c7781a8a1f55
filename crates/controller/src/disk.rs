//! The disk's own thread: a slow or hanging disk must not hold up the messages and calls of this process.

use crate::driver::Driver;
use crate::hint;
use nickeljunction_consensus::Write;
use nickeljunction_storage::{LogStore, StorageError};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Exit code of a process whose store no longer had what it had saved.
const STORE_LOST: i32 = 3;

/// What the disk's thread is to do.
#[derive(Debug)]
pub enum Job {
    /// A write of the agreement: synced, and told.
    Log(Write),
    /// The register as a hint: as well as may be.
    Hint(Vec<u8>),
}

/// What became of a write: its ticket, whether it is on the disk, and how long it took, microseconds.
pub type Done = (u64, bool, u64);

/// Starts the thread; hints go to `place`. It ends when nobody sends writes any more.
///
/// # Errors
/// The system gives no thread.
pub fn start(
    mut hold: Box<dyn LogStore + Send>,
    place: PathBuf,
    mut jobs: mpsc::UnboundedReceiver<Job>,
    done: mpsc::UnboundedSender<Done>,
) -> std::io::Result<()> {
    let work = move || {
        while let Some(job) = jobs.blocking_recv() {
            let write = match job {
                Job::Log(write) => write,
                Job::Hint(text) => {
                    if let Err(error) = hint::write(&place, &text) {
                        log::debug!("event=hint_unwritten step=disk error={:?}", error.to_string());
                    }
                    continue;
                }
            };
            let begun = Instant::now();
            let saved = hold.save(&write);
            let took = begun.elapsed().as_micros() as u64;
            if let Err(error) = &saved {
                log::warn!(
                    "event=write_failed step=disk ticket={} error={:?}",
                    write.ticket,
                    error.to_string()
                );
            }
            if matches!(saved, Err(StorageError::DataLost(_))) {
                // The store is empty now, and this member must not vouch for what it forgot: it comes back as another.
                log::error!("event=store_lost step=disk ticket={}", write.ticket);
                std::process::exit(STORE_LOST);
            }
            if done.send((write.ticket, saved.is_ok(), took)).is_err() {
                return;
            }
        }
    };
    // Little memory is dear on these machines, and a store's calls don't go deep.
    std::thread::Builder::new().name("disk".into()).stack_size(512 * 1024).spawn(work).map(drop)
}

/// Tells the agreement what became of its writes, for as long as it is polled.
pub async fn listen(driver: Rc<Driver>, mut done: mpsc::UnboundedReceiver<Done>) {
    while let Some((ticket, fine, took_us)) = done.recv().await {
        driver.written(ticket, fine, took_us);
    }
}
