//! Routes requests by host and path to services and model engines.
//!
//! A [`Gateway`] is the state of one instance: the current routing, the known servers and their
//! observed state. [`handler::serve`] checks a request; [`unary`] and [`stream`] forward it;
//! [`selection`] chooses servers without any I/O. The traits [`Dialect`] and [`Feed`] hide the
//! platform's headers, and the sources of the configuration and of the list of servers.

pub mod access;
mod admission;
pub mod admission_order;
mod blocks;
pub mod call;
pub mod cold_start;
mod configuration_age;
pub mod coordinator;
mod copy;
pub mod departures;
pub mod dialect;
pub mod directory;
pub mod engine_speeds;
mod engine_stream;
mod engines;
pub mod entry_age;
pub mod events;
pub mod evidence;
pub mod exchange;
pub mod failing_engines;
pub mod feed;
mod following;
mod gateway;
mod guarantees;
pub mod handler;
mod hedge;
mod held_body;
mod instance;
mod liveness;
pub mod memory;
pub mod metrics;
mod notices;
pub mod peers;
mod permits;
pub mod plain_load;
mod pool;
mod presence;
pub mod prompt_cache;
pub mod quarantine;
mod quarantine_page;
pub mod refusal;
mod replies;
pub mod request_body;
pub mod request_limit;
pub mod reservations;
pub mod response_memory;
mod retry_lending;
pub mod revisions;
pub mod roles;
pub mod route;
pub mod selection;
mod settings;
mod shared_budget;
pub mod shared_limits;
pub mod shutdown;
mod stored_quarantine;
pub mod stream;
pub mod unary;
mod withheld;

pub use self::dialect::Dialect;
pub use self::feed::Feed;
pub use self::gateway::Gateway;
pub use self::instance::{Addresses, Instance, Platform, Reload, stop_signal};
pub use self::settings::GatewaySettings;
pub use self::shared_budget::SharedBudget;
