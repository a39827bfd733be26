use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, ServerName};
use magnoliaspar_store::ListedKind;
use rand::Rng;

use crate::digest::shard_of;
use crate::ring::rendezvous;
use crate::rumor::delta_of;
use crate::zone::CONTACTS;
use crate::{
    Change, Gossip, Health, MemberDelta, MemberId, MemberState, Membership, Outgoing, SHARDS,
    ShardDigests, Standing, ZoneContact, ZoneSummary,
};

/// The most bytes of changes in one message.
const DELTA_BYTES: usize = 1000;

/// The most bytes of entries in one answer to a comparison of member lists.
const SYNC_BYTES: usize = 4000;

/// After how many differing digests in a row of one sender the lists are compared.
const DIFFERING: u32 = 3;

/// After how many differing digests in a row the lists are compared while changes spread.
const LONG_DIFFERING: u32 = 10;

/// The least time between two comparisons.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// For how long after a message its sender gets changes in return.
const INBOUND_AGE: Duration = Duration::from_secs(5);

/// To how many senders changes are returned.
const INBOUND: usize = 6;

impl Membership {
    /// Returns the messages that are due, and makes the changes that follow from silence.
    pub fn tick(&mut self, now: Instant) -> (Vec<Outgoing>, Vec<Change>) {
        let mut changes = Vec::new();
        self.notice_pause(now);
        self.is_joined |= now >= self.join_until;
        if now >= self.heartbeat_at {
            self.expire(now, &mut changes);
            self.watch_predecessor(now, &mut changes);
        }
        self.refresh();
        self.choose_links(now);
        let mut outbox = BTreeMap::new();
        self.send_heartbeats(now, &mut outbox);
        self.send_corrections(&mut outbox);
        self.send_question(&mut outbox);
        self.send_answers(now, &mut outbox);
        self.send_rumors(now, &mut outbox);
        self.send_to_zones(now, &mut outbox);
        let mut outgoing = Vec::new();
        for (to, (address, gossip)) in outbox {
            self.allowance.charge(now, gossip.encoded_len());
            outgoing.push(Outgoing { to, address, gossip });
        }
        (outgoing, changes)
    }

    /// Returns when [`tick`](Self::tick) should be called next.
    pub fn next_tick(&self) -> Instant {
        let next = self.heartbeat_at.min(self.zones_at);
        if self.ask.is_some()
            || !self.asks.is_empty()
            || !self.greet.is_empty()
            || !self.mistaken.is_empty()
        {
            return self.ticked_at;
        }
        if self.rumors.is_empty() { next } else { next.min(self.rumor_at) }
    }

    /// Returns a message for an instance that is known by its address only.
    pub fn greeting(&mut self) -> Gossip {
        self.refresh();
        let mut gossip = self.frame();
        gossip.members.extend(self.own_delta());
        gossip.shards = Some(self.digests.clone());
        gossip
    }

    /// Returns the instances of the own zone with which this one exchanges messages at present.
    pub fn neighbours(&self, now: Instant) -> BTreeSet<InstanceName> {
        let mut neighbours: BTreeSet<_> = self.links.iter().cloned().collect();
        neighbours.extend(self.ring.successor(&self.name).cloned());
        let mut inbound = 0;
        for (name, at) in &self.heard {
            if inbound == INBOUND {
                break;
            }
            if now.saturating_duration_since(*at) <= INBOUND_AGE && self.is_known(name) {
                inbound += 1;
                neighbours.insert(name.clone());
            }
        }
        neighbours
    }

    /// Compares the sender's digests with the own ones, and remembers what to ask or answer.
    pub(crate) fn compare(&mut self, now: Instant, gossip: &Gossip) {
        self.refresh();
        if gossip.digest == self.digests.total() {
            self.is_joined = true;
            self.differing.remove(&gossip.sender);
            return;
        }
        if let Some(shards) = &gossip.shards {
            self.asks.insert(gossip.sender.clone(), shards.clone());
        }
        let count = self.differing.entry(gossip.sender.clone()).or_default();
        *count += 1;
        let is_settled = self.rumors.is_empty() || *count >= LONG_DIFFERING;
        let is_due = !self.is_joined || *count >= DIFFERING && is_settled;
        let is_answer = !self.is_joined && !gossip.members.is_empty();
        if is_due && (now >= self.compare_at || is_answer) {
            self.compare_at = now + COMPARE_INTERVAL;
            *count = 0;
            self.ask = Some(gossip.sender.clone());
        }
    }

    pub(crate) fn take_zones(&mut self, now: Instant, gossip: &Gossip) {
        let is_foreign = gossip.zone != self.zone;
        if is_foreign {
            self.zones.heard(&gossip.zone, now);
        }
        let mut replies = Vec::new();
        for summary in &gossip.zones {
            if summary.zone == self.zone {
                self.outbid(summary);
                continue;
            }
            if !self.zones.merge(summary) && is_foreign {
                replies.extend(self.zones.summary(&summary.zone).cloned());
            }
            if !is_foreign {
                self.zones.known_by(summary, &gossip.sender);
            }
        }
        if replies.is_empty() || replies == gossip.zones {
            return;
        }
        let Some(address) = address_of(&gossip.sender, gossip.zones.iter().chain(&replies)) else {
            return;
        };
        self.greet.insert(gossip.sender.clone(), (address, replies));
    }

    /// Raises the version of the own zone's summary above one that tells something else.
    fn outbid(&mut self, summary: &ZoneSummary) {
        let mut own = self.own_summary();
        if summary.version < own.version {
            return;
        }
        let version = summary.version;
        own.version = version;
        own.version += u64::from(own != *summary);
        self.own_zone = Some(own);
    }

    /// Restarts the watch after a pause of this process, which heard nobody meanwhile.
    fn notice_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.ticked_at) > 2 * self.cfg.heartbeat {
            self.watch = None;
        }
        self.ticked_at = now;
    }

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
        self.heard.retain(|name, _| members.contains_key(&MemberId::Instance(name.clone())));
        let is_server = |name: &ServerName| MemberId::Server(name.clone());
        self.failed_probes.retain(|name, _| members.contains_key(&is_server(name)));
    }

    /// Suspects the instance before this one on the ring once its heartbeats stay out.
    fn watch_predecessor(&mut self, now: Instant, changes: &mut Vec<Change>) {
        self.refresh();
        let Some(name) = self.ring.predecessor(&self.name).cloned() else {
            self.watch = None;
            return;
        };
        let since = match &self.watch {
            Some((watched, since)) if *watched == name => *since,
            _ => now,
        };
        self.watch = Some((name.clone(), since));
        let heard = self.heard.get(&name).copied().unwrap_or(since).max(since);
        if now.saturating_duration_since(heard) < self.cfg.suspect_after || self.is_isolated(now) {
            return;
        }
        let id = MemberId::Instance(name.clone());
        self.suspected = Some(name);
        let standing = Standing { health: Health::Suspect, ..self.standing(&id) };
        changes.extend(self.update(now, &id, &standing, None));
    }

    /// Whether nobody at all is heard, which says more of this instance than of the others.
    fn is_isolated(&self, now: Instant) -> bool {
        let others = self.live_names().len().saturating_sub(1);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.cfg.suspect_after;
        others > 1 && !self.heard.values().any(is_recent)
    }

    /// Computes anew what depends on the members.
    pub(crate) fn refresh(&mut self) {
        if !self.is_stale {
            return;
        }
        self.is_stale = false;
        self.ring = Default::default();
        for (id, member) in &self.members {
            let Some(instance) = id.as_instance() else { continue };
            if member.standing.health == Health::Live {
                self.ring.insert(instance.clone());
            }
        }
    }

    fn choose_links(&mut self, now: Instant) {
        let is_link = |link: &InstanceName| self.ring.contains(link);
        let is_complete = self.links.len() == self.cfg.links && self.links.iter().all(is_link);
        if is_complete && now < self.links_at {
            return;
        }
        let mut candidates = Vec::new();
        for (id, member) in &self.members {
            let Some(instance) = id.as_instance() else { continue };
            if member.standing.health == Health::Live && *instance != self.name {
                candidates.push(instance.clone());
            }
        }
        self.links.retain(|link| candidates.contains(link));
        if now >= self.links_at {
            self.links_at = now + self.cfg.links_interval;
            let last = self.links.len().min(self.cfg.links).saturating_sub(1);
            self.links.truncate(last);
        }
        candidates.retain(|candidate| !self.links.contains(candidate));
        while self.links.len() < self.cfg.links && !candidates.is_empty() {
            let index = self.rng.random_range(0..candidates.len());
            self.links.insert(0, candidates.swap_remove(index));
        }
    }

    fn send_heartbeats(&mut self, now: Instant, outbox: &mut Outbox) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.cfg.heartbeat;
        self.turn += 1;
        let mut targets = BTreeSet::new();
        targets.extend(self.ring.successor(&self.name).cloned());
        if !self.links.is_empty() {
            targets.insert(self.links[self.turn % self.links.len()].clone());
        }
        targets.extend(self.suspected());
        for to in targets {
            let zones = self.zones.take(&to);
            let own = self.own_delta().filter(|_| !self.is_joined);
            let digests = self.digests.clone();
            let Some(gossip) = self.message(&to, outbox) else { continue };
            gossip.zones.extend(zones);
            // An instance that joins introduces itself and asks for the list.
            gossip.shards = own.is_some().then_some(digests);
            gossip.members.extend(own);
        }
        let keep = self.neighbours(now);
        self.zones.retain_peers(|peer| keep.contains(peer));
        self.differing.retain(|peer, _| keep.contains(peer));
    }

    /// Returns the instance that this one suspects, so that it hears of the suspicion.
    fn suspected(&self) -> Option<InstanceName> {
        let name = self.suspected.clone()?;
        let health = self.standing(&MemberId::Instance(name.clone())).health;
        (health == Health::Suspect).then_some(name)
    }

    /// Tells instances that they are believed to be gone.
    fn send_corrections(&mut self, outbox: &mut Outbox) {
        for to in std::mem::take(&mut self.mistaken) {
            let id = MemberId::Instance(to.clone());
            let Some(member) = self.members.get(&id) else { continue };
            let delta = delta_of(&id, member, false);
            let Some(gossip) = self.message(&to, outbox) else { continue };
            gossip.members.push(delta);
        }
    }

    /// Asks an instance that holds a different list for what differs.
    fn send_question(&mut self, outbox: &mut Outbox) {
        let Some(to) = self.ask.take() else { return };
        let digests = self.digests.clone();
        let own = self.own_delta();
        let Some(gossip) = self.message(&to, outbox) else { return };
        gossip.shards = Some(digests);
        gossip.members.extend(own);
    }

    /// Answers comparisons with the entries that differ.
    fn send_answers(&mut self, now: Instant, outbox: &mut Outbox) {
        let asks = std::mem::take(&mut self.asks);
        for (to, shards) in asks {
            if !self.allowance.is_open(now, outbox_len(outbox)) {
                return;
            }
            let mut deltas = Vec::new();
            if self.is_joined {
                deltas = self.differing_members(&shards);
            }
            let own = self.own_delta();
            let Some(gossip) = self.message(&to, outbox) else { continue };
            gossip.members.extend(own);
            gossip.members.extend(deltas);
        }
    }

    fn differing_members(&mut self, shards: &ShardDigests) -> Vec<MemberDelta> {
        let first = self.rng.random_range(0..SHARDS);
        let mut deltas = Vec::new();
        let mut bytes = 0;
        for step in 0..SHARDS {
            let shard = (first + step) % SHARDS;
            if self.digests.agrees(shards, shard) {
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
            if bytes >= SYNC_BYTES {
                break;
            }
        }
        deltas
    }

    fn send_rumors(&mut self, now: Instant, outbox: &mut Outbox) {
        if self.rumors.is_empty() || now < self.rumor_at {
            return;
        }
        self.rumor_at = now + self.cfg.rumor_interval;
        let neighbours = self.neighbours(now);
        let mut order: Vec<_> = neighbours.iter().cloned().collect();
        if order.is_empty() {
            self.rumors.settle(&neighbours);
            return;
        }
        let start = self.rng.random_range(0..order.len());
        order.rotate_left(start);
        for to in order {
            let pending = outbox_len(outbox);
            if !outbox.contains_key(&to) && !self.allowance.is_open(now, pending) {
                continue;
            }
            let deltas = self.rumors.take(&to, &self.members, DELTA_BYTES);
            if deltas.is_empty() {
                continue;
            }
            let Some(gossip) = self.message(&to, outbox) else { continue };
            gossip.members.extend(deltas);
        }
        self.rumors.settle(&neighbours);
    }

    fn send_to_zones(&mut self, now: Instant, outbox: &mut Outbox) {
        let replies = std::mem::take(&mut self.greet);
        for (to, (address, summaries)) in replies {
            let frame = self.frame();
            outbox.entry(to).or_insert((address, frame)).1.zones.extend(summaries);
        }
        if now < self.zones_at {
            return;
        }
        self.zones_at = now + self.cfg.zones_interval;
        if !self.is_bridge() {
            return;
        }
        let own = self.own_summary();
        for (_, contact) in self.zones.next_contacts() {
            let frame = self.frame();
            let slot = outbox.entry(contact.instance).or_insert((contact.address, frame));
            slot.1.zones.push(own.clone());
        }
    }

    /// Returns what other zones are told of the own one, with a higher version after a change.
    fn own_summary(&mut self) -> ZoneSummary {
        let live = self.live_names();
        let mut summary = ZoneSummary {
            zone: self.zone.clone(),
            version: self.own_zone.as_ref().map_or(1, |own| own.version),
            contacts: Vec::new(),
            instances: live.len() as u32,
            servers: BTreeMap::new(),
        };
        for name in rendezvous("bridge", live.iter(), CONTACTS) {
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
        summary.version += u64::from(self.own_zone.as_ref().is_some_and(|own| *own != summary));
        self.own_zone = Some(summary.clone());
        summary
    }

    fn message<'a>(&self, to: &InstanceName, outbox: &'a mut Outbox) -> Option<&'a mut Gossip> {
        let member = self.members.get(&MemberId::Instance(to.clone()))?;
        let address = member.entry.address;
        let slot = outbox.entry(to.clone()).or_insert_with(|| (address, self.frame()));
        Some(&mut slot.1)
    }

    fn frame(&self) -> Gossip {
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

    /// Returns the entry of this instance, for those who may not know it yet.
    fn own_delta(&self) -> Option<MemberDelta> {
        let id = MemberId::Instance(self.name.clone());
        self.members.get(&id).map(|member| delta_of(&id, member, true))
    }

    fn is_known(&self, name: &InstanceName) -> bool {
        let member = self.members.get(&MemberId::Instance(name.clone()));
        member.is_some_and(|member| member.standing.health != Health::Dead)
    }
}

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
