use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliaspar_core::{Incarnation, InstanceName, PoolName, ZoneName};
use magnoliaspar_store::ListedKind;
use serde::{Deserialize, Serialize};

use crate::{MemberId, ShardDigests, Standing};

/// The bytes that one message costs beside its content: HTTP/2, gRPC and TCP/IP headers and the
/// acknowledgement.
pub(crate) const FRAME_OVERHEAD_BYTES: usize = 120;

/// The bytes of the tag and length of a short field.
const FIELD_BYTES: usize = 2;

/// The bytes of the tag and value of a number.
const NUMBER_BYTES: usize = 6;

/// The bytes of the tag and value of an address as text.
const ADDRESS_BYTES: usize = 24;

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The instance to send to.
    pub to: InstanceName,
    /// The address on which it listens for its peers.
    pub address: SocketAddr,
    /// The content.
    pub gossip: Gossip,
}

/// What one instance tells another; each message is a heartbeat too.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// The instance that sends.
    pub sender: InstanceName,
    /// The availability zone of the sender.
    pub zone: ZoneName,
    /// The life of the sender.
    pub incarnation: Incarnation,
    /// The digest over all members of the sender's zone that are not dead.
    pub digest: u64,
    /// The digests of the parts of the member list, to ask for what differs.
    pub shards: Option<ShardDigests>,
    /// Changes of members.
    pub members: Vec<MemberDelta>,
    /// Changed summaries of availability zones.
    pub zones: Vec<ZoneSummary>,
}

impl Gossip {
    /// Estimates the size on the wire in bytes, headers of the carrying protocols included.
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

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberDelta {
    /// The member.
    pub id: MemberId,
    /// Its state.
    pub standing: Standing,
    /// Where it runs and what it is, for those who may not know it.
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

/// Where a member runs and what it is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberEntry {
    /// The availability zone.
    pub zone: ZoneName,
    /// The address on which it listens: an instance for its peers, a server for requests.
    pub address: SocketAddr,
    /// What the member stands for, as listed when its present life was first seen.
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

/// What other availability zones know of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// Grows with each change; the highest is the newest.
    pub version: u64,
    /// A few live instances of the zone, to send requests and messages to.
    pub contacts: Vec<ZoneContact>,
    /// How many instances are live.
    pub instances: u32,
    /// How many servers of each pool are live.
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
