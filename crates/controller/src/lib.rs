//! The control program on `core` machines (control plane): agreement, registers of servers and gateways, the counter of
//! units, the directory, and the operators' calls. `docs/design/system.md` tells how it fits with the other programs.

pub mod cli;
pub mod disk;
pub mod driver;
pub mod follow;
pub mod hint;
pub mod peers;
pub mod resources;
pub mod serve;
pub mod store;
pub mod tell;
