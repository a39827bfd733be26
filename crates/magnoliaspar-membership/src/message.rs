//! Messages that instances exchange about members, with estimates of their size on the wire.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliaspar_core::{Incarnation, InstanceName, PoolName, ZoneName};
use magnoliaspar_store::ListedKind;
use serde::{Deserialize, Serialize};

use crate::{MemberId, ShardDigests, Standing};

/// Overhead of one message in bytes: HTTP/2, gRPC and TCP/IP headers and the acknowledgement.
pub(crate) const FRAME_OVERHEAD_BYTES: usize = 120;

/// Size of the tag and length of a short field in bytes.
const FIELD_BYTES: usize = 2;

/// Size of the tag and value of a number in bytes.
const NUMBER_BYTES: usize = 6;

/// Size of the tag and value of an address as text, in bytes.
const ADDRESS_BYTES: usize = 24;

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving instance.
    pub to: InstanceName,
    /// The address on which the receiver listens for its peers.
    pub address: SocketAddr,
    /// The content.
    pub gossip: Gossip,
}

/// The content of a gossip message. Each message also counts as a heartbeat of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// The sending instance.
    pub sender: InstanceName,
    /// The availability zone of the sender.
    pub zone: ZoneName,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The digest over all members of the sender's zone except dead ones.
    pub digest: u64,
    /// The digests of the shards of the member list. Asks the receiver for entries that differ.
    pub shards: Option<ShardDigests>,
    /// Changed members.
    pub members: Vec<MemberDelta>,
    /// Changed summaries of availability zones.
    pub zones: Vec<ZoneSummary>,
}

impl Gossip {
    /// Estimates the size on the wire in bytes, including the headers of the underlying protocols.
    pub fn encoded_len(&self) -> usize {
        let mut len = FRAME_OVERHEAD_BYTES + 3 * NUMBER_BYTES;
        len += FIELD_BYTES + self.sender.as_str().len();
        len += FIELD_BYTES + self.zone.as_str().len();
        if let Some(shards) = &self.shards {
            len += shards.encoded_len();
        }
        for delta in &self.members {
            len += delta.encoded_len();
        }
        for zone in &self.zones {
            len += zone.encoded_len();
        }
        len
    }
}

/// The changed state of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberDelta {
    /// The member.
    pub id: MemberId,
    /// The state of the member.
    pub standing: Standing,
    /// The entry of the member, for receivers that may not have it.
    pub entry: Option<MemberEntry>,
}

impl MemberDelta {
    /// Estimates the size on the wire in bytes.
    pub fn encoded_len(&self) -> usize {
        let standing = NUMBER_BYTES + 4 * 2;
        let entry = self.entry.as_ref().map_or(0, MemberEntry::encoded_len);
        2 * FIELD_BYTES + self.id.as_str().len() + standing + entry
    }
}

/// The zone, address and kind of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberEntry {
    /// The availability zone.
    pub zone: ZoneName,
    /// The address on which an instance listens for its peers, or a server for requests.
    pub address: SocketAddr,
    /// The kind of the member, as listed when its current incarnation was first seen.
    pub kind: ListedKind,
}

impl MemberEntry {
    fn encoded_len(&self) -> usize {
        let kind = match &self.kind {
            ListedKind::Instance { .. } => 40 + 2 * ADDRESS_BYTES,
            ListedKind::Server { pool, model, .. } => {
                let model = model.as_ref().map_or(0, |model| model.as_str().len());
                70 + pool.as_str().len() + model
            }
        };
        2 * FIELD_BYTES + self.zone.as_str().len() + ADDRESS_BYTES + kind
    }
}

/// The summary of an availability zone that other zones receive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// Increases with each change.
    pub version: u64,
    /// Some live instances of the zone that accept requests and messages.
    pub contacts: Vec<ZoneContact>,
    /// Number of live instances.
    pub instances: u32,
    /// Number of live servers of each pool.
    pub servers: BTreeMap<PoolName, u32>,
}

impl ZoneSummary {
    /// Estimates the size on the wire in bytes.
    pub fn encoded_len(&self) -> usize {
        let mut len = 2 * NUMBER_BYTES + 2 * FIELD_BYTES + self.zone.as_str().len();
        for contact in &self.contacts {
            len += 2 * FIELD_BYTES + contact.instance.as_str().len() + ADDRESS_BYTES;
        }
        for pool in self.servers.keys() {
            len += 2 * FIELD_BYTES + pool.as_str().len() + NUMBER_BYTES;
        }
        len
    }
}

/// An instance of another availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ZoneContact {
    /// The instance.
    pub instance: InstanceName,
    /// The address on which it listens for its peers.
    pub address: SocketAddr,
}
