//! Finds orphaned streams: streams on backend servers that no instance drives any more and that
//! still hold engine memory.
//!
//! The [`Reaper`] of a backend server compares the server's list of streams with the answers of the
//! instances. [`Ownership`] tracks the streams that an instance drives, and its leases. Neither
//! does I/O.

mod config;
mod message;
mod ownership;
mod reaper;

pub use self::config::ReaperConfig;
pub use self::message::{
    Acknowledgement, Answer, OrphanReason, Question, Reaped, ReaperId, Renewal, StreamKey,
};
pub use self::ownership::{OpenError, Ownership};
pub use self::reaper::{Reaper, StreamList};
