//! Claims of keyed operations on the agreed log. No I/O and no clock of its own.
//!
//! ```text
//! ClaimBatcher            claims that wait become batches, each one entry of the log
//!   └─ OperationsEntry    applied at every member, in the log's order
//!        └─ OperationTable    who holds which operation, in generations
//! GenerationClock     a leader's measure of when a generation is closed, and when it is forgotten
//! ```
//!
//! A record lives in the generation that was open when its claim was applied. A leader closes a generation now and then,
//! and has it forgotten once it has led for longer than the window after it saw it closed. Only durations of one steady
//! clock are compared; a leader that is new measures from its own beginning, so nothing is forgotten early.

mod claim_batcher;
mod entry;
mod generation_clock;
mod record;
mod table;

pub use claim_batcher::{Batch, ClaimBatcher, WaitingClaim};
pub use entry::{Claim, OperationsEntry, Takeover};
pub use generation_clock::{GenerationAge, GenerationClock, RETENTION_MARGIN_MS};
pub use record::RecordError;
pub use table::{Holding, OperationTable, MAX_RECORDS};
