//! Serves HTTP connections of one listener on the current thread, and tells calls that were never
//! sent from those that may have taken effect.

mod sent;
mod server;

pub use self::sent::is_never_sent;
pub use self::server::{ConnectionLimits, Handler, Server, ServerError, StopHandle};
