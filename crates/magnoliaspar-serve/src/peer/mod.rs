//! Calls between instances: runs, gossip, reaping and operators' queries over gRPC.

mod client;
mod convert;
mod homes;
mod query;
mod server;

pub use self::client::{PeerClient, PeerClients};
pub use self::convert::BadMessage;
pub use self::homes::{KnownInstance, RendezvousHomeChooser};
pub use self::query::{PeerQueryError, PeerQuestion, PeerReply};
pub use self::server::PeerServer;
