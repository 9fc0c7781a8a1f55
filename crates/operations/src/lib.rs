//! Claims of keyed operations on the replicated log. No I/O: the current time is an argument.
//!
//! ```text
//! ClaimBatcher            batches waiting claims, one log entry per batch
//!   └─ OperationsEntry    applied by every member, in log order
//!        └─ OperationTable    holder of each operation, in generations
//! GenerationClock     decides on the leader when a generation is closed, and when it is forgotten
//! ```
//!
//! A record belongs to the generation that was open when its claim was applied. The leader closes a generation from
//! time to time, and removes it when it has been the leader for longer than the window since it saw the generation
//! closed. Only durations on one monotonic clock are compared. A new leader measures from the start of its
//! leadership, so no record is removed early.

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
