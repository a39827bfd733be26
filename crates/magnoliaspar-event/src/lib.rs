//! A bounded ring buffer of events per instance, and the time line merged from many instances.
//!
//! A [hybrid logical clock](Hlc) stamps each event, so that the merged time line orders every cause
//! before its effects.

mod event;
mod filter;
mod hlc;
mod kind;
mod ring;
mod timeline;

pub use self::event::Event;
pub use self::filter::{EventFilter, FilterError};
pub use self::hlc::{DriftError, Hlc, MAX_DRIFT, Stamp};
pub use self::kind::{EventKind, Listener, Plan, RejectedServer, ServerState};
pub use self::ring::{EventPart, EventRing, MissingEvents};
pub use self::timeline::{Entry, Gap, GapCause, Timeline};
