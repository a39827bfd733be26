//! Simulates the memberships of many instances in virtual time.

#![allow(dead_code, reason = "each test file uses a different part of the simulation")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use magnoliaspar_core::{Incarnation, InstanceName, ServerName, ZoneName};
use magnoliaspar_membership::{
    Gossip, ListScope, MemberId, MemberState, Membership, MembershipConfig,
};
use magnoliaspar_store::{ListEntry, ListState, ListedKind, ServerRole};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(20);

/// Simulated instances and the messages in flight between them.
pub struct Cluster {
    pub instances: BTreeMap<InstanceName, SimulatedInstance>,
    pub now: Instant,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Pairs of zones that cannot exchange messages.
    pub cut: BTreeSet<(ZoneName, ZoneName)>,
    /// Instances that neither receive nor tick, as if paused.
    pub down: BTreeSet<InstanceName>,
    pub list: Vec<ListEntry>,
    rng: StdRng,
    in_flight: BTreeMap<(Instant, u64), (InstanceName, Gossip)>,
    sent_messages: u64,
}

pub struct SimulatedInstance {
    pub membership: Membership,
    pub zone: ZoneName,
    /// Bytes sent since the last reset.
    pub bytes: u64,
}

impl Cluster {
    /// Starts `instances` instances and `servers` servers in each of `zones`, all of which know
    /// the platform's list.
    pub fn new(zones: &[&str], instances: usize, servers: usize, seed: u64) -> Self {
        let mut list = Vec::new();
        for zone in zones {
            for i in 0..instances {
                list.push(instance(&format!("i-{zone}-{i:03}"), zone, 1));
            }
            for s in 0..servers {
                list.push(server(&format!("s-{zone}-{s:04}"), zone, 1));
            }
        }
        let now = Instant::now();
        let mut cluster = Self {
            instances: BTreeMap::new(),
            now,
            loss: 0.0,
            cut: BTreeSet::new(),
            down: BTreeSet::new(),
            list: list.clone(),
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sent_messages: 0,
        };
        for entry in list {
            if matches!(entry.kind, ListedKind::Instance { .. }) {
                cluster.start(entry, true);
            }
        }
        cluster
    }

    pub fn start(&mut self, entry: ListEntry, knows_list: bool) {
        let name = InstanceName::try_from(&*entry.name).unwrap();
        let zone = entry.zone.clone();
        let cfg = MembershipConfig { seed: self.rng.random(), ..Default::default() };
        let mut membership = Membership::new(entry, cfg, self.now);
        if knows_list {
            membership.merge_platform_list(self.now, &self.list, &ListScope::All);
        }
        self.instances.insert(name, SimulatedInstance { membership, zone, bytes: 0 });
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `is_done` returns true or `limit` has passed, and returns the elapsed time.
    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while self.now - start < limit && !is_done(self) {
            self.now += STEP;
            self.deliver();
            self.tick();
        }
        self.now - start
    }

    pub fn send(&mut self, to: InstanceName, gossip: Gossip) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        self.sent_messages += 1;
        let at = self.now + Duration::from_millis(self.rng.random_range(1..40));
        self.in_flight.insert((at, self.sent_messages), (to, gossip));
    }

    pub fn bytes(&self) -> Vec<u64> {
        self.instances.values().map(|instance| instance.bytes).collect()
    }

    pub fn clear_bytes(&mut self) {
        for instance in self.instances.values_mut() {
            instance.bytes = 0;
        }
    }

    /// Returns whether all running instances of a zone have this state for a member.
    pub fn all_have(&self, zone: &str, id: &MemberId, state: Option<MemberState>) -> bool {
        self.instances.iter().all(|(name, instance)| {
            self.down.contains(name)
                || instance.zone.as_str() != zone
                || instance.membership.state_of(id) == state
        })
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, gossip) = entry.remove();
            let Some(instance) = self.instances.get_mut(&to) else { continue };
            let pair = (gossip.zone.clone(), instance.zone.clone());
            if self.cut.contains(&pair) || self.down.contains(&to) {
                continue;
            }
            instance.membership.receive(self.now, &gossip);
        }
    }

    fn tick(&mut self) {
        let mut outgoing = Vec::new();
        for (name, instance) in &mut self.instances {
            if self.down.contains(name) || instance.membership.next_tick() > self.now {
                continue;
            }
            let (messages, _) = instance.membership.tick(self.now);
            for message in messages {
                instance.bytes += message.gossip.encoded_len() as u64;
                outgoing.push(message);
            }
        }
        for message in outgoing {
            self.send(message.to, message.gossip);
        }
    }
}

pub fn instance(name: &str, zone: &str, incarnation: u64) -> ListEntry {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    ListEntry {
        name: name.into(),
        kind: ListedKind::Instance { callers: address, operators: address },
        zone: ZoneName::try_from(zone).unwrap(),
        address,
        incarnation: Incarnation(incarnation),
        state: ListState::Live,
    }
}

pub fn server(name: &str, zone: &str, incarnation: u64) -> ListEntry {
    let kind = ListedKind::Server {
        pool: "decode".try_into().unwrap(),
        role: ServerRole::Decode,
        model: Some("assessor-llm".try_into().unwrap()),
        is_fencing: true,
    };
    ListEntry { kind, ..instance(name, zone, incarnation) }
}

pub fn server_id(name: &str) -> MemberId {
    MemberId::Server(ServerName::try_from(name).unwrap())
}

pub fn instance_id(name: &str) -> MemberId {
    MemberId::Instance(InstanceName::try_from(name).unwrap())
}
