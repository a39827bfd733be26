//! Measures what an instance costs: the readings of this process, and lines fitted to them.

mod reading;
mod slope;

pub use self::reading::{resident_bytes, thread_id, thread_time};
pub use self::slope::Line;
