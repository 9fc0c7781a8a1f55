#![doc = include_str!("../../../README.md")]

pub mod clock;
pub mod config;
pub mod front;
pub mod http;
pub mod net;
pub mod plugin;
pub mod reception;
