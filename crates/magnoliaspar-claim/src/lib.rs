//! Claims on non-idempotent requests, written before dispatch.
//!
//! A [`ClaimController`] ensures that at most one attempt per idempotency key is dispatched, even
//! if several instances receive attempts and answers of the platform's table are lost or late.

mod batcher;
mod controller;
mod expiry;
mod outcome;
mod pending;
mod request;
mod row;

pub use self::controller::{ClaimController, ClaimSettings};
pub use self::outcome::{StoredBody, StoredHeader, StoredOutcome};
pub use self::request::{
    ClaimOwner, ClaimRequest, ClaimTicket, ClaimVerdict, NotRunReason, fingerprint,
};
