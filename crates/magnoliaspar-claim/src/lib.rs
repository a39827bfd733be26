//! Claims on non-idempotent requests, written before dispatch.
//!
//! A [`ClaimController`] lets at most one attempt under an idempotency key be dispatched, whichever
//! instances take the attempts and whatever becomes of the platform's answers.

mod controller;
mod expiry;
mod lane;
mod outcome;
mod pending;
mod request;
mod row;

pub use self::controller::{ClaimController, ClaimSettings};
pub use self::outcome::{StoredBody, StoredHeader, StoredOutcome};
pub use self::request::{
    ClaimOwner, ClaimRequest, ClaimTicket, ClaimVerdict, NotRunReason, fingerprint,
};
