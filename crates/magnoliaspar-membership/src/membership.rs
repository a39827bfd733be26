//! The state of [`Membership`], the events that change it, and its configuration.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{InstanceName, ServerName, ZoneName};
use magnoliaspar_store::{ListEntry, ListState, ListedKind};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ring::Ring;
use crate::rumor::Rumors;
use crate::zone::Zones;
use crate::{
    Gossip, Health, Member, MemberDelta, MemberEntry, MemberId, MemberState, ShardDigests,
    Standing, TokenBucket, ZoneContact, ZoneSummary,
};

/// Maximum number of changes kept for [`Membership::changes_since`].
const MAX_CHANGE_LOG_LEN: usize = 1024;

/// Time after which an instance counts as joined even if its digest still differs from its peers'.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The members that one instance knows, and the state of its gossip with others.
#[derive(Debug)]
pub struct Membership {
    pub(crate) name: InstanceName,
    pub(crate) zone: ZoneName,
    pub(crate) cfg: MembershipConfig,
    pub(crate) rng: StdRng,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) ring: Ring,
    pub(crate) digests: ShardDigests,
    pub(crate) is_ring_stale: bool,
    pub(crate) rumors: Rumors,
    pub(crate) zones: Zones,
    pub(crate) own_zone_summary: Option<ZoneSummary>,
    pub(crate) last_heard_at: BTreeMap<InstanceName, Instant>,
    /// Consecutive differing digests of each sender.
    pub(crate) digest_mismatches: BTreeMap<InstanceName, u32>,
    pub(crate) next_sync_at: Instant,
    /// Instance to ask for differing entries at the next tick.
    pub(crate) sync_target: Option<InstanceName>,
    /// Senders that are suspected or dead here. They are notified, so that they can refute it.
    pub(crate) suspected_senders: BTreeSet<InstanceName>,
    /// Digests of the instances that asked for differing entries.
    pub(crate) sync_requests: BTreeMap<InstanceName, ShardDigests>,
    /// Newer summaries to return to senders in other zones, with the senders' addresses.
    pub(crate) zone_replies: BTreeMap<InstanceName, (SocketAddr, Vec<ZoneSummary>)>,
    pub(crate) is_joined: bool,
    pub(crate) join_deadline: Instant,
    /// Random instances of the zone that receive messages, newest first.
    pub(crate) random_peers: Vec<InstanceName>,
    pub(crate) send_budget: TokenBucket,
    /// The predecessor on the ring, and the time at which its watch began.
    pub(crate) watched_predecessor: Option<(InstanceName, Instant)>,
    /// The last predecessor that this instance suspected.
    pub(crate) last_suspect: Option<InstanceName>,
    pub(crate) last_tick_at: Instant,
    pub(crate) next_heartbeat_at: Instant,
    pub(crate) next_rumor_at: Instant,
    pub(crate) next_peer_change_at: Instant,
    pub(crate) next_zone_exchange_at: Instant,
    pub(crate) heartbeat_round: usize,
    pub(crate) failed_probes: BTreeMap<ServerName, u32>,
    pub(crate) change_log: VecDeque<Change>,
    pub(crate) last_change: u64,
}

impl Membership {
    /// Creates the membership of the instance `own`, without any other member.
    pub fn new(own: ListEntry, cfg: MembershipConfig, now: Instant) -> Self {
        let name =
            InstanceName::try_from(&*own.name).expect("the entry comes from validated settings");
        let mut membership = Self {
            name: name.clone(),
            zone: own.zone.clone(),
            rng: StdRng::seed_from_u64(cfg.seed),
            members: BTreeMap::new(),
            ring: Ring::default(),
            digests: ShardDigests::new(),
            is_ring_stale: true,
            rumors: Rumors::default(),
            zones: Zones::default(),
            own_zone_summary: None,
            last_heard_at: BTreeMap::new(),
            digest_mismatches: BTreeMap::new(),
            next_sync_at: now,
            sync_target: None,
            suspected_senders: BTreeSet::new(),
            sync_requests: BTreeMap::new(),
            zone_replies: BTreeMap::new(),
            is_joined: false,
            join_deadline: now + JOIN_TIMEOUT,
            random_peers: Vec::new(),
            send_budget: TokenBucket::new(cfg.bytes_per_second, cfg.burst_bytes, now),
            watched_predecessor: None,
            last_suspect: None,
            last_tick_at: now,
            next_heartbeat_at: now,
            next_rumor_at: now,
            next_peer_change_at: now,
            next_zone_exchange_at: now,
            heartbeat_round: 0,
            failed_probes: BTreeMap::new(),
            change_log: VecDeque::new(),
            last_change: 0,
            cfg,
        };
        let standing = Standing::new(own.incarnation, own.state == ListState::Leaving);
        let entry = MemberEntry { zone: own.zone, address: own.address, kind: own.kind };
        membership.update(now, &MemberId::Instance(name), &standing, Some(&entry));
        membership
    }

    /// Merges a copy of the platform's list, which may be outdated.
    ///
    /// A member that is missing from the list is declared dead only if it is already suspected.
    pub fn merge_platform_list(
        &mut self,
        now: Instant,
        entries: &[ListEntry],
        scope: &ListScope,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        let is_first = self.members.len() == 1;
        for listed_entry in entries {
            let Some(id) = member_id(listed_entry) else { continue };
            if listed_entry.zone != self.zone {
                self.add_listed_contact(listed_entry, &id);
                continue;
            }
            let entry = MemberEntry {
                zone: listed_entry.zone.clone(),
                address: listed_entry.address,
                kind: listed_entry.kind.clone(),
            };
            let standing =
                Standing::new(listed_entry.incarnation, listed_entry.state == ListState::Leaving);
            changes.extend(self.update(now, &id, &standing, Some(&entry)));
            listed.insert(id);
        }
        if is_first {
            self.drop_live_rumors();
        }
        self.refute_own_suspicion(now, &mut changes);
        if scope.covers(&self.zone) {
            self.declare_missing_dead(now, &listed, &mut changes);
        }
        changes
    }

    /// Merges a message of another instance.
    pub fn receive(&mut self, now: Instant, gossip: &Gossip) -> Vec<Change> {
        let mut changes = Vec::new();
        if gossip.sender == self.name {
            return changes;
        }
        self.merge_zone_summaries(now, gossip);
        if gossip.zone != self.zone {
            return changes;
        }
        self.last_heard_at.insert(gossip.sender.clone(), now);
        for delta in &gossip.members {
            changes.extend(self.merge_delta(now, delta, &gossip.sender));
        }
        if !self.is_joined {
            self.drop_live_rumors();
            // An answer with more than the sender's own entry but no change completes the list.
            self.is_joined = gossip.members.len() > 1 && changes.is_empty();
        }
        self.refute_own_suspicion(now, &mut changes);
        self.detect_returned_sender(gossip);
        self.compare_digests(now, gossip);
        changes
    }

    /// Records the result of a probe of a backend server, or of a call that shows the same.
    pub fn probe_result(&mut self, now: Instant, server: &ServerName, is_ok: bool) -> Vec<Change> {
        let id = MemberId::Server(server.clone());
        let Some(member) = self.members.get(&id) else { return Vec::new() };
        let mut standing = member.standing;
        if is_ok {
            self.failed_probes.remove(server);
            if standing.health == Health::Live {
                return Vec::new();
            }
            standing.sequence += 1;
            standing.health = Health::Live;
            return self.update(now, &id, &standing, None).into_iter().collect();
        }
        let failures = self.failed_probes.entry(server.clone()).or_default();
        *failures += 1;
        if *failures < self.cfg.probe_failures || standing.health != Health::Live {
            return Vec::new();
        }
        standing.health = Health::Suspect;
        self.update(now, &id, &standing, None).into_iter().collect()
    }

    /// Announces that this instance is about to shut down.
    pub fn leave(&mut self, now: Instant) -> Vec<Change> {
        let id = MemberId::Instance(self.name.clone());
        let standing = Standing { is_leaving: true, ..self.standing(&id) };
        self.update(now, &id, &standing, None).into_iter().collect()
    }

    /// Drains a member on an operator's command.
    pub fn drain(&mut self, now: Instant, id: &MemberId) -> Result<Vec<Change>, UnknownMember> {
        if !self.members.contains_key(id) {
            return Err(UnknownMember);
        }
        let mut standing = self.standing(id);
        standing.drain_epoch |= 1;
        Ok(self.update(now, id, &standing, None).into_iter().collect())
    }

    /// Reverts an operator's drain, unless the platform or the member itself has announced its end.
    pub fn undrain(&mut self, now: Instant, id: &MemberId) -> Result<Vec<Change>, UndrainError> {
        if !self.members.contains_key(id) {
            return Err(UndrainError::Unknown);
        }
        let mut standing = self.standing(id);
        if standing.is_leaving {
            return Err(UndrainError::Leaving);
        }
        if standing.is_drained() {
            standing.drain_epoch += 1;
        }
        Ok(self.update(now, id, &standing, None).into_iter().collect())
    }

    /// Merges a standing into a member, and starts a rumor if it changed.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        id: &MemberId,
        standing: &Standing,
        entry: Option<&MemberEntry>,
    ) -> Option<Change> {
        let mut before = None;
        let mut includes_entry = true;
        if let Some(member) = self.members.get_mut(id) {
            let old = member.standing;
            let is_new_incarnation = standing.incarnation > old.incarnation;
            if is_new_incarnation && entry.is_none() || !member.standing.merge(standing) {
                return None;
            }
            if let (true, Some(entry)) = (is_new_incarnation, entry) {
                member.entry = entry.clone();
            }
            member.changed_at = now;
            self.digests.toggle(id, &old);
            before = Some(old.state());
            includes_entry = is_new_incarnation;
        } else {
            let entry = entry?.clone();
            self.members.insert(id.clone(), Member { entry, standing: *standing, changed_at: now });
        }
        let standing = self.standing(id);
        self.digests.toggle(id, &standing);
        self.is_ring_stale |= id.as_instance().is_some();
        self.rumors.start(id, standing.state(), includes_entry);
        self.next_rumor_at = self.next_rumor_at.min(now);
        Some(self.record_change(id, before, &standing))
    }

    fn record_change(
        &mut self,
        id: &MemberId,
        before: Option<MemberState>,
        after: &Standing,
    ) -> Change {
        self.last_change += 1;
        let number = self.last_change;
        let change = Change { number, id: id.clone(), before, standing: *after };
        self.change_log.push_back(change.clone());
        if self.change_log.len() > MAX_CHANGE_LOG_LEN {
            self.change_log.pop_front();
        }
        change
    }

    fn merge_delta(
        &mut self,
        now: Instant,
        delta: &MemberDelta,
        from: &InstanceName,
    ) -> Option<Change> {
        if delta.entry.as_ref().is_some_and(|entry| entry.zone != self.zone) {
            return None;
        }
        let change = self.update(now, &delta.id, &delta.standing, delta.entry.as_ref());
        if self.standing(&delta.id) == delta.standing {
            self.rumors.mark_known_by(&delta.id, from);
        }
        change
    }

    /// Schedules a message to a sender that is suspected or dead here, so that it can refute this.
    fn detect_returned_sender(&mut self, gossip: &Gossip) {
        let Some(member) = self.members.get(&MemberId::Instance(gossip.sender.clone())) else {
            return;
        };
        let is_same_incarnation = member.standing.incarnation >= gossip.incarnation;
        if member.standing.health != Health::Live && is_same_incarnation {
            self.suspected_senders.insert(gossip.sender.clone());
        }
    }

    /// Refutes that this instance is suspect or dead, by a higher sequence number.
    fn refute_own_suspicion(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let id = MemberId::Instance(self.name.clone());
        let mut standing = self.standing(&id);
        if standing.health == Health::Live {
            return;
        }
        standing.sequence += 1;
        standing.health = Health::Live;
        changes.extend(self.update(now, &id, &standing, None));
    }

    /// Removes the rumors of live members, which the other instances know already, so that a
    /// joining instance passes on urgent changes only.
    fn drop_live_rumors(&mut self) {
        let own = MemberId::Instance(self.name.clone());
        for (id, member) in &self.members {
            if *id != own && member.state() == MemberState::Live {
                self.rumors.remove(id);
            }
        }
    }

    /// Declares suspected members dead that are missing from the platform's list.
    fn declare_missing_dead(
        &mut self,
        now: Instant,
        listed: &BTreeSet<MemberId>,
        changes: &mut Vec<Change>,
    ) {
        let mut missing = Vec::new();
        for (id, member) in &self.members {
            if member.standing.health == Health::Suspect && !listed.contains(id) {
                missing.push((id.clone(), member.standing));
            }
        }
        for (id, standing) in missing {
            let standing = Standing { health: Health::Dead, ..standing };
            changes.extend(self.update(now, &id, &standing, None));
        }
    }

    fn add_listed_contact(&mut self, listed_entry: &ListEntry, id: &MemberId) {
        let Some(instance) = id.as_instance() else { return };
        if listed_entry.state == ListState::Live {
            let contact = ZoneContact { instance: instance.clone(), address: listed_entry.address };
            self.zones.add_listed_contact(&listed_entry.zone, contact);
        }
    }
}

/// Intervals, timeouts and send limits of a [`Membership`].
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Seed of random choices.
    pub seed: u64,
    /// Interval of heartbeats to the successor on the ring and one random peer.
    pub heartbeat: Duration,
    /// Interval at which rumors are sent while there are any.
    pub rumor_interval: Duration,
    /// Time without a heartbeat after which an instance is suspected.
    pub suspect_after: Duration,
    /// Time that a suspected instance has to refute the suspicion.
    pub dead_after: Duration,
    /// Time that a suspected backend server has to answer a probe.
    pub server_dead_after: Duration,
    /// Number of consecutive failed probes after which a backend server is suspected.
    pub probe_failures: u32,
    /// Time after which a dead member is removed.
    pub forget_after: Duration,
    /// Number of random instances of the zone that receive messages, besides the successor on the
    /// ring.
    pub random_peers: usize,
    /// Interval at which one of the random instances is replaced.
    pub random_peer_interval: Duration,
    /// Interval at which each bridge, an instance that represents its zone to the others, sends a
    /// message to each other availability zone.
    pub zones_interval: Duration,
    /// Average number of bytes that may be sent per second.
    pub bytes_per_second: f64,
    /// Number of bytes that may be sent in a burst.
    pub burst_bytes: f64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            seed: 0,
            heartbeat: Duration::from_secs(1),
            rumor_interval: Duration::from_millis(200),
            suspect_after: Duration::from_secs(3),
            dead_after: Duration::from_secs(5),
            server_dead_after: Duration::from_secs(60),
            probe_failures: 3,
            forget_after: Duration::from_secs(24 * 60 * 60),
            random_peers: 3,
            random_peer_interval: Duration::from_secs(30),
            zones_interval: Duration::from_secs(4),
            bytes_per_second: 1600.0,
            burst_bytes: 3000.0,
        }
    }
}

/// The part of the platform's list that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListScope {
    /// The whole list.
    All,
    /// The entries of one availability zone.
    Zone(ZoneName),
}

impl ListScope {
    fn covers(&self, zone: &ZoneName) -> bool {
        match self {
            Self::All => true,
            Self::Zone(own) => own == zone,
        }
    }
}

/// A change of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The number of the change on this instance, starting at 1.
    pub number: u64,
    /// The member.
    pub id: MemberId,
    /// The previous state, or `None` if the member is new.
    pub before: Option<MemberState>,
    /// The standing after the change.
    pub standing: Standing,
}

/// the member is not known here
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub struct UnknownMember;

impl std::error::Error for UnknownMember {}

/// The reason why a drain cannot be reverted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum UndrainError {
    /// the member is not known here
    Unknown,
    /// the platform or the member itself ends the member; only a new incarnation is live again
    Leaving,
}

impl std::error::Error for UndrainError {}

fn member_id(listed_entry: &ListEntry) -> Option<MemberId> {
    match listed_entry.kind {
        ListedKind::Instance { .. } => {
            InstanceName::try_from(&*listed_entry.name).ok().map(MemberId::Instance)
        }
        ListedKind::Server { .. } => {
            ServerName::try_from(&*listed_entry.name).ok().map(MemberId::Server)
        }
    }
}
