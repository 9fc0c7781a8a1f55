#![doc = include_str!("../../../README.md")]

pub mod admin;
pub mod change;
pub mod cli;
pub mod config;
pub mod control;
pub mod demo;
pub mod figures;
pub mod front;
pub mod live;
pub mod net;
pub mod peers;
pub mod plugin;
pub mod reception;
pub mod record;
pub mod serve;
pub mod tally;
