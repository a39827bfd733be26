//! The versioned configuration. The platform accepts each version once, instances pass it on to
//! their peers, and no instance ever returns to an earlier version.
//!
//! A [`Configuration`] is the copy of one instance, and [`Startup`] decides when that copy is
//! recent enough to serve. [`Spread`] decides which peers receive changes, [`ReaderSchedule`] when
//! the platform is read, and a [`ConfigurationStore`] reads and writes the platform.

mod configuration;
mod reader;
mod row;
mod spread;
mod startup;
mod store;

pub use self::configuration::{ConfigContent, ConfigDelta, Configuration, Received};
pub use self::reader::{ReaderConfig, ReaderSchedule};
pub use self::spread::{ConfigMessage, Spread};
pub use self::startup::{Readiness, Startup};
pub use self::store::{Acceptance, CatchUpError, ConfigurationStore, Proposal, Updates};
