//! Conversions between gossip frames and the messages of membership, configuration and quarantine.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliaspar_configuration::ConfigDelta;
use magnoliaspar_core::{Incarnation, InstanceName, ModelName, PoolName, ServerName, ZoneName};
use magnoliaspar_membership::{
    Gossip, Health, MemberDelta, MemberEntry, MemberId, ShardDigests, Standing, ZoneContact,
    ZoneSummary,
};
use magnoliaspar_retry::{Fingerprint, QuarantineDelta};
use magnoliaspar_store::{ListedKind, ServerRole};
use magnoliaspar_wire::peer;
use magnoliaspar_wire::peer::member_entry::Kind;

use crate::peer::BadMessage;

/// Converts membership gossip to a frame.
pub fn to_membership(gossip: &Gossip) -> peer::MembershipFrame {
    peer::MembershipFrame {
        zone: gossip.zone.to_string(),
        incarnation: gossip.incarnation.0,
        digest: gossip.digest,
        shards: gossip.shards.as_ref().map(|shards| shards.0.to_vec()).unwrap_or_default(),
        members: gossip.members.iter().map(to_member).collect(),
        zones: gossip.zones.iter().map(to_zone).collect(),
    }
}

/// Converts a frame to membership gossip.
pub fn from_gossip(
    sender: &InstanceName,
    frame: &peer::MembershipFrame,
) -> Result<Gossip, BadMessage> {
    let mut members = Vec::new();
    for member in &frame.members {
        members.push(from_member(member)?);
    }
    let mut zones = Vec::new();
    for zone in &frame.zones {
        zones.push(from_zone(zone)?);
    }
    let has_shards = !frame.shards.is_empty();
    Ok(Gossip {
        sender: sender.clone(),
        zone: ZoneName::try_from(frame.zone.as_str())?,
        incarnation: Incarnation(frame.incarnation),
        digest: frame.digest,
        shards: has_shards.then(|| ShardDigests(frame.shards.clone().into())),
        members,
        zones,
    })
}

/// Converts a change of the configuration to a message.
pub fn to_delta(delta: &ConfigDelta) -> peer::ConfigDelta {
    let content = serde_json::to_vec(&delta.content).expect("documents have text keys only");
    peer::ConfigDelta { version: delta.version, content }
}

/// Converts a message to a change of the configuration.
pub fn from_delta(delta: &peer::ConfigDelta) -> Result<ConfigDelta, BadMessage> {
    let content = serde_json::from_slice(&delta.content)
        .map_err(|error| BadMessage(error.to_string().into()))?;
    Ok(ConfigDelta { version: delta.version, content })
}

/// Converts a quarantine change to a message.
pub fn to_quarantine(delta: &QuarantineDelta) -> peer::QuarantineDelta {
    peer::QuarantineDelta {
        fingerprint: delta.fingerprint.0,
        crashes: delta.crashes,
        hlc: delta.hlc,
        is_released: delta.released,
    }
}

/// Converts a message to a quarantine change.
pub fn from_quarantine(delta: &peer::QuarantineDelta) -> QuarantineDelta {
    QuarantineDelta {
        fingerprint: Fingerprint(delta.fingerprint),
        crashes: delta.crashes,
        hlc: delta.hlc,
        released: delta.is_released,
    }
}

fn to_member(delta: &MemberDelta) -> peer::MemberDelta {
    peer::MemberDelta {
        name: delta.id.as_str().into(),
        is_server: matches!(delta.id, MemberId::Server(_)),
        incarnation: delta.standing.incarnation.0,
        is_leaving: delta.standing.is_leaving,
        drain_epoch: delta.standing.drain_epoch,
        sequence: delta.standing.sequence,
        health: match delta.standing.health {
            Health::Live => 0,
            Health::Suspect => 1,
            Health::Dead => 2,
        },
        entry: delta.entry.as_ref().map(to_entry),
    }
}

fn from_member(delta: &peer::MemberDelta) -> Result<MemberDelta, BadMessage> {
    let id = match delta.is_server {
        true => MemberId::Server(ServerName::try_from(delta.name.as_str())?),
        false => MemberId::Instance(InstanceName::try_from(delta.name.as_str())?),
    };
    let health = match delta.health {
        0 => Health::Live,
        1 => Health::Suspect,
        2 => Health::Dead,
        other => return Err(BadMessage(format!("health {other} is not known").into())),
    };
    Ok(MemberDelta {
        id,
        standing: Standing {
            incarnation: Incarnation(delta.incarnation),
            is_leaving: delta.is_leaving,
            drain_epoch: delta.drain_epoch,
            sequence: delta.sequence,
            health,
        },
        entry: delta.entry.as_ref().map(from_entry).transpose()?,
    })
}

fn to_entry(entry: &MemberEntry) -> peer::MemberEntry {
    let kind = match &entry.kind {
        ListedKind::Instance { callers, operators } => Kind::Instance(peer::InstanceKind {
            callers: callers.to_string(),
            operators: operators.to_string(),
        }),
        ListedKind::Server { pool, role, model, is_fencing } => Kind::Server(peer::ServerKind {
            pool: pool.to_string(),
            role: to_role(*role).into(),
            model: model.as_ref().map(|model| model.to_string()),
            is_fencing: *is_fencing,
        }),
    };
    peer::MemberEntry {
        zone: entry.zone.to_string(),
        address: entry.address.to_string(),
        kind: Some(kind),
    }
}

fn from_entry(entry: &peer::MemberEntry) -> Result<MemberEntry, BadMessage> {
    let kind = match &entry.kind {
        Some(Kind::Instance(instance)) => ListedKind::Instance {
            callers: from_address(&instance.callers)?,
            operators: from_address(&instance.operators)?,
        },
        Some(Kind::Server(server)) => ListedKind::Server {
            pool: PoolName::try_from(server.pool.as_str())?,
            role: from_role(&server.role)?,
            model: server.model.as_deref().map(ModelName::try_from).transpose()?,
            is_fencing: server.is_fencing,
        },
        None => return Err(BadMessage("a member has no kind".into())),
    };
    Ok(MemberEntry {
        zone: ZoneName::try_from(entry.zone.as_str())?,
        address: from_address(&entry.address)?,
        kind,
    })
}

fn to_zone(summary: &ZoneSummary) -> peer::ZoneSummary {
    let mut contacts = Vec::new();
    for contact in &summary.contacts {
        contacts.push(peer::ZoneContact {
            instance: contact.instance.to_string(),
            address: contact.address.to_string(),
        });
    }
    let mut servers = BTreeMap::new();
    for (pool, count) in &summary.servers {
        servers.insert(pool.to_string(), *count);
    }
    peer::ZoneSummary {
        zone: summary.zone.to_string(),
        version: summary.version,
        contacts,
        instances: summary.instances,
        servers,
    }
}

fn from_zone(summary: &peer::ZoneSummary) -> Result<ZoneSummary, BadMessage> {
    let mut contacts = Vec::new();
    for contact in &summary.contacts {
        contacts.push(ZoneContact {
            instance: InstanceName::try_from(contact.instance.as_str())?,
            address: from_address(&contact.address)?,
        });
    }
    let mut servers = BTreeMap::new();
    for (pool, count) in &summary.servers {
        servers.insert(PoolName::try_from(pool.as_str())?, *count);
    }
    Ok(ZoneSummary {
        zone: ZoneName::try_from(summary.zone.as_str())?,
        version: summary.version,
        contacts,
        instances: summary.instances,
        servers,
    })
}

fn to_role(role: ServerRole) -> &'static str {
    match role {
        ServerRole::Prefill => "prefill",
        ServerRole::Decode => "decode",
        ServerRole::Service => "service",
    }
}

fn from_role(text: &str) -> Result<ServerRole, BadMessage> {
    match text {
        "prefill" => Ok(ServerRole::Prefill),
        "decode" => Ok(ServerRole::Decode),
        "service" => Ok(ServerRole::Service),
        other => Err(BadMessage(format!("role {other:?} is not known").into())),
    }
}

fn from_address(text: &str) -> Result<SocketAddr, BadMessage> {
    text.parse().map_err(|_| BadMessage(format!("{text:?} is not an address").into()))
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::{Incarnation, InstanceName};
    use magnoliaspar_membership::{Gossip, Membership, MembershipConfig};
    use magnoliaspar_store::{ListEntry, ListState, ListedKind};

    use super::{from_gossip, to_membership};

    fn gossip() -> Gossip {
        let address = "127.0.0.1:1".parse().unwrap();
        let own = ListEntry {
            name: "a-1".into(),
            kind: ListedKind::Instance { callers: address, operators: address },
            zone: "zone-a".try_into().unwrap(),
            address,
            incarnation: Incarnation(3),
            state: ListState::Leaving,
        };
        Membership::new(own, MembershipConfig::default(), std::time::Instant::now()).greeting()
    }

    #[test]
    fn gossip_round_trips_through_a_frame() {
        let gossip = gossip();
        assert_eq!(gossip.members.len(), 1);
        let sender = InstanceName::try_from("a-1").unwrap();
        assert_eq!(from_gossip(&sender, &to_membership(&gossip)), Ok(gossip));
    }
}
