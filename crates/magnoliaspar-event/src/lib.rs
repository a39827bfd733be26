//! A bounded ring of events and the time line merged from many instances.
//!
//! Events are stamped by a [hybrid logical clock](Hlc), so that the events of all instances can be
//! put into one order in which causes go before their effects.

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
pub use self::ring::{Dropped, EventPart, EventRing};
pub use self::timeline::{Entry, Gap, GapCause, Timeline};
