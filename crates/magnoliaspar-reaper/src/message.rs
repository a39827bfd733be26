//! Messages between reapers and stream owners.

use displaydoc::Display;
use magnoliaspar_core::{Incarnation, InstanceName, ServerName};
use magnoliaspar_engine::StreamId;
use serde::{Deserialize, Serialize};

/// A stream on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StreamKey {
    /// The server.
    pub server: ServerName,
    /// The stream.
    pub stream: StreamId,
}

/// One incarnation of a reaper.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ReaperId {
    /// The instance on which the reaper runs.
    pub instance: InstanceName,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
}

/// Asks an instance which of the named streams it does not drive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// The instance to ask.
    pub to: InstanceName,
    /// The number of the question, which the answer contains too.
    pub number: u64,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// An answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The answering instance.
    pub from: InstanceName,
    /// The number of the question.
    pub number: u64,
    /// The streams that the instance does not drive and never will.
    pub disowned: Vec<StreamKey>,
}

/// The renewal of an owner's leases with a reaper.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renewal {
    /// The reaper.
    pub to: ReaperId,
    /// The owner.
    pub owner: InstanceName,
    /// The incarnation and epoch of the owner that the lease covers, as engines list them.
    pub incarnation: Incarnation,
    /// The number of the renewal, which the acknowledgement contains too.
    pub number: u64,
    /// The servers on which the owner drives streams under this lease.
    pub servers: Vec<ServerName>,
    /// The servers on which the owner no longer drives such streams and will not open any.
    pub released: Vec<ServerName>,
}

/// The acknowledgement of a [`Renewal`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The reaper.
    pub from: ReaperId,
    /// The number of the renewal.
    pub number: u64,
}

/// An orphaned stream to cancel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reaped {
    /// The stream.
    pub key: StreamKey,
    /// Number of memory pieces that the stream holds.
    pub pieces: u32,
    /// The reason why the listed owner does not drive the stream.
    pub reason: OrphanReason,
}

/// The reason why the listed owner of a stream does not drive it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum OrphanReason {
    /// the owner has answered that it does not drive the stream
    Disowned,
    /// the owner is gone
    Gone,
    /// the owner's lease expired
    LeaseExpired,
}

/// Returns the text that engines list as the owner, `NAME@INCARNATION`.
pub(crate) fn owner_text(name: &InstanceName, incarnation: Incarnation) -> Box<str> {
    format!("{name}{OWNER_SEPARATOR}{incarnation}").into()
}

/// Parses a listed owner into its name and, if present, its incarnation.
pub(crate) fn parse_owner(text: &str) -> (&str, Option<Incarnation>) {
    let Some((name, incarnation)) = text.split_once(OWNER_SEPARATOR) else { return (text, None) };
    (name, incarnation.parse().ok().map(Incarnation))
}

/// Separates the name and the incarnation of an owner. Names never contain it.
const OWNER_SEPARATOR: char = '@';
