#![doc = include_str!("../../../README.md")]

pub mod change;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod demo;
pub mod front;
pub mod http;
pub mod live;
pub mod net;
pub mod plugin;
pub mod reception;
pub mod record;
pub mod serve;
pub mod tally;
