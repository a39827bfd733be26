//! One entry instance: takes requests, runs them on backend servers and relays the answers.

mod caller;
mod directory;
mod instance;
mod journal;
mod limit;
mod metrics;
mod operator;
mod peer;
mod refresh;
mod run;
mod serve;
mod service;

pub use self::serve::{Exit, InstanceHandle, ServeError, serve, start};
