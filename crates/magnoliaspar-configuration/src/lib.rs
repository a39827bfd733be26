//! The configuration in force: accepted once at the platform, spread between instances, never
//! reverting.
//!
//! A [`Configuration`] holds what one instance knows, [`Startup`] decides when that is enough to
//! serve, [`Spread`] and [`ReaderSchedule`] decide whom to tell and when to read, and a
//! [`ConfigurationStore`] reads and writes the platform.

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
pub use self::store::{Acceptance, CatchUpError, ConfigurationStore, News, Proposal};
