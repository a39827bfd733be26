//! Serves HTTP connections of one listener on the current thread.

mod server;

pub use self::server::{Handler, Server, ServerError, StopHandle};
