//! What instances tell each other, as datagrams.
//!
//! Each instance tells the first few homes that it lives and what it has booked; they answer whom
//! they have heard of. What an instance sends thus does not grow with the number of instances, and
//! what a home receives grows evenly with it.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordinator::{AdmissionRequest, Decision, apply_update, decide, serve_queue};
use crate::feed::FeedPosition;
use crate::gateway::Gateway;
use crate::reservations::{InstanceId, Progress, Reservation, ReservationId};
use crate::settings::GatewaySettings;

/// How often an instance tells all its bookings.
const REFRESH_INTERVAL: Duration = Duration::from_millis(800);

/// How often an instance also tells its seeds, which may have been restarted or cut off.
const REFRESHES_PER_SEED_CONTACT: u32 = 4;

/// How long an instance counts as alive that has not been heard of.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// How long a home is passed over that did not answer.
const SUSPECT_DURATION: Duration = Duration::from_millis(1_500);

/// How long an instance has to run before it is a home: until all have told it their bookings.
const WARM_UP_TIME: Duration = Duration::from_millis(2_000);

/// How many instances of all, and how many of the own availability zone, are told as homes.
///
/// Two successors are ready when the home dies, and one of the own zone when the zone is cut off.
const COORDINATORS: usize = 3;
const ZONE_COORDINATORS: usize = 2;

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// What one instance tells another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The instance that sends.
    pub from: InstanceId,
    /// What it tells.
    #[serde(rename = "news")]
    pub payload: Payload,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// The sender lives, and these are all its bookings.
    State {
        /// What it says of itself.
        member: Member,
        /// Its bookings.
        #[serde(rename = "bookings")]
        reservations: Vec<(ReservationId, ReservationEntry)>,
        /// How far the sender has followed the store; former versions don't say.
        #[serde(default, rename = "marks")]
        revisions: FeedRevisions,
    },
    /// Instances that the sender has heard of, itself included.
    Members {
        /// The instances.
        members: Vec<Member>,
        /// How many instances the sender knows, itself included.
        live: usize,
        /// How far the sender has followed the store.
        #[serde(rename = "marks")]
        revisions: FeedRevisions,
    },
    /// The sender asks for engines.
    Ask(ReservationId, Box<AdmissionRequest>),
    /// The sender decided on a question of the receiver.
    #[serde(rename = "Verdict")]
    Decision(ReservationId, Decision),
    /// Another home has granted engines to the sender.
    Booked(ReservationId, ReservationEntry),
    /// The prompt of a completion was read.
    PromptRead(ReservationId),
    /// A completion has ended, or does not wait any more.
    Freed(ReservationId),
    /// The sender could not use an engine: a connection to it did not open, or a call broke.
    EngineUnusable(Box<str>),
    /// The sender stops.
    Leaving,
}

/// Revisions by which the last changes had been made that an instance has taken in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeedRevisions {
    /// Of the configuration.
    routing: u64,
    /// Of the list of servers.
    servers: u64,
}

/// One instance as others tell of it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether it has run long enough to be a home.
    pub is_settled: bool,
    /// How much it can do, in thousandths of a core; the strongest are homes.
    pub capacity: u32,
    /// How long ago it was heard of, in milliseconds.
    pub age_ms: u64,
}

/// A booking as it is told.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReservationEntry {
    decode: Box<str>,
    prefill: Option<Box<str>>,
    prompt_tokens: u64,
    expected_tokens: u64,
    most_tokens: u64,
    /// In how many milliseconds the first token is expected, if none has come.
    starts_in_ms: u64,
    progress: Option<ProgressEntry>,
}

/// How far a completion has come, as it is told.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct ProgressEntry {
    age_ms: u64,
    tokens: u64,
    /// Tokens a millisecond.
    speed: f64,
}

impl ReservationEntry {
    /// Describes a booking as of `now`.
    pub fn new(reservation: &Reservation, now: Instant) -> Self {
        let millis_since = |at| now.saturating_duration_since(at).as_millis() as u64;
        let progress = reservation.progress.map(|progress| ProgressEntry {
            age_ms: millis_since(progress.at),
            tokens: progress.tokens,
            speed: progress.tokens_per_ms,
        });
        let starts_in = reservation.starts_at.saturating_duration_since(now);
        Self {
            decode: reservation.decode.clone(),
            prefill: reservation.prefill.clone(),
            prompt_tokens: reservation.prompt_tokens,
            expected_tokens: reservation.expected_tokens,
            most_tokens: reservation.most_tokens,
            starts_in_ms: starts_in.as_millis() as u64,
            progress,
        }
    }

    /// Returns the booking, as of `now`.
    pub fn into_reservation(self, now: Instant) -> Reservation {
        let progress = self.progress.map(|progress| {
            let age = Duration::from_millis(progress.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            Progress { at, tokens: progress.tokens, tokens_per_ms: progress.speed }
        });
        Reservation {
            decode: self.decode,
            prefill: self.prefill,
            prompt_tokens: self.prompt_tokens,
            expected_tokens: self.expected_tokens,
            most_tokens: self.most_tokens,
            starts_at: now + Duration::from_millis(self.starts_in_ms),
            reserved_at: now,
            progress,
        }
    }
}

/// An instance that decides on completions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coordinator {
    /// Its name.
    pub instance: InstanceId,
    /// Where it hears its peers.
    pub address: SocketAddr,
}

/// The link to the other instances.
pub struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    instance: InstanceId,
    zone: Box<str>,
    capacity: u32,
    started: Instant,
    is_shutting_down: Cell<bool>,
    seeds: RefCell<Box<[SocketAddr]>>,
    peers: RefCell<BTreeMap<InstanceId, Peer>>,
    /// How many instances homes have told of, and when.
    reported_live: Cell<(usize, Instant)>,
    /// How far the list of servers was followed.
    servers_position: Rc<FeedPosition>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    zone: Box<str>,
    is_settled: bool,
    capacity: u32,
    last_seen: Instant,
    suspected_until: Option<Instant>,
}

impl Peers {
    /// Listens on the address that the settings name.
    pub async fn bind(
        settings: &GatewaySettings,
        servers_position: Rc<FeedPosition>,
        now: Instant,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.peers).await?;
        let address = socket.local_addr()?;
        let peers = RefCell::default();
        let seeds = RefCell::new(settings.seeds.clone());
        Ok(Self {
            socket,
            address,
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            capacity: settings.capacity,
            started: now,
            is_shutting_down: Cell::new(false),
            seeds,
            peers,
            reported_live: Cell::new((1, now)),
            servers_position,
        })
    }

    /// Returns the address on which the instance hears its peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes new seeds, from settings that were read again.
    pub fn set_seeds(&self, seeds: Box<[SocketAddr]>) {
        self.seeds.replace(seeds);
    }

    /// Whether the settings name another instance.
    pub fn has_seeds(&self) -> bool {
        self.seeds.borrow().iter().any(|seed| *seed != self.address)
    }

    /// Returns the number of instances that live, this one included, as far as is known.
    pub fn live(&self, now: Instant) -> usize {
        let (reported, at) = self.reported_live.get();
        let is_recent = now.saturating_duration_since(at) < PEER_TIMEOUT;
        let peers = self.peers.borrow().len() + 1;
        if is_recent { peers.max(reported) } else { peers }
    }

    /// Takes in how many instances a home knows.
    fn record_live_count(&self, live: usize, now: Instant) {
        let (reported, at) = self.reported_live.get();
        let is_old = now.saturating_duration_since(at) >= PEER_TIMEOUT;
        if is_old || live >= reported {
            self.reported_live.set((live, now));
        }
    }

    /// Tells all instances that this one is no home any more, or that it is gone.
    pub fn announce_end(&self, is_gone: bool, now: Instant) {
        self.is_shutting_down.set(true);
        let payload = match is_gone {
            true => Payload::Leaving,
            false => {
                let members = vec![self.member(now)];
                Payload::Members { members, live: 1, revisions: FeedRevisions::default() }
            }
        };
        let message = Message { from: self.instance.clone(), payload };
        let Some(bytes) = encode(&message) else { return };
        for peer in self.peers.borrow().values() {
            self.send(peer.address, &bytes);
        }
    }

    /// Tells one instance.
    pub fn send_payload(&self, to: SocketAddr, payload: Payload) {
        let message = Message { from: self.instance.clone(), payload };
        if let Some(bytes) = encode(&message) {
            self.send(to, &bytes);
        }
    }

    /// Tells an instance by its name, if it is known.
    pub fn send_to_instance(&self, instance: &str, payload: Payload) {
        let address = self.peers.borrow().get(instance).map(|peer| peer.address);
        if let Some(address) = address {
            self.send_payload(address, payload);
        }
    }

    /// Tells all homes but `except`.
    pub fn send_to_coordinators(
        &self,
        payload: &Payload,
        except: Option<&Coordinator>,
        now: Instant,
    ) {
        let message = Message { from: self.instance.clone(), payload: payload.clone() };
        let Some(bytes) = encode(&message) else { return };
        for coordinator in self.coordinators(now) {
            if except.is_none_or(|except| except.instance != coordinator.instance) {
                self.send(coordinator.address, &bytes);
            }
        }
    }

    /// Passes a home over for a while.
    pub fn suspect(&self, instance: &str, now: Instant) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(instance) {
            peer.suspected_until = Some(now + SUSPECT_DURATION);
        }
    }

    /// Returns the home; none if it is this instance.
    pub fn coordinator(&self, now: Instant) -> Option<Coordinator> {
        self.ranked(now).into_iter().next()?.1
    }

    /// Whether this instance is one of the homes of all instances.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.ranked(now).iter().take(COORDINATORS).any(|(_, coordinator)| coordinator.is_none())
    }

    /// Returns the homes that are told of bookings, without this instance.
    fn coordinators(&self, now: Instant) -> Vec<Coordinator> {
        let ranked = self.ranked(now);
        let mut coordinators = Vec::new();
        let mut of_zone = 0;
        for (index, (zone, coordinator)) in ranked.into_iter().enumerate() {
            let is_same_zone = zone == self.zone;
            of_zone += usize::from(is_same_zone);
            if index >= COORDINATORS && (!is_same_zone || of_zone > ZONE_COORDINATORS) {
                continue;
            }
            coordinators.extend(coordinator);
        }
        coordinators
    }

    /// Returns all instances in the order in which they are homes, each with its zone; this instance
    /// has no address.
    fn ranked(&self, now: Instant) -> Vec<(Box<str>, Option<Coordinator>)> {
        let peers = self.peers.borrow();
        let mut ranked = Vec::new();
        for (instance, peer) in peers.iter() {
            let is_suspected = peer.suspected_until.is_some_and(|until| now < until);
            let coordinator = Coordinator { instance: instance.clone(), address: peer.address };
            let hash = xxh3_64(instance.as_bytes());
            let order = (is_suspected, !peer.is_settled, Reverse(peer.capacity), hash);
            ranked.push((order, (peer.zone.clone(), Some(coordinator))));
        }
        let hash = xxh3_64(self.instance.as_bytes());
        let order = (false, !self.is_settled(now), Reverse(self.capacity), hash);
        ranked.push((order, (self.zone.clone(), None)));
        ranked.sort_by_key(|(order, _)| *order);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }

    fn is_settled(&self, now: Instant) -> bool {
        let is_old = now.saturating_duration_since(self.started) >= WARM_UP_TIME;
        is_old && !self.is_shutting_down.get() && !self.is_behind(now)
    }

    /// Whether most instances know of changes in the list of servers that have not come here.
    ///
    /// While the store answers nobody, all know the same, and the homes stay what they are.
    fn is_behind(&self, now: Instant) -> bool {
        2 * self.servers_position.peers_ahead(now) > self.peers.borrow().len()
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            // What matters is told again at an interval.
            log::debug!(peer:% = to, reason:% = error; "peer_not_told");
        }
    }

    fn member(&self, now: Instant) -> Member {
        Member {
            instance: self.instance.clone(),
            address: self.address,
            zone: self.zone.clone(),
            is_settled: self.is_settled(now),
            capacity: self.capacity,
            age_ms: 0,
        }
    }

    /// Tells the homes all bookings.
    fn send_state(&self, gateway: &Gateway, to_seeds: bool) {
        let now = gateway.clock.now();
        let mut reservations = Vec::new();
        for (id, reservation) in gateway.ledger.borrow().of_instance(&self.instance) {
            reservations.push((id, ReservationEntry::new(reservation, now)));
        }
        let payload = Payload::State {
            member: self.member(now),
            reservations,
            revisions: revisions(gateway),
        };
        let message = Message { from: self.instance.clone(), payload };
        let Some(bytes) = encode(&message) else { return };
        let mut addresses: Vec<SocketAddr> =
            self.coordinators(now).into_iter().map(|coordinator| coordinator.address).collect();
        if to_seeds || addresses.is_empty() {
            addresses.extend(self.seeds.borrow().iter());
        }
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            if address != self.address {
                self.send(address, &bytes);
            }
        }
    }

    /// Returns the instances that one of `zone` has to know: the first homes, with some to spare.
    ///
    /// Telling all of them would fill the link of a home that many instances ask.
    fn members(&self, zone: &str, now: Instant) -> Vec<Member> {
        let mut members = vec![self.member(now)];
        let peers = self.peers.borrow();
        let mut of_zone = 0;
        for (index, (_, coordinator)) in self.ranked(now).into_iter().enumerate() {
            let Some(peer) =
                coordinator.as_ref().and_then(|coordinator| peers.get(&coordinator.instance))
            else {
                continue;
            };
            let is_same_zone = &*peer.zone == zone;
            of_zone += usize::from(is_same_zone);
            if index >= 2 * COORDINATORS && (!is_same_zone || of_zone > 2 * ZONE_COORDINATORS) {
                continue;
            }
            members.extend(coordinator.map(|coordinator| Member {
                instance: coordinator.instance,
                address: peer.address,
                zone: peer.zone.clone(),
                is_settled: peer.is_settled,
                capacity: peer.capacity,
                age_ms: now.saturating_duration_since(peer.last_seen).as_millis() as u64,
            }));
        }
        members
    }

    /// Takes in that an instance lives, as itself or another one says.
    fn observe_member(&self, member: Member, now: Instant) {
        let age = Duration::from_millis(member.age_ms);
        if member.instance == self.instance || age >= PEER_TIMEOUT {
            return;
        }
        let last_seen = now.checked_sub(age).unwrap_or(now);
        let mut peers = self.peers.borrow_mut();
        let Member { instance, address, zone, is_settled, capacity, .. } = member;
        match peers.get_mut(&instance) {
            Some(peer) if last_seen >= peer.last_seen => {
                *peer = Peer { address, zone, is_settled, capacity, last_seen, ..peer.clone() };
            }
            Some(_) => {}
            None => {
                log::info!(peer = &*instance, address:%, zone = &*zone; "peer_joined");
                let suspected_until = None;
                let peer = Peer { address, zone, is_settled, capacity, last_seen, suspected_until };
                peers.insert(instance, peer);
            }
        }
    }

    /// Forgets instances that have not been heard of, and returns them.
    fn expire(&self, now: Instant) -> Vec<InstanceId> {
        let mut gone = Vec::new();
        self.peers.borrow_mut().retain(|instance, peer| {
            let is_live = now.saturating_duration_since(peer.last_seen) < PEER_TIMEOUT;
            if !is_live {
                gone.push(instance.clone());
            }
            is_live
        });
        gone
    }

    fn handle_message(&self, gateway: &Rc<Gateway>, from: SocketAddr, message: Message) {
        if message.from == self.instance {
            return;
        }
        let now = gateway.clock.now();
        let sender = message.from;
        match message.payload {
            Payload::State { member, reservations, revisions: peer_revisions } => {
                let address = member.address;
                let zone = member.zone.clone();
                self.observe_member(member, now);
                let mut entries = Vec::new();
                for (id, entry) in reservations {
                    entries.push((id, entry.into_reservation(now)));
                }
                gateway.ledger.borrow_mut().replace(&sender, entries, now);
                gateway.routing_position.observe_remote(peer_revisions.routing);
                gateway.servers_position.observe_peer(&sender, peer_revisions.servers, now);
                let members = self.members(&zone, now);
                let live = self.peers.borrow().len() + 1;
                self.send_payload(
                    address,
                    Payload::Members { members, live, revisions: revisions(gateway) },
                );
            }
            Payload::Members { members, live, revisions } => {
                self.record_live_count(live, now);
                gateway.update_max_instances();
                gateway.routing_position.observe_remote(revisions.routing);
                gateway.servers_position.observe_remote(revisions.servers);
                for member in members {
                    self.observe_member(member, now);
                }
                if let Some(peer) = self.peers.borrow_mut().get_mut(&sender) {
                    peer.suspected_until = None;
                }
            }
            Payload::Ask(id, request) => {
                let decision = decide(gateway, &sender, id, *request);
                self.send_payload(from, Payload::Decision(id, decision));
            }
            Payload::Decision(id, decision) => gateway.receive_decision(id, decision),
            Payload::Booked(id, entry) => {
                gateway.ledger.borrow_mut().reserve(&sender, id, entry.into_reservation(now));
            }
            Payload::Leaving => {
                log::info!(peer = &*sender; "peer_leaving");
                self.peers.borrow_mut().remove(&sender);
                gateway.servers_position.forget_peer(&sender);
            }
            payload @ (Payload::PromptRead(_) | Payload::Freed(_) | Payload::EngineUnusable(_)) => {
                apply_update(gateway, &sender, &payload)
            }
        }
    }
}

/// Returns how far the store was followed.
fn revisions(gateway: &Gateway) -> FeedRevisions {
    let routing = gateway.routing_position.last_change();
    FeedRevisions { routing, servers: gateway.servers_position.last_change() }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match serde_json::to_vec(message) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => Some(bytes),
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "peer_message_too_long");
            None
        }
        Err(error) => {
            log::warn!(reason:% = error; "peer_message_unwritable");
            None
        }
    }
}

/// Hears peers for as long as the process runs.
pub async fn listen(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match peers.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // A peer that is gone makes an earlier send fail here.
                log::debug!(reason:% = error; "peer_unreachable");
                continue;
            }
        };
        match serde_json::from_slice(&buf[..length]) {
            Ok(message) => peers.handle_message(&gateway, from, message),
            Err(error) => log::warn!(peer:% = from, reason:% = error; "peer_message_unreadable"),
        }
    }
}

/// Tells homes the state at an interval, for as long as the process runs.
pub async fn heartbeat(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut interval = tokio::time::interval(REFRESH_INTERVAL);
    let mut round = 0_u32;
    loop {
        interval.tick().await;
        if gateway.is_stopped.get() {
            return;
        }
        peers.send_state(&gateway, round.is_multiple_of(REFRESHES_PER_SEED_CONTACT));
        round = round.wrapping_add(1);
        let now = gateway.clock.now();
        for instance in peers.expire(now) {
            log::info!(peer = &*instance; "peer_lost");
            gateway.queue.remove_instance(&instance);
            gateway.servers_position.forget_peer(&instance);
        }
        gateway.ledger.borrow_mut().expire(now);
        serve_queue(&gateway);
    }
}
