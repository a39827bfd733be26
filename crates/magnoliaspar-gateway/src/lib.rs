//! Forwards opaque requests by host and path to plain services and model engines.
//!
//! A [`Gateway`] is what one instance knows: the routes in force, the servers and what it has
//! learned of them. [`front::serve`] takes a request through the filters; [`plain`] and [`stream`]
//! send it on; [`place`] holds the decisions, which need no network. Where headers, configuration
//! and servers come from is behind the traits [`Dialect`] and [`Feed`].

mod admission;
mod broken;
pub mod call;
pub mod dialect;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod failing;
pub mod feed;
pub mod front;
mod gateway;
pub mod home;
pub mod ledger;
pub mod metrics;
pub mod peers;
pub mod place;
pub mod plain;
mod pool;
pub mod refusal;
pub mod roles;
pub mod route;
mod serve;
mod settings;
pub mod stream;

pub use self::dialect::Dialect;
pub use self::feed::Feed;
pub use self::gateway::Gateway;
pub use self::serve::{Addresses, Instance, Platform, Reload, stop_signal};
pub use self::settings::{GatewaySettings, SharedBudget};
