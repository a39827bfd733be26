use displaydoc::Display;
use magnoliaspar_core::{Incarnation, InstanceName, ServerName};
use magnoliaspar_engine::StreamId;
use serde::{Deserialize, Serialize};

/// A stream on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HeldKey {
    /// The server.
    pub server: ServerName,
    /// The stream.
    pub stream: StreamId,
}

/// One life of a reaper.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ReaperId {
    /// The instance on which the reaper runs.
    pub instance: InstanceName,
    /// The life of that instance.
    pub incarnation: Incarnation,
}

/// Asks an instance which of these streams it does not drive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// The instance to ask.
    pub to: InstanceName,
    /// The number of the question, which the answer repeats.
    pub number: u64,
    /// The streams.
    pub streams: Vec<HeldKey>,
}

/// An answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The instance that answers.
    pub from: InstanceName,
    /// The number of the question.
    pub number: u64,
    /// The streams that the instance does not drive and never will.
    pub disowned: Vec<HeldKey>,
}

/// Renews an owner's lease with a reaper.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renewal {
    /// The reaper.
    pub to: ReaperId,
    /// The owner.
    pub owner: InstanceName,
    /// The life and epoch of the owner that the lease covers, as engines list them.
    pub incarnation: Incarnation,
    /// The number of the renewal, which the acknowledgement repeats.
    pub number: u64,
    /// The servers on which the owner drives streams under this lease.
    pub servers: Vec<ServerName>,
    /// The servers on which the owner drives no such stream any more, and will open none.
    pub released: Vec<ServerName>,
}

/// Acknowledges a [`Renewal`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The reaper.
    pub from: ReaperId,
    /// The number of the renewal.
    pub number: u64,
}

/// A stream to cancel, since nobody drives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reaped {
    /// The stream.
    pub key: HeldKey,
    /// How many pieces of memory it holds.
    pub pieces: u32,
    /// Why its listed owner does not drive it.
    pub reason: OrphanReason,
}

/// Why a listed owner does not drive a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum OrphanReason {
    /// the owner says that it does not drive the stream
    Disowned,
    /// the owner is gone
    Gone,
    /// the owner's lease ran out
    Lapsed,
}

/// Returns the text by which engines list an owner, as `NAME@INCARNATION`.
pub(crate) fn owner_text(name: &InstanceName, incarnation: Incarnation) -> Box<str> {
    format!("{name}{OWNER_SEPARATOR}{incarnation}").into()
}

/// Returns the name of a listed owner and, if it is listed, its life.
pub(crate) fn parse_owner(text: &str) -> (&str, Option<Incarnation>) {
    let Some((name, life)) = text.split_once(OWNER_SEPARATOR) else { return (text, None) };
    (name, life.parse().ok().map(Incarnation))
}

/// Separates name and life of an owner; no name contains it.
const OWNER_SEPARATOR: char = '@';
