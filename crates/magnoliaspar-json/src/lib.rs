//! Reads JSON documents into checked values and collects all findings with their places.
//!
//! A [`Source`] is a document with the place of each of its values. A [`Cursor`] is a value with
//! its JSON path; it records findings in a shared [`Findings`](magnoliaspar_core::Findings).

mod cursor;
mod duration;
mod object;
mod path;
mod similar;
mod source;

pub use self::cursor::{Cursor, read_value};
pub use self::duration::{DurationError, format_duration, parse_duration};
pub use self::object::Object;
pub use self::path::{ROOT, child_path, element_path};
pub use self::similar::closest;
pub use self::source::Source;
