#![doc = include_str!("../README.md")]

pub mod api;
pub mod clock;
pub mod config;
pub mod core;
pub mod decide;
pub mod facade;
pub mod front;
pub mod net;
pub mod plugin;
mod state;
pub mod wire;
