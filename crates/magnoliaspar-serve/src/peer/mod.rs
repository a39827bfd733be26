//! The links between instances.

mod client;
mod convert;
mod homes;
mod server;

pub use self::client::PeerClients;
pub use self::convert::BadMessage;
pub use self::homes::{KnownInstance, ZoneHomes};
pub use self::server::PeerServer;
