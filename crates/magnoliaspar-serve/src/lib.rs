//! An entry instance of the router. It accepts requests from callers, runs them on backend servers
//! and relays the answers; completions are scheduled on separate prefill and decode engines.

mod caller;
mod claims;
mod cluster;
mod directory;
mod engines;
mod instance;
mod journal;
mod limit;
mod metrics;
mod operator;
mod peer;
mod progress;
mod quarantine;
mod reaping;
mod run;
mod serve;
mod service;

pub use self::serve::{Addresses, Exit, InstanceHandle, ServeError, serve, start};
