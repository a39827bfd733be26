//! An HTTP server for one listener on the current thread, the classification of failed calls into those that were
//! never sent and those that may have taken effect, and that of statuses.

mod connection;
mod connections;
mod memory;
mod sent;
mod server;
mod status;

pub use self::connection::CallerEnd;
pub use self::connections::Connections;
pub use self::memory::{BodyShare, MIN_SILENCE, Memory, MemoryKind, MemoryUsage, NoMemory};
pub use self::sent::is_never_sent;
pub use self::server::{ConnectionLimits, Handler, Limits, Server, ServerError, StopHandle};
pub use self::status::is_valid_status;
