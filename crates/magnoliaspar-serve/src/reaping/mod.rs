//! Freeing engine memory that is held for requests that are gone.

mod controller;
mod convert;
mod ownership;

pub use self::controller::ReapingController;
pub use self::ownership::{OwnedStream, StreamOwnership};
