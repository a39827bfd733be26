//! Which instances and backend servers live, leave or are dead.
//!
//! A [`Membership`] is told what its instance learns and answers with the messages to send. It does
//! no I/O, and time is passed in.

mod allowance;
mod digest;
mod member;
mod membership;
mod message;
mod ring;
mod rumor;
mod send;
mod view;
mod zone;

pub use self::allowance::Allowance;
pub use self::digest::{SHARDS, ShardDigests};
pub use self::member::{Health, Member, MemberId, MemberState, Standing};
pub use self::membership::{
    Change, ListScope, Membership, MembershipConfig, UndrainError, UnknownMember,
};
pub use self::message::{Gossip, MemberDelta, MemberEntry, Outgoing, ZoneContact, ZoneSummary};
pub use self::ring::rendezvous;
