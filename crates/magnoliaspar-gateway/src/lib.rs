//! Forwards opaque requests by host and path to plain services and model engines.
//!
//! A [`Gateway`] is what one instance knows: the routes in force, the servers and what it has
//! learned of them. [`handler::serve`] takes a request through the filters; [`plain`] and [`stream`]
//! send it on; [`place`] holds the decisions, which need no network. Where headers, configuration
//! and servers come from is behind the traits [`Dialect`] and [`Feed`].

mod admission;
pub mod call;
pub mod coordinator;
pub mod dialect;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod failing_engines;
pub mod feed;
mod gateway;
mod guarantees;
pub mod handler;
mod instance;
pub mod metrics;
pub mod peers;
mod pool;
pub mod refusal;
pub mod reservations;
pub mod roles;
pub mod route;
pub mod selection;
mod settings;
pub mod stream;
pub mod unary;

pub use self::dialect::Dialect;
pub use self::feed::Feed;
pub use self::gateway::Gateway;
pub use self::instance::{Addresses, Instance, Platform, Reload, stop_signal};
pub use self::settings::{GatewaySettings, SharedBudget};
