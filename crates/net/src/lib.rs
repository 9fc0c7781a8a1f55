//! What every program with sockets needs, whichever it is: the clock, the timer wheel, the budget of descriptors, how
//! long to wait before asking again, and calls between the system's own processes.

pub mod backoff;
pub mod budget;
pub mod call_state;
pub mod caller;
pub mod clock;
pub mod compression;
pub mod desk;
pub mod figures;
pub mod link;
pub mod logs;
pub mod start;
pub mod wheel;
