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
    Allowance, Gossip, Health, Member, MemberDelta, MemberEntry, MemberId, MemberState,
    ShardDigests, Standing, ZoneContact, ZoneSummary,
};

/// How many changes are kept for [`Membership::changes_since`].
const CHANGE_LOG: usize = 1024;

/// After which time an instance counts as joined, even if the lists still differ.
const JOIN_LIMIT: Duration = Duration::from_secs(30);

/// The members that one instance knows, and what it has to tell others.
#[derive(Debug)]
pub struct Membership {
    pub(crate) name: InstanceName,
    pub(crate) zone: ZoneName,
    pub(crate) cfg: MembershipConfig,
    pub(crate) rng: StdRng,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) ring: Ring,
    pub(crate) digests: ShardDigests,
    pub(crate) is_stale: bool,
    pub(crate) rumors: Rumors,
    pub(crate) zones: Zones,
    pub(crate) own_zone: Option<ZoneSummary>,
    pub(crate) heard: BTreeMap<InstanceName, Instant>,
    pub(crate) differing: BTreeMap<InstanceName, u32>,
    pub(crate) compare_at: Instant,
    pub(crate) ask: Option<InstanceName>,
    pub(crate) mistaken: BTreeSet<InstanceName>,
    pub(crate) asks: BTreeMap<InstanceName, ShardDigests>,
    pub(crate) greet: BTreeMap<InstanceName, (SocketAddr, Vec<ZoneSummary>)>,
    pub(crate) is_joined: bool,
    pub(crate) join_until: Instant,
    pub(crate) links: Vec<InstanceName>,
    pub(crate) allowance: Allowance,
    pub(crate) watch: Option<(InstanceName, Instant)>,
    pub(crate) suspected: Option<InstanceName>,
    pub(crate) ticked_at: Instant,
    pub(crate) heartbeat_at: Instant,
    pub(crate) rumor_at: Instant,
    pub(crate) links_at: Instant,
    pub(crate) zones_at: Instant,
    pub(crate) turn: usize,
    pub(crate) failed_probes: BTreeMap<ServerName, u32>,
    pub(crate) log: VecDeque<Change>,
    pub(crate) last_change: u64,
}

impl Membership {
    /// Creates the membership of the instance `own`, which knows nobody else yet.
    pub fn new(own: ListEntry, cfg: MembershipConfig, now: Instant) -> Self {
        let name =
            InstanceName::try_from(&*own.name).expect("the entry comes from checked settings");
        let mut membership = Self {
            name: name.clone(),
            zone: own.zone.clone(),
            rng: StdRng::seed_from_u64(cfg.seed),
            members: BTreeMap::new(),
            ring: Ring::default(),
            digests: ShardDigests::new(),
            is_stale: true,
            rumors: Rumors::default(),
            zones: Zones::default(),
            own_zone: None,
            heard: BTreeMap::new(),
            differing: BTreeMap::new(),
            compare_at: now,
            ask: None,
            mistaken: BTreeSet::new(),
            asks: BTreeMap::new(),
            greet: BTreeMap::new(),
            is_joined: false,
            join_until: now + JOIN_LIMIT,
            links: Vec::new(),
            allowance: Allowance::new(cfg.bytes_per_second, cfg.burst_bytes, now),
            watch: None,
            suspected: None,
            ticked_at: now,
            heartbeat_at: now,
            rumor_at: now,
            links_at: now,
            zones_at: now,
            turn: 0,
            failed_probes: BTreeMap::new(),
            log: VecDeque::new(),
            last_change: 0,
            cfg,
        };
        let standing = Standing::new(own.incarnation, own.state == ListState::Leaving);
        let entry = MemberEntry { zone: own.zone, address: own.address, kind: own.kind };
        membership.update(now, &MemberId::Instance(name), &standing, Some(&entry));
        membership
    }

    /// Takes in a reading of the platform's list, which lags.
    ///
    /// An entry that is missing from the list ends nothing by itself; it only confirms a suspicion.
    pub fn merge_platform_list(
        &mut self,
        now: Instant,
        entries: &[ListEntry],
        scope: &ListScope,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        let is_first = self.members.len() == 1;
        for raw in entries {
            let Some(id) = id_of(raw) else { continue };
            if raw.zone != self.zone {
                self.suggest_contact(raw, &id);
                continue;
            }
            let entry = MemberEntry {
                zone: raw.zone.clone(),
                address: raw.address,
                kind: raw.kind.clone(),
            };
            let standing = Standing::new(raw.incarnation, raw.state == ListState::Leaving);
            changes.extend(self.update(now, &id, &standing, Some(&entry)));
            listed.insert(id);
        }
        if is_first {
            self.keep_quiet();
        }
        self.refute_own(now, &mut changes);
        if scope.covers(&self.zone) {
            self.confirm_missing(now, &listed, &mut changes);
        }
        changes
    }

    /// Takes in a message of another instance.
    pub fn receive(&mut self, now: Instant, gossip: &Gossip) -> Vec<Change> {
        let mut changes = Vec::new();
        if gossip.sender == self.name {
            return changes;
        }
        self.take_zones(now, gossip);
        if gossip.zone != self.zone {
            return changes;
        }
        self.heard.insert(gossip.sender.clone(), now);
        for delta in &gossip.members {
            changes.extend(self.take_delta(now, delta, &gossip.sender));
        }
        if !self.is_joined {
            self.keep_quiet();
            // An answer beside the sender's own entry that tells nothing new completes the list.
            self.is_joined = gossip.members.len() > 1 && changes.is_empty();
        }
        self.refute_own(now, &mut changes);
        self.notice_return(gossip);
        self.compare(now, gossip);
        changes
    }

    /// Takes in the result of probing a backend server, or of a call that shows the same.
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

    /// Announces that this instance is about to end.
    pub fn leave(&mut self, now: Instant) -> Vec<Change> {
        let id = MemberId::Instance(self.name.clone());
        let standing = Standing { is_leaving: true, ..self.standing(&id) };
        self.update(now, &id, &standing, None).into_iter().collect()
    }

    /// Drains a member on an operator's command.
    pub fn mark_leaving(
        &mut self,
        now: Instant,
        id: &MemberId,
    ) -> Result<Vec<Change>, UnknownMember> {
        if !self.members.contains_key(id) {
            return Err(UnknownMember);
        }
        let mut standing = self.standing(id);
        standing.drain_epoch |= 1;
        Ok(self.update(now, id, &standing, None).into_iter().collect())
    }

    /// Takes back an operator's drain, unless the platform or the member itself ends it.
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

    /// Merges a standing into a member, and starts to tell others if it changed.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        id: &MemberId,
        standing: &Standing,
        entry: Option<&MemberEntry>,
    ) -> Option<Change> {
        let mut before = None;
        let mut is_full = true;
        if let Some(member) = self.members.get_mut(id) {
            let old = member.standing;
            let is_new_life = standing.incarnation > old.incarnation;
            if is_new_life && entry.is_none() || !member.standing.merge(standing) {
                return None;
            }
            if let (true, Some(entry)) = (is_new_life, entry) {
                member.entry = entry.clone();
            }
            member.changed_at = now;
            self.digests.toggle(id, &old);
            before = Some(old.state());
            is_full = is_new_life;
        } else {
            let entry = entry?.clone();
            self.members.insert(id.clone(), Member { entry, standing: *standing, changed_at: now });
        }
        let standing = self.standing(id);
        self.digests.toggle(id, &standing);
        self.is_stale |= id.as_instance().is_some();
        self.rumors.start(id, standing.state(), is_full);
        self.rumor_at = self.rumor_at.min(now);
        Some(self.record(id, before, &standing))
    }

    fn record(&mut self, id: &MemberId, before: Option<MemberState>, after: &Standing) -> Change {
        self.last_change += 1;
        let number = self.last_change;
        let change = Change { number, id: id.clone(), before, standing: *after };
        self.log.push_back(change.clone());
        if self.log.len() > CHANGE_LOG {
            self.log.pop_front();
        }
        change
    }

    fn take_delta(
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
            self.rumors.known_by(&delta.id, from);
        }
        change
    }

    /// Remembers to tell the sender if it is believed to be gone, so that it can refute that.
    fn notice_return(&mut self, gossip: &Gossip) {
        let Some(member) = self.members.get(&MemberId::Instance(gossip.sender.clone())) else {
            return;
        };
        let is_same_life = member.standing.incarnation >= gossip.incarnation;
        if member.standing.health != Health::Live && is_same_life {
            self.mistaken.insert(gossip.sender.clone());
        }
    }

    /// Contradicts others who believe that this instance is gone.
    fn refute_own(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let id = MemberId::Instance(self.name.clone());
        let mut standing = self.standing(&id);
        if standing.health == Health::Live {
            return;
        }
        standing.sequence += 1;
        standing.health = Health::Live;
        changes.extend(self.update(now, &id, &standing, None));
    }

    /// Passes on only what is urgent of what the others know already, while this instance joins.
    fn keep_quiet(&mut self) {
        let own = MemberId::Instance(self.name.clone());
        for (id, member) in &self.members {
            if *id != own && member.state() == MemberState::Live {
                self.rumors.drop(id);
            }
        }
    }

    fn confirm_missing(
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

    fn suggest_contact(&mut self, raw: &ListEntry, id: &MemberId) {
        let Some(instance) = id.as_instance() else { return };
        if raw.state == ListState::Live {
            let contact = ZoneContact { instance: instance.clone(), address: raw.address };
            self.zones.suggest(&raw.zone, contact);
        }
    }
}

/// When and how much a membership sends.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// The seed of random choices.
    pub seed: u64,
    /// How often the next instance on the ring, and one more, get a heartbeat.
    pub heartbeat: Duration,
    /// How often changes are passed on while there are any.
    pub rumor_interval: Duration,
    /// After how long without a heartbeat an instance is suspected.
    pub suspect_after: Duration,
    /// How long a suspected instance has for refuting it.
    pub dead_after: Duration,
    /// How long a suspected backend server has for answering a probe.
    pub server_dead_after: Duration,
    /// After how many failed probes in a row a backend server is suspected.
    pub probe_failures: u32,
    /// How long a dead member is remembered.
    pub forget_after: Duration,
    /// How many random instances of the zone get messages beside the next one on the ring.
    pub links: usize,
    /// How often one of the random instances is replaced by another.
    pub links_interval: Duration,
    /// How often a bridge talks to each other availability zone.
    pub zones_interval: Duration,
    /// How many bytes a second may be sent on average.
    pub bytes_per_second: f64,
    /// How many bytes may be sent at once.
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
            links: 3,
            links_interval: Duration::from_secs(30),
            zones_interval: Duration::from_secs(4),
            bytes_per_second: 1600.0,
            burst_bytes: 3000.0,
        }
    }
}

/// Which part of the platform's list was read.
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
    /// The number of the change on this instance, from 1 on.
    pub number: u64,
    /// The member.
    pub id: MemberId,
    /// The state before, unless the member is new.
    pub before: Option<MemberState>,
    /// What is known now.
    pub standing: Standing,
}

/// the member is not known here
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub struct UnknownMember;

impl std::error::Error for UnknownMember {}

/// Why a drain is not taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum UndrainError {
    /// the member is not known here
    Unknown,
    /// the platform or the member itself ends the member; only a new incarnation is live again
    Leaving,
}

impl std::error::Error for UndrainError {}

fn id_of(raw: &ListEntry) -> Option<MemberId> {
    match raw.kind {
        ListedKind::Instance { .. } => {
            InstanceName::try_from(&*raw.name).ok().map(MemberId::Instance)
        }
        ListedKind::Server { .. } => ServerName::try_from(&*raw.name).ok().map(MemberId::Server),
    }
}
