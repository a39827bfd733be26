//! Tools to measure the cost of an instance: readings of processor time and memory of this process,
//! and lines fitted to measurements.

mod line;
mod procfs;

pub use self::line::Line;
pub use self::procfs::{resident_bytes, thread_id, thread_time};
