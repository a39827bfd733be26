//! Gossip-based membership of the instances and backend servers of an availability zone: which of
//! them are live, suspect, leaving or dead.
//!
//! A [`Membership`] processes messages, platform lists and probe results, and returns the messages
//! to send. It does no I/O, and time is passed in.

mod digest;
mod member;
mod membership;
mod message;
mod ring;
mod rumor;
mod send;
mod token_bucket;
mod view;
mod zone;

pub use self::digest::{SHARDS, ShardDigests};
pub use self::member::{Health, Member, MemberId, MemberState, Standing};
pub use self::membership::{
    Change, ListScope, Membership, MembershipConfig, UndrainError, UnknownMember,
};
pub use self::message::{Gossip, MemberDelta, MemberEntry, Outgoing, ZoneContact, ZoneSummary};
pub use self::ring::rendezvous;
pub use self::token_bucket::TokenBucket;
