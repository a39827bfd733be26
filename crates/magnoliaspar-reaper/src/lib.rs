//! Finds engine memory that is held for requests that are gone.
//!
//! The [`Reaper`] of a backend server compares the server's list of streams with what instances say
//! of them; [`Ownership`] is the side of an instance that drives streams. Both do no I/O.

mod config;
mod message;
mod ownership;
mod reaper;

pub use self::config::ReaperConfig;
pub use self::message::{
    Acknowledgement, Answer, HeldKey, OrphanReason, Question, Reaped, ReaperId, Renewal,
};
pub use self::ownership::{OpenError, Ownership};
pub use self::reaper::{Reaper, StreamList};
