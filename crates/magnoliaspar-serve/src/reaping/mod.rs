//! Frees engine memory that is held by orphaned streams, which no instance drives any more.

mod controller;
mod convert;
mod ownership;

pub use self::controller::ReapingController;
pub use self::ownership::{OwnedStream, StreamOwnership};
