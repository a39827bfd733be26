//! Timers of a [`Membership`], and the messages that it sends.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, ServerName};
use magnoliaspar_store::ListedKind;
use rand::Rng;

use crate::digest::shard_of;
use crate::ring::rendezvous;
use crate::rumor::delta_of;
use crate::zone::MAX_CONTACTS;
use crate::{
    Change, Gossip, Health, MemberDelta, MemberId, MemberState, Membership, Outgoing, SHARDS,
    ShardDigests, Standing, ZoneContact, ZoneSummary,
};

/// Maximum size of the rumors in one message in bytes.
const MAX_RUMOR_BYTES: usize = 1000;

/// Size of the entries in a sync response, in bytes, beyond which no further shard is added.
const MAX_SYNC_RESPONSE_BYTES: usize = 4000;

/// Number of consecutive differing digests of one sender after which a sync is requested.
const MISMATCHES_BEFORE_SYNC: u32 = 3;

/// Number of consecutive differing digests after which a sync is requested even while there are
/// rumors, which may explain the difference.
const MISMATCHES_BEFORE_FORCED_SYNC: u32 = 10;

/// Minimum time between two sync requests.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a message during which its sender receives rumors in return.
const MAX_INBOUND_AGE: Duration = Duration::from_secs(5);

/// Maximum number of senders that receive rumors in return.
const MAX_INBOUND_PEERS: usize = 6;

impl Membership {
    /// Returns the messages that are due, and the changes that result from expired timeouts.
    pub fn tick(&mut self, now: Instant) -> (Vec<Outgoing>, Vec<Change>) {
        let mut changes = Vec::new();
        self.detect_pause(now);
        self.is_joined |= now >= self.join_deadline;
        if now >= self.next_heartbeat_at {
            self.expire(now, &mut changes);
            self.watch_predecessor(now, &mut changes);
        }
        self.rebuild_ring();
        self.choose_random_peers(now);
        let mut outbox = BTreeMap::new();
        self.send_heartbeats(now, &mut outbox);
        self.notify_suspected_senders(&mut outbox);
        self.send_sync_request(&mut outbox);
        self.send_sync_responses(now, &mut outbox);
        self.send_rumors(now, &mut outbox);
        self.send_zone_summaries(now, &mut outbox);
        let mut outgoing = Vec::new();
        for (to, (address, gossip)) in outbox {
            self.send_budget.consume(now, gossip.encoded_len());
            outgoing.push(Outgoing { to, address, gossip });
        }
        (outgoing, changes)
    }

    /// Returns the time at which [`tick`](Self::tick) should be called next.
    pub fn next_tick(&self) -> Instant {
        let next = self.next_heartbeat_at.min(self.next_zone_exchange_at);
        if self.sync_target.is_some()
            || !self.sync_requests.is_empty()
            || !self.zone_replies.is_empty()
            || !self.suspected_senders.is_empty()
        {
            return self.last_tick_at;
        }
        if self.rumors.is_empty() { next } else { next.min(self.next_rumor_at) }
    }

    /// Returns a first message for an instance of which only the address is known.
    pub fn greeting(&mut self) -> Gossip {
        self.rebuild_ring();
        let mut gossip = self.empty_gossip();
        gossip.members.extend(self.own_delta());
        gossip.shards = Some(self.digests.clone());
        gossip
    }

    /// Returns the instances of the own zone with which this one currently exchanges messages.
    pub fn neighbours(&self, now: Instant) -> BTreeSet<InstanceName> {
        let mut neighbours: BTreeSet<_> = self.random_peers.iter().cloned().collect();
        neighbours.extend(self.ring.successor(&self.name).cloned());
        let mut inbound = 0;
        for (name, at) in &self.last_heard_at {
            if inbound == MAX_INBOUND_PEERS {
                break;
            }
            if now.saturating_duration_since(*at) <= MAX_INBOUND_AGE && self.is_known(name) {
                inbound += 1;
                neighbours.insert(name.clone());
            }
        }
        neighbours
    }

    /// Compares the sender's digests with the own ones, and schedules sync requests and responses.
    pub(crate) fn compare_digests(&mut self, now: Instant, gossip: &Gossip) {
        self.rebuild_ring();
        if gossip.digest == self.digests.total() {
            self.is_joined = true;
            self.digest_mismatches.remove(&gossip.sender);
            return;
        }
        if let Some(shards) = &gossip.shards {
            self.sync_requests.insert(gossip.sender.clone(), shards.clone());
        }
        let count = self.digest_mismatches.entry(gossip.sender.clone()).or_default();
        *count += 1;
        let is_sync_useful = self.rumors.is_empty() || *count >= MISMATCHES_BEFORE_FORCED_SYNC;
        let is_due = !self.is_joined || *count >= MISMATCHES_BEFORE_SYNC && is_sync_useful;
        let is_join_response = !self.is_joined && !gossip.members.is_empty();
        if is_due && (now >= self.next_sync_at || is_join_response) {
            self.next_sync_at = now + MIN_SYNC_INTERVAL;
            *count = 0;
            self.sync_target = Some(gossip.sender.clone());
        }
    }

    /// Merges the zone summaries of a message, and schedules a reply to a sender in another zone
    /// that has older summaries.
    pub(crate) fn merge_zone_summaries(&mut self, now: Instant, gossip: &Gossip) {
        let is_foreign = gossip.zone != self.zone;
        if is_foreign {
            self.zones.record_message(&gossip.zone, now);
        }
        let mut replies = Vec::new();
        for summary in &gossip.zones {
            if summary.zone == self.zone {
                self.supersede_own_summary(summary);
                continue;
            }
            if !self.zones.merge(summary) && is_foreign {
                replies.extend(self.zones.summary(&summary.zone).cloned());
            }
            if !is_foreign {
                self.zones.mark_known_by(summary, &gossip.sender);
            }
        }
        if replies.is_empty() || replies == gossip.zones {
            return;
        }
        let Some(address) = address_of(&gossip.sender, gossip.zones.iter().chain(&replies)) else {
            return;
        };
        self.zone_replies.insert(gossip.sender.clone(), (address, replies));
    }

    /// Raises the version of the own zone's summary above that of a different one in circulation.
    fn supersede_own_summary(&mut self, summary: &ZoneSummary) {
        let mut own = self.own_summary();
        if summary.version < own.version {
            return;
        }
        let version = summary.version;
        own.version = version;
        own.version += u64::from(own != *summary);
        self.own_zone_summary = Some(own);
    }

    /// Restarts the watch of the predecessor after a pause of this process, which received no
    /// messages in the meantime.
    fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick_at) > 2 * self.cfg.heartbeat {
            self.watched_predecessor = None;
        }
        self.last_tick_at = now;
    }

    /// Declares suspected members dead after their timeout, and removes dead ones after theirs.
    fn expire(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (id, member) in &self.members {
            let age = now.saturating_duration_since(member.changed_at);
            let limit = match id {
                MemberId::Instance(_) => self.cfg.dead_after,
                MemberId::Server(_) => self.cfg.server_dead_after,
            };
            match member.standing.health {
                Health::Live => continue,
                Health::Suspect if age >= limit => dead.push((id.clone(), member.standing)),
                Health::Suspect => continue,
                Health::Dead if age >= self.cfg.forget_after => forgotten.push(id.clone()),
                Health::Dead => continue,
            }
        }
        for (id, standing) in dead {
            let standing = Standing { health: Health::Dead, ..standing };
            changes.extend(self.update(now, &id, &standing, None));
        }
        for id in forgotten {
            self.members.remove(&id);
        }
        let members = &self.members;
        self.last_heard_at
            .retain(|name, _| members.contains_key(&MemberId::Instance(name.clone())));
        let is_server = |name: &ServerName| MemberId::Server(name.clone());
        self.failed_probes.retain(|name, _| members.contains_key(&is_server(name)));
    }

    /// Suspects the predecessor on the ring after a time without heartbeats from it.
    fn watch_predecessor(&mut self, now: Instant, changes: &mut Vec<Change>) {
        self.rebuild_ring();
        let Some(name) = self.ring.predecessor(&self.name).cloned() else {
            self.watched_predecessor = None;
            return;
        };
        let since = match &self.watched_predecessor {
            Some((watched, since)) if *watched == name => *since,
            _ => now,
        };
        self.watched_predecessor = Some((name.clone(), since));
        let last_message_at = self.last_heard_at.get(&name).copied().unwrap_or(since).max(since);
        if now.saturating_duration_since(last_message_at) < self.cfg.suspect_after
            || self.is_isolated(now)
        {
            return;
        }
        let id = MemberId::Instance(name.clone());
        self.last_suspect = Some(name);
        let standing = Standing { health: Health::Suspect, ..self.standing(&id) };
        changes.extend(self.update(now, &id, &standing, None));
    }

    /// Returns whether no other instance has sent a message recently, which points to a fault of
    /// this instance and not of the others.
    fn is_isolated(&self, now: Instant) -> bool {
        let others = self.live_names().len().saturating_sub(1);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.cfg.suspect_after;
        others > 1 && !self.last_heard_at.values().any(is_recent)
    }

    /// Rebuilds the ring if the instances have changed.
    pub(crate) fn rebuild_ring(&mut self) {
        if !self.is_ring_stale {
            return;
        }
        self.is_ring_stale = false;
        self.ring = Default::default();
        for (id, member) in &self.members {
            let Some(instance) = id.as_instance() else { continue };
            if member.standing.health == Health::Live {
                self.ring.insert(instance.clone());
            }
        }
    }

    fn choose_random_peers(&mut self, now: Instant) {
        let is_live_peer = |peer: &InstanceName| self.ring.contains(peer);
        let is_complete = self.random_peers.len() == self.cfg.random_peers
            && self.random_peers.iter().all(is_live_peer);
        if is_complete && now < self.next_peer_change_at {
            return;
        }
        let mut candidates = Vec::new();
        for (id, member) in &self.members {
            let Some(instance) = id.as_instance() else { continue };
            if member.standing.health == Health::Live && *instance != self.name {
                candidates.push(instance.clone());
            }
        }
        self.random_peers.retain(|peer| candidates.contains(peer));
        if now >= self.next_peer_change_at {
            self.next_peer_change_at = now + self.cfg.random_peer_interval;
            let last = self.random_peers.len().min(self.cfg.random_peers).saturating_sub(1);
            self.random_peers.truncate(last);
        }
        candidates.retain(|candidate| !self.random_peers.contains(candidate));
        while self.random_peers.len() < self.cfg.random_peers && !candidates.is_empty() {
            let index = self.rng.random_range(0..candidates.len());
            self.random_peers.insert(0, candidates.swap_remove(index));
        }
    }

    fn send_heartbeats(&mut self, now: Instant, outbox: &mut Outbox) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.cfg.heartbeat;
        self.heartbeat_round += 1;
        let mut targets = BTreeSet::new();
        targets.extend(self.ring.successor(&self.name).cloned());
        if !self.random_peers.is_empty() {
            targets
                .insert(self.random_peers[self.heartbeat_round % self.random_peers.len()].clone());
        }
        targets.extend(self.current_suspect());
        for to in targets {
            let zones = self.zones.take_due(&to);
            let own = self.own_delta().filter(|_| !self.is_joined);
            let digests = self.digests.clone();
            let Some(gossip) = self.gossip_to(&to, outbox) else { continue };
            gossip.zones.extend(zones);
            // A joining instance sends its own entry and asks for the list.
            gossip.shards = own.is_some().then_some(digests);
            gossip.members.extend(own);
        }
        let keep = self.neighbours(now);
        self.zones.retain_peers(|peer| keep.contains(peer));
        self.digest_mismatches.retain(|peer, _| keep.contains(peer));
    }

    /// Returns the instance that this one suspects. It receives heartbeats too, so that it learns
    /// of the suspicion and can refute it.
    fn current_suspect(&self) -> Option<InstanceName> {
        let name = self.last_suspect.clone()?;
        let health = self.standing(&MemberId::Instance(name.clone())).health;
        (health == Health::Suspect).then_some(name)
    }

    /// Notifies instances that are suspected or dead here, so that they can refute it.
    fn notify_suspected_senders(&mut self, outbox: &mut Outbox) {
        for to in std::mem::take(&mut self.suspected_senders) {
            let id = MemberId::Instance(to.clone());
            let Some(member) = self.members.get(&id) else { continue };
            let delta = delta_of(&id, member, false);
            let Some(gossip) = self.gossip_to(&to, outbox) else { continue };
            gossip.members.push(delta);
        }
    }

    /// Asks an instance whose list differs for the entries that differ.
    fn send_sync_request(&mut self, outbox: &mut Outbox) {
        let Some(to) = self.sync_target.take() else { return };
        let digests = self.digests.clone();
        let own = self.own_delta();
        let Some(gossip) = self.gossip_to(&to, outbox) else { return };
        gossip.shards = Some(digests);
        gossip.members.extend(own);
    }

    /// Answers sync requests with the entries of the shards that differ.
    fn send_sync_responses(&mut self, now: Instant, outbox: &mut Outbox) {
        let requests = std::mem::take(&mut self.sync_requests);
        for (to, shards) in requests {
            if !self.send_budget.has_capacity(now, outbox_len(outbox)) {
                return;
            }
            let mut deltas = Vec::new();
            if self.is_joined {
                deltas = self.members_of_differing_shards(&shards);
            }
            let own = self.own_delta();
            let Some(gossip) = self.gossip_to(&to, outbox) else { continue };
            gossip.members.extend(own);
            gossip.members.extend(deltas);
        }
    }

    fn members_of_differing_shards(&mut self, shards: &ShardDigests) -> Vec<MemberDelta> {
        let first = self.rng.random_range(0..SHARDS);
        let mut deltas = Vec::new();
        let mut bytes = 0;
        for step in 0..SHARDS {
            let shard = (first + step) % SHARDS;
            if self.digests.has_equal_shard(shards, shard) {
                continue;
            }
            for (id, member) in &self.members {
                if shard_of(id) != shard {
                    continue;
                }
                let delta = delta_of(id, member, true);
                bytes += delta.encoded_len();
                deltas.push(delta);
            }
            if bytes >= MAX_SYNC_RESPONSE_BYTES {
                break;
            }
        }
        deltas
    }

    fn send_rumors(&mut self, now: Instant, outbox: &mut Outbox) {
        if self.rumors.is_empty() || now < self.next_rumor_at {
            return;
        }
        self.next_rumor_at = now + self.cfg.rumor_interval;
        let neighbours = self.neighbours(now);
        let mut order: Vec<_> = neighbours.iter().cloned().collect();
        if order.is_empty() {
            self.rumors.drop_delivered(&neighbours);
            return;
        }
        let start = self.rng.random_range(0..order.len());
        order.rotate_left(start);
        for to in order {
            let pending = outbox_len(outbox);
            if !outbox.contains_key(&to) && !self.send_budget.has_capacity(now, pending) {
                continue;
            }
            let deltas = self.rumors.take_due(&to, &self.members, MAX_RUMOR_BYTES);
            if deltas.is_empty() {
                continue;
            }
            let Some(gossip) = self.gossip_to(&to, outbox) else { continue };
            gossip.members.extend(deltas);
        }
        self.rumors.drop_delivered(&neighbours);
    }

    fn send_zone_summaries(&mut self, now: Instant, outbox: &mut Outbox) {
        let replies = std::mem::take(&mut self.zone_replies);
        for (to, (address, summaries)) in replies {
            let gossip = self.empty_gossip();
            outbox.entry(to).or_insert((address, gossip)).1.zones.extend(summaries);
        }
        if now < self.next_zone_exchange_at {
            return;
        }
        self.next_zone_exchange_at = now + self.cfg.zones_interval;
        if !self.is_bridge() {
            return;
        }
        let own = self.own_summary();
        for (_, contact) in self.zones.next_contacts() {
            let gossip = self.empty_gossip();
            let slot = outbox.entry(contact.instance).or_insert((contact.address, gossip));
            slot.1.zones.push(own.clone());
        }
    }

    /// Returns the summary of the own zone for other zones, with a higher version after a change.
    fn own_summary(&mut self) -> ZoneSummary {
        let live = self.live_names();
        let mut summary = ZoneSummary {
            zone: self.zone.clone(),
            version: self.own_zone_summary.as_ref().map_or(1, |own| own.version),
            contacts: Vec::new(),
            instances: live.len() as u32,
            servers: BTreeMap::new(),
        };
        for name in rendezvous("bridge", live.iter(), MAX_CONTACTS) {
            let Some(member) = self.members.get(&MemberId::Instance(name.clone())) else {
                continue;
            };
            let address = member.entry.address;
            summary.contacts.push(ZoneContact { instance: name.clone(), address });
        }
        for member in self.members.values() {
            let ListedKind::Server { pool, .. } = &member.entry.kind else { continue };
            if member.state() == MemberState::Live {
                *summary.servers.entry(pool.clone()).or_default() += 1;
            }
        }
        summary.version +=
            u64::from(self.own_zone_summary.as_ref().is_some_and(|own| *own != summary));
        self.own_zone_summary = Some(summary.clone());
        summary
    }

    /// Returns the message of this tick to a member, which is created if necessary.
    fn gossip_to<'a>(&self, to: &InstanceName, outbox: &'a mut Outbox) -> Option<&'a mut Gossip> {
        let member = self.members.get(&MemberId::Instance(to.clone()))?;
        let address = member.entry.address;
        let slot = outbox.entry(to.clone()).or_insert_with(|| (address, self.empty_gossip()));
        Some(&mut slot.1)
    }

    /// Returns a message without changes.
    fn empty_gossip(&self) -> Gossip {
        Gossip {
            sender: self.name.clone(),
            zone: self.zone.clone(),
            incarnation: self.standing(&MemberId::Instance(self.name.clone())).incarnation,
            digest: self.digests.total(),
            shards: None,
            members: Vec::new(),
            zones: Vec::new(),
        }
    }

    /// Returns this instance as a change with its entry, for receivers that may not know it yet.
    fn own_delta(&self) -> Option<MemberDelta> {
        let id = MemberId::Instance(self.name.clone());
        self.members.get(&id).map(|member| delta_of(&id, member, true))
    }

    /// Returns whether an instance is a member that is not dead.
    fn is_known(&self, name: &InstanceName) -> bool {
        let member = self.members.get(&MemberId::Instance(name.clone()));
        member.is_some_and(|member| member.standing.health != Health::Dead)
    }
}

/// The messages of one tick, at most one for each receiver.
type Outbox = BTreeMap<InstanceName, (SocketAddr, Gossip)>;

fn outbox_len(outbox: &Outbox) -> usize {
    outbox.values().map(|(_, gossip)| gossip.encoded_len()).sum()
}

fn address_of<'a>(
    name: &InstanceName,
    summaries: impl Iterator<Item = &'a ZoneSummary>,
) -> Option<SocketAddr> {
    let mut contacts = summaries.flat_map(|summary| &summary.contacts);
    contacts.find(|contact| contact.instance == *name).map(|contact| contact.address)
}
