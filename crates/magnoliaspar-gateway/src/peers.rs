//! Messages between instances, sent as JSON datagrams.
//!
//! What does not fit into datagrams is fetched over TCP, see [`crate::copy`].
//!
//! All instances rank each other alike; the first of the ranking is the coordinator. Each instance
//! reports its liveness and its reservations to the coordinators: the first few of the ranking and
//! of its availability zone. They reply with the members that they know. The traffic that an
//! instance sends therefore does not grow with the number of instances, and the traffic that a
//! coordinator receives grows linearly with it.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_limit::LimitReport;
use magnoliaspar_retry::{CrashId, PartId, Refusal};
use rand::RngCore;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::access::{apply_proof, ask};
use crate::coordinator::{AdmissionRequest, Decision, apply_update, decide, serve_queue};
use crate::departures::DeparturesMark;
use crate::directory::ServerRecord;
use crate::feed::FeedPosition;
use crate::following::{Changes, receive_routing, receive_servers};
use crate::gateway::{Gateway, display_parts};
use crate::permits::{
    LimitEntry, PermitDecision, PermitId, PermitRequest, all_limits, decide_permit, limits_digest,
    merge_limits, record_issued,
};
use crate::plain_load::{self, ServiceReport, ServiceShares};
use crate::presence::RecentMaximum;
use crate::quarantine::{CallCrash, RunQuestion, decide_run};
use crate::replies::RequestNumber;
use crate::reservations::{InstanceId, Progress, Reservation, ReservationId};
use crate::retry_lending::{lend_retry, record_lent};
use crate::revisions::{FeedRevisions, revisions};
use crate::route::{Routing, ServiceName};
use crate::settings::GatewaySettings;
use crate::shared_limits::{self, Charge};

/// Interval at which an instance reports all its reservations.
const REFRESH_INTERVAL: Duration = Duration::from_millis(800);

/// Number of refresh rounds per report to the seeds, which may have restarted or been cut off.
const REFRESHES_PER_SEED_CONTACT: u32 = 4;

/// Time without a message after which an instance counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time for which a coordinator that did not answer is ranked after all other instances.
const SUSPECT_DURATION: Duration = Duration::from_millis(1_500);

/// Minimum uptime before an instance can become coordinator, so that all instances have reported
/// their reservations to it.
const WARM_UP_TIME: Duration = Duration::from_millis(2_000);

/// Number of instances at the top of the ranking that receive reports from all instances, so that
/// two successors are ready if the coordinator fails.
const COORDINATORS: usize = 3;

/// Number of instances at the top of the ranking of an availability zone that receive reports from
/// the zone, so that a successor in it is ready if the zone is cut off.
const ZONE_COORDINATORS: usize = 2;

/// Time without a message after which an instance does not count towards the share of a server's limit;
/// one or two reports may be lost.
const PRESENCE_WINDOW: Duration = Duration::from_millis(2_000);

/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Maximum number of suspected parts of a service in a message.
const MAX_SUSPECTED_PARTS: usize = 64;

/// Maximum number of refused prompts in a message.
const MAX_REFUSED_REQUESTS: usize = 64;

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The sending instance.
    pub from: InstanceId,
    /// The content.
    #[serde(rename = "news")]
    pub payload: Payload,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// The sender is alive, and these are all its reservations.
    State {
        /// The sender as a member.
        member: Member,
        /// Its reservations.
        #[serde(rename = "bookings")]
        reservations: Vec<(ReservationId, ReservationEntry)>,
        /// The feed revisions that the sender has reached; former versions of the gateway do not
        /// send them.
        #[serde(default, rename = "marks")]
        revisions: FeedRevisions,
        /// The prompts that the sender refuses since they crash engines.
        #[serde(default)]
        refused: Vec<RefusedRequests>,
        /// Fingerprint of the limits of servers that the sender knows.
        #[serde(default)]
        limits_digest: u64,
        /// What the sender has let pass of the limits of workspaces.
        #[serde(default, skip_serializing_if = "LimitReport::is_empty")]
        limits: LimitReport,
        /// The load of plain services with a sign of load.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        loads: Vec<ServiceReport>,
    },
    /// The members that the sender knows, including itself.
    Members {
        /// The members.
        members: Vec<Member>,
        /// Number of instances that the sender knows, including itself.
        live: usize,
        /// The feed revisions that the sender has reached.
        #[serde(rename = "marks")]
        revisions: FeedRevisions,
        /// The prompts that the sender refuses since they crash engines.
        #[serde(default)]
        refused: Vec<RefusedRequests>,
        /// Fingerprint of the limits of servers that the sender knows.
        #[serde(default)]
        limits_digest: u64,
        /// The parts that the sender suspects of crashing servers.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        suspected: Vec<SuspectedParts>,
        /// Limits of workspaces that are used up.
        #[serde(default, skip_serializing_if = "LimitReport::is_empty")]
        limits: LimitReport,
        /// How calls to loaded plain services are to be shared out.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        shares: Vec<ServiceShares>,
    },
    /// Changes of the list of servers, from an instance of the same zone that follows the store.
    ServerChanges(Changes<ServerRecord>),
    /// Changes of the configuration, from an instance of the same zone that follows the store.
    RoutingChanges(Changes<Routing>),
    /// The sender requests admission of a completion.
    #[serde(rename = "Ask")]
    RequestAdmission(ReservationId, Box<AdmissionRequest>),
    /// The sender has decided on an admission request of the receiver.
    #[serde(rename = "Verdict")]
    Decision(ReservationId, Decision),
    /// Another coordinator has granted engines to the sender.
    #[serde(rename = "Booked")]
    Reserved(ReservationId, ReservationEntry),
    /// The prefill of a completion has finished.
    #[serde(rename = "PromptRead")]
    PrefillFinished(ReservationId),
    /// A completion of a service whose prompt has these parts has sent its first event.
    Started(ReservationId, ServiceName, Box<[PartId]>),
    /// An engine of a service crashed before a completion whose prompt has these parts had started on
    /// it.
    Crashed(CrashId, ServiceName, Box<[PartId]>),
    /// A completion has ended or is no longer queued.
    #[serde(rename = "Freed")]
    Released(ReservationId),
    /// The sender could not use an engine: a connection to it failed to open, or a call broke.
    EngineUnusable(Box<str>),
    /// An engine refused a completion that the sender was granted it for.
    EngineRejected(Box<str>),
    /// A server of a service has responded to a plain call with these parts.
    Answered(ServiceName, Box<[PartId]>),
    /// A server has crashed before it had responded to a plain call.
    CallCrashed(CallCrash),
    /// The sender asks whether a request may run that may crash a server.
    RequestRun(RequestNumber, RunQuestion),
    /// The sender has decided whether a request of the receiver may run.
    RunDecision(RequestNumber, bool),
    /// Requests that the sender refuses since they crash servers.
    Refusals(Vec<RefusedRequests>),
    /// The process of an engine that started at this time, in milliseconds since the Unix epoch, says in its
    /// responses that it leaves.
    EngineLeaving(Box<str>, u64),
    /// Limits of servers that have changed, or that the receiver may not know.
    Limits(Vec<LimitEntry>),
    /// The sender requests a permit for a limited server.
    RequestPermit(PermitId, PermitRequest),
    /// The sender has decided on a request of the receiver for a permit.
    Permit(PermitId, PermitDecision),
    /// The sender has issued a permit for each of these limited servers.
    PermitsIssued(Vec<LimitEntry>),
    /// The sender requests a retry of a service.
    BorrowRetry(RequestNumber, ServiceName),
    /// The sender has decided whether it lends a retry to the receiver.
    RetryLoan(RequestNumber, bool),
    /// The sender has lent a retry of a service.
    RetryLent(ServiceName),
    /// The sender has stopped.
    Leaving,
}

impl Payload {
    /// Returns the time since the store has answered the sender, in milliseconds, if the message says so.
    fn store_age_ms(&self) -> Option<u64> {
        match self {
            Self::State { revisions, .. } | Self::Members { revisions, .. } => {
                revisions.store_age_ms
            }
            _ => None,
        }
    }
}

/// Parts of requests of a service that are refused if a request has all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedRequests {
    service: ServiceName,
    parts: BTreeSet<PartId>,
    /// Time for which they are still refused, in milliseconds; zero once requests are tried one at a time.
    remaining_ms: u64,
    /// Time since the end of the refusal, in milliseconds.
    #[serde(default)]
    ended_ms: u64,
    /// Number of times that they were refused before; former versions of the gateway do not send it.
    #[serde(default)]
    version: u32,
    /// Time for which they would still be refused if the refusal had not been lifted, in milliseconds; former versions
    /// of the gateway then see a refusal without remaining time.
    #[serde(default)]
    lifted_ms: Option<u64>,
}

/// Parts of requests of a service that were hit by several crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectedParts {
    service: ServiceName,
    parts: Box<[PartId]>,
}

/// Description of an instance, sent by itself or by another one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address at which the instance receives messages from its peers.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Whether the instance is eligible as coordinator: warmed up, not stopping and not behind.
    #[serde(rename = "is_settled")]
    pub is_eligible: bool,
    /// Capacity in thousandths of a core; the instances with the most become coordinators.
    pub capacity: u32,
    /// Time since the last message from the instance, in milliseconds.
    pub age_ms: u64,
}

/// A reservation in a message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReservationEntry {
    decode: Box<str>,
    prefill: Option<Box<str>>,
    prompt_tokens: u64,
    /// Prompt tokens that the prefill engine is expected not to hold; `None` for all, and from former versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    prefill_tokens: Option<u64>,
    expected_tokens: u64,
    #[serde(rename = "most_tokens")]
    max_tokens: u64,
    /// Time until the first token is expected, in milliseconds; 0 if the expected time has passed.
    starts_in_ms: u64,
    progress: Option<ProgressEntry>,
    /// What the completion was charged, in the first message about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) charge: Option<Charge>,
}

/// Progress of a completion in a message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct ProgressEntry {
    age_ms: u64,
    tokens: u64,
    /// Decode speed, in tokens per millisecond.
    speed: f64,
    /// Whether the speed is that of the stream's own events; false if the sender does not say so.
    #[serde(default)]
    is_own_speed: bool,
}

impl ReservationEntry {
    /// Encodes a reservation, relative to `now`.
    pub fn new(reservation: &Reservation, now: Instant) -> Self {
        let millis_since = |at| now.saturating_duration_since(at).as_millis() as u64;
        let progress = reservation.progress.map(|progress| ProgressEntry {
            age_ms: millis_since(progress.at),
            tokens: progress.tokens,
            speed: progress.tokens_per_ms,
            is_own_speed: progress.is_own_speed,
        });
        let starts_in = reservation.starts_at.saturating_duration_since(now);
        Self {
            decode: reservation.decode.clone(),
            prefill: reservation.prefill.clone(),
            prompt_tokens: reservation.prompt_tokens,
            prefill_tokens: Some(reservation.prefill_tokens)
                .filter(|tokens| *tokens != reservation.prompt_tokens),
            expected_tokens: reservation.expected_tokens,
            max_tokens: reservation.max_tokens,
            starts_in_ms: starts_in.as_millis() as u64,
            progress,
            charge: None,
        }
    }

    /// Decodes the reservation, relative to `now`.
    pub fn into_reservation(self, now: Instant) -> Reservation {
        let progress = self.progress.map(|progress| {
            let age = Duration::from_millis(progress.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            Progress {
                at,
                tokens: progress.tokens,
                tokens_per_ms: progress.speed,
                is_own_speed: progress.is_own_speed,
            }
        });
        Reservation {
            decode: self.decode,
            prefill: self.prefill,
            prompt_tokens: self.prompt_tokens,
            prefill_tokens: self.prefill_tokens.unwrap_or(self.prompt_tokens),
            expected_tokens: self.expected_tokens,
            max_tokens: self.max_tokens,
            starts_at: now + Duration::from_millis(self.starts_in_ms),
            reserved_at: now,
            granted_at: None,
            progress,
        }
    }
}

/// Another instance as an entry of the ranking of coordinators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coordinator {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address at which the instance receives messages from its peers.
    pub address: SocketAddr,
}

/// A peer that is ahead in a feed.
#[derive(Debug, Clone)]
pub struct Source {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address at which the instance serves its copies.
    pub address: SocketAddr,
    /// The feed revisions that the instance has reported.
    pub reported: FeedRevisions,
}

/// Counts of messages to other instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentMessages {
    /// Number of messages.
    pub messages: u64,
    /// Their length in bytes, without the headers of UDP and IP.
    pub bytes: u64,
}

/// The socket for messages to and from the other instances, and the members known from them.
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
    /// Number of live instances that coordinators have reported, and the time of the report.
    reported_live: Cell<(usize, Instant)>,
    known: Cell<RecentMaximum>,
    sent: Cell<SentMessages>,
    /// Position in the feed of the list of servers.
    servers_position: Rc<FeedPosition>,
    /// Notified when a peer has reported its revisions.
    reported: Notify,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    zone: Box<str>,
    is_eligible: bool,
    capacity: u32,
    last_seen: Instant,
    suspected_until: Option<Instant>,
    /// The feed revisions that the instance has reported itself.
    revisions: FeedRevisions,
}

impl Peers {
    /// Binds the socket to `address`, whose port is free for TCP.
    pub async fn bind(
        settings: &GatewaySettings,
        address: SocketAddr,
        servers_position: Rc<FeedPosition>,
        now: Instant,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
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
            known: Cell::new(RecentMaximum::new(now)),
            sent: Cell::default(),
            servers_position,
            reported: Notify::new(),
        })
    }

    /// Returns the address at which this instance receives messages from its peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the seeds after the settings were reloaded.
    pub fn set_seeds(&self, seeds: Box<[SocketAddr]>) {
        self.seeds.replace(seeds);
    }

    /// Returns whether the settings name another instance as seed.
    pub fn has_seeds(&self) -> bool {
        self.seeds.borrow().iter().any(|seed| *seed != self.address)
    }

    /// Returns the known number of live instances, including this one.
    pub fn live(&self, now: Instant) -> usize {
        let (reported, at) = self.reported_live.get();
        let is_recent = now.saturating_duration_since(at) < PEER_TIMEOUT;
        let peers = self.peers.borrow().len() + 1;
        if is_recent { peers.max(reported) } else { peers }
    }

    /// Returns the number of instances that have been in touch within `PRESENCE_WINDOW`, including this
    /// one.
    pub fn present(&self, now: Instant) -> usize {
        let peers = self.peers.borrow();
        let is_present =
            |peer: &&Peer| now.saturating_duration_since(peer.last_seen) < PRESENCE_WINDOW;
        peers.values().filter(is_present).count() + 1
    }

    /// Returns the largest recent number of live instances, including this one.
    pub fn known(&self, now: Instant) -> usize {
        self.known.get().value(now).max(self.peers.borrow().len() + 1)
    }

    /// Records the number of live instances, including this one.
    pub fn record_known(&self, live: usize, now: Instant) {
        let mut known = self.known.get();
        known.record(live, now);
        self.known.set(known);
    }

    /// Sends a message to all known instances.
    pub fn send_to_all(&self, payload: &Payload) {
        let message = Message { from: self.instance.clone(), payload: payload.clone() };
        let Some(bytes) = encode(&message) else { return };
        for peer in self.peers.borrow().values() {
            self.send(peer.address, &bytes);
        }
    }

    /// Records the number of live instances that a coordinator reports.
    fn record_live_count(&self, live: usize, now: Instant) {
        let (reported, at) = self.reported_live.get();
        let is_old = now.saturating_duration_since(at) >= PEER_TIMEOUT;
        if is_old || live >= reported {
            self.reported_live.set((live, now));
        }
    }

    /// Notifies all known instances that this one is no longer eligible as coordinator, or with
    /// `is_gone` that it has stopped.
    pub fn announce_end(&self, is_gone: bool, now: Instant) {
        self.is_shutting_down.set(true);
        let payload = match is_gone {
            true => Payload::Leaving,
            false => {
                let members = vec![self.member(now)];
                let revisions = FeedRevisions::default();
                let refused = Vec::new();
                Payload::Members {
                    members,
                    live: 1,
                    revisions,
                    refused,
                    limits_digest: 0,
                    suspected: Vec::new(),
                    limits: LimitReport::default(),
                    shares: Vec::new(),
                }
            }
        };
        let message = Message { from: self.instance.clone(), payload };
        let Some(bytes) = encode(&message) else { return };
        for peer in self.peers.borrow().values() {
            self.send(peer.address, &bytes);
        }
    }

    /// Sends a message to an address.
    pub fn send_payload(&self, to: SocketAddr, payload: Payload) {
        let message = Message { from: self.instance.clone(), payload };
        if let Some(bytes) = encode(&message) {
            self.send(to, &bytes);
        }
    }

    /// Sends a message to an instance by name, if it is known.
    pub fn send_to_instance(&self, instance: &str, payload: Payload) {
        let address = self.peers.borrow().get(instance).map(|peer| peer.address);
        if let Some(address) = address {
            self.send_payload(address, payload);
        }
    }

    /// Sends a message to all coordinators except `except`.
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

    /// Ranks a coordinator after all other instances for `SUSPECT_DURATION`.
    pub fn suspect(&self, instance: &str, now: Instant) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(instance) {
            peer.suspected_until = Some(now + SUSPECT_DURATION);
        }
    }

    /// Returns the coordinator; `None` if it is this instance.
    pub fn coordinator(&self, now: Instant) -> Option<Coordinator> {
        self.ranked(now).into_iter().next()?.1
    }

    /// Returns whether this instance is among the first `COORDINATORS` of the ranking.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.ranked(now).iter().take(COORDINATORS).any(|(_, coordinator)| coordinator.is_none())
    }

    /// Returns whether this instance follows the store for others: it is among the first of the ranking or of its
    /// availability zone.
    pub fn is_follower(&self, now: Instant) -> bool {
        self.is_coordinator(now) || self.is_zone_coordinator(now)
    }

    /// Returns whether this instance is among the first `ZONE_COORDINATORS` of its availability zone.
    fn is_zone_coordinator(&self, now: Instant) -> bool {
        let ranked = self.ranked(now);
        let of_zone = ranked.iter().filter(|(zone, _)| *zone == self.zone);
        of_zone.take(ZONE_COORDINATORS).any(|(_, coordinator)| coordinator.is_none())
    }

    /// Sends a message to all known instances of this availability zone, if this one is among its first.
    pub fn send_to_zone(&self, now: Instant, payload: impl Fn() -> Payload) {
        if !self.is_zone_coordinator(now) {
            return;
        }
        let message = Message { from: self.instance.clone(), payload: payload() };
        let Some(bytes) = encode(&message) else { return };
        for peer in self.peers.borrow().values() {
            if peer.zone == self.zone {
                self.send(peer.address, &bytes);
            }
        }
    }

    /// Returns the coordinators that receive reports, without this instance.
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

    /// Returns all instances with their zones, ranked by their priority as coordinator. `None`
    /// is this instance.
    fn ranked(&self, now: Instant) -> Vec<(Box<str>, Option<Coordinator>)> {
        let peers = self.peers.borrow();
        let mut ranked = Vec::new();
        for (instance, peer) in peers.iter() {
            let is_suspected = peer.suspected_until.is_some_and(|until| now < until);
            let coordinator = Coordinator { instance: instance.clone(), address: peer.address };
            let hash = xxh3_64(instance.as_bytes());
            let order = (is_suspected, !peer.is_eligible, Reverse(peer.capacity), hash);
            ranked.push((order, (peer.zone.clone(), Some(coordinator))));
        }
        let hash = xxh3_64(self.instance.as_bytes());
        let order = (false, !self.is_eligible(now), Reverse(self.capacity), hash);
        ranked.push((order, (self.zone.clone(), None)));
        ranked.sort_by_key(|(order, _)| *order);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Sends the limits of servers to an instance that knows other ones.
    fn reconcile_limits(&self, gateway: &Gateway, to: SocketAddr, digest: u64) {
        if digest == limits_digest(gateway) {
            return;
        }
        let entries = all_limits(gateway);
        if !entries.is_empty() {
            self.send_payload(to, Payload::Limits(entries));
        }
    }

    fn is_eligible(&self, now: Instant) -> bool {
        let is_warmed_up = now.saturating_duration_since(self.started) >= WARM_UP_TIME;
        is_warmed_up && !self.is_shutting_down.get() && !self.is_behind(now)
    }

    /// Returns whether most instances have applied changes of the list of servers that this one
    /// lacks.
    ///
    /// While the store is unavailable, all instances have the same state, and the ranking stays as
    /// it is.
    fn is_behind(&self, now: Instant) -> bool {
        2 * self.servers_position.peers_ahead(now) > self.peers.borrow().len()
    }

    /// Returns the messages sent so far.
    pub fn sent(&self) -> SentMessages {
        self.sent.get()
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let sent = self.sent.get();
        let (messages, bytes_sent) = (sent.messages + 1, sent.bytes + bytes.len() as u64);
        self.sent.set(SentMessages { messages, bytes: bytes_sent });
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            // Lost messages are tolerated: the state is sent again at an interval.
            log::debug!(peer:% = to, reason:% = error; "peer_not_told");
        }
    }

    fn member(&self, now: Instant) -> Member {
        Member {
            instance: self.instance.clone(),
            address: self.address,
            zone: self.zone.clone(),
            is_eligible: self.is_eligible(now),
            capacity: self.capacity,
            age_ms: 0,
        }
    }

    /// Returns the state of this instance as an encoded message.
    fn encode_state(&self, gateway: &Gateway) -> Option<Vec<u8>> {
        let now = gateway.clock.now();
        let mut reservations = Vec::new();
        for (id, reservation) in gateway.reservations.borrow().of_instance(&self.instance) {
            reservations.push((id, ReservationEntry::new(reservation, now)));
        }
        let payload = Payload::State {
            member: self.member(now),
            reservations,
            revisions: FeedRevisions { question: ask(gateway), ..revisions(gateway) },
            refused: reported_refusals(gateway, now),
            limits_digest: limits_digest(gateway),
            limits: shared_limits::report_usage(gateway),
            loads: plain_load::report(gateway),
        };
        encode(&Message { from: self.instance.clone(), payload })
    }

    /// Sends the state to all known instances, which answer.
    pub(crate) fn send_state_to_all(&self, gateway: &Gateway) {
        let Some(bytes) = self.encode_state(gateway) else { return };
        for peer in self.peers.borrow().values() {
            self.send(peer.address, &bytes);
        }
    }

    /// Reports all reservations to the coordinators.
    pub(crate) fn send_state(&self, gateway: &Gateway, to_seeds: bool) {
        let now = gateway.clock.now();
        let Some(bytes) = self.encode_state(gateway) else { return };
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

    /// Returns the members that an instance in `zone` needs to know: the first coordinators and
    /// some spare ones.
    ///
    /// Sending all members would saturate the link of a coordinator that many instances contact.
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
                is_eligible: peer.is_eligible,
                capacity: peer.capacity,
                age_ms: now.saturating_duration_since(peer.last_seen).as_millis() as u64,
            }));
        }
        members
    }

    /// Records that an instance is alive, as reported by itself or by another one.
    fn observe_member(&self, member: Member, now: Instant) {
        let age = Duration::from_millis(member.age_ms);
        if member.instance == self.instance || age >= PEER_TIMEOUT {
            return;
        }
        let last_seen = now.checked_sub(age).unwrap_or(now);
        let mut peers = self.peers.borrow_mut();
        let Member { instance, address, zone, is_eligible, capacity, .. } = member;
        match peers.get_mut(&instance) {
            Some(peer) if last_seen >= peer.last_seen => {
                *peer = Peer { address, zone, is_eligible, capacity, last_seen, ..peer.clone() };
            }
            Some(_) => {}
            None => {
                log::info!(peer = &*instance, address:%, zone = &*zone; "peer_joined");
                let peer = Peer {
                    address,
                    zone,
                    is_eligible,
                    capacity,
                    last_seen,
                    suspected_until: None,
                    revisions: FeedRevisions::default(),
                };
                peers.insert(instance, peer);
            }
        }
    }

    /// Records the feed revisions that an instance has reported itself.
    fn observe_revisions(&self, instance: &str, revisions: FeedRevisions) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(instance) else { return };
        let previous = std::mem::replace(&mut peer.revisions, revisions);
        if previous.without_ages() != revisions.without_ages() {
            self.reported.notify_waiters();
        }
    }

    /// Returns the newest configuration version of a live peer, and the name of that peer.
    pub fn newest_version(&self) -> Option<(u64, InstanceId)> {
        let peers = self.peers.borrow();
        let newest = peers.iter().max_by_key(|(_, peer)| peer.revisions.version);
        newest.map(|(instance, peer)| (peer.revisions.version, instance.clone()))
    }

    /// Returns a peer among those with the highest mark, if that is above `own`; `mark` reads the
    /// mark out of the revisions that a peer has reported.
    pub fn source_ahead<M: Ord>(
        &self,
        own: &M,
        mark: fn(&FeedRevisions) -> M,
        rng: &mut dyn RngCore,
    ) -> Option<Source> {
        let peers = self.peers.borrow();
        let highest = peers.values().map(|peer| mark(&peer.revisions)).max()?;
        if highest <= *own {
            return None;
        }
        let ahead = peers.iter().filter(|(_, peer)| mark(&peer.revisions) == highest);
        let (instance, peer) = ahead.choose(rng)?;
        let (instance, address) = (instance.clone(), peer.address);
        Some(Source { instance, address, reported: peer.revisions })
    }

    /// Returns a peer that has read the list of a restored store and so may know which servers had departed before.
    /// `is_known` tells whether this instance has what a peer reports.
    pub fn source_of_departures(
        &self,
        is_known: impl Fn(&str, &DeparturesMark) -> bool,
        rng: &mut dyn RngCore,
    ) -> Option<Source> {
        let peers = self.peers.borrow();
        let is_new = |(instance, peer): &(&InstanceId, &Peer)| {
            let mark = peer.revisions.departures_mark();
            mark.is_some_and(|mark| mark.departures > 0 && !is_known(instance, &mark))
        };
        let (instance, peer) = peers.iter().filter(is_new).choose(rng)?;
        let (instance, address) = (instance.clone(), peer.address);
        Some(Source { instance, address, reported: peer.revisions })
    }

    /// Forgets the revisions that an instance has reported, until it reports them again.
    pub fn forget_revisions(&self, instance: &str) {
        self.observe_revisions(instance, FeedRevisions::default());
    }

    /// Waits until a peer reports other revisions than before.
    pub async fn wait_for_report(&self) {
        self.reported.notified().await;
    }

    /// Removes and returns the instances from which no message has arrived for `PEER_TIMEOUT`.
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
        shared_limits::hear(gateway, &sender);
        if let Some(age_ms) = message.payload.store_age_ms() {
            gateway.store_contact.observe_remote(Duration::from_millis(age_ms), now);
        }
        match message.payload {
            Payload::State {
                member,
                reservations,
                revisions: peer_revisions,
                refused,
                limits_digest: peer_digest,
                limits,
                loads,
            } => {
                plain_load::receive_report(gateway, &sender, loads);
                merge_refused(gateway, &sender, refused, now);
                shared_limits::receive_usage(gateway, &sender, &limits);
                let address = member.address;
                let zone = member.zone.clone();
                self.observe_member(member, now);
                let mut entries = Vec::new();
                for (id, entry) in reservations {
                    entries.push((id, entry.into_reservation(now)));
                }
                gateway.reservations.borrow_mut().replace(&sender, entries, now);
                self.observe_revisions(&sender, peer_revisions);
                gateway.routing_position.observe_remote(peer_revisions.routing_position());
                let servers_position = peer_revisions.servers_position();
                gateway.servers_position.observe_peer(&sender, servers_position, now);
                let members = self.members(&zone, now);
                let live = self.peers.borrow().len() + 1;
                self.send_payload(
                    address,
                    Payload::Members {
                        members,
                        live,
                        revisions: FeedRevisions {
                            question: peer_revisions.question,
                            ..revisions(gateway)
                        },
                        refused: reported_refusals(gateway, now),
                        limits_digest: limits_digest(gateway),
                        suspected: suspected_parts(gateway, now),
                        limits: shared_limits::report_exhausted(gateway),
                        shares: plain_load::answer(gateway),
                    },
                );
                self.reconcile_limits(gateway, address, peer_digest);
            }
            Payload::Members {
                members,
                live,
                revisions,
                refused,
                limits_digest: peer_digest,
                suspected,
                limits,
                shares,
            } => {
                plain_load::receive_answer(gateway, &sender, &shares);
                shared_limits::receive_exhausted(gateway, &sender, &limits);
                // An instance that announces its end sends no fingerprint.
                if live > 1 {
                    self.reconcile_limits(gateway, from, peer_digest);
                }
                merge_refused(gateway, &sender, refused, now);
                for SuspectedParts { service, parts } in suspected {
                    gateway.with_quarantine(&service, |quarantine| quarantine.watch(now, &parts));
                }
                self.record_live_count(live, now);
                gateway.update_max_instances();
                apply_proof(gateway, &revisions);
                gateway.routing_position.observe_remote(revisions.routing_position());
                gateway.servers_position.observe_remote(revisions.servers_position());
                for member in members {
                    self.observe_member(member, now);
                }
                self.observe_revisions(&sender, revisions);
                if let Some(peer) = self.peers.borrow_mut().get_mut(&sender) {
                    peer.suspected_until = None;
                }
            }
            Payload::RequestAdmission(id, request) => {
                let decision = decide(gateway, &sender, id, *request);
                self.send_payload(from, Payload::Decision(id, decision));
            }
            Payload::ServerChanges(changes) => receive_servers(gateway, changes),
            Payload::RoutingChanges(changes) => receive_routing(gateway, changes),
            Payload::Decision(id, decision) => gateway.receive_decision(id, decision),
            Payload::Reserved(id, entry) => {
                if let Some(charge) = &entry.charge {
                    shared_limits::charge(gateway, &sender, id, charge);
                }
                gateway.reservations.borrow_mut().reserve(&sender, id, entry.into_reservation(now));
            }
            Payload::Limits(entries) => merge_limits(gateway, &sender, entries),
            Payload::RequestPermit(id, request) => {
                let decision = decide_permit(gateway, &sender, id, request);
                self.send_payload(from, Payload::Permit(id, decision));
            }
            Payload::Permit(id, decision) => gateway.permits.receive(id, decision),
            Payload::PermitsIssued(entries) => record_issued(gateway, &sender, entries),
            Payload::BorrowRetry(id, service) => {
                let is_lent = lend_retry(gateway, &service);
                self.send_payload(from, Payload::RetryLoan(id, is_lent));
            }
            Payload::RetryLoan(id, is_lent) => gateway.retry_lending.decisions.receive(id, is_lent),
            Payload::RequestRun(number, question) => {
                let is_allowed = decide_run(gateway, &question);
                self.send_payload(from, Payload::RunDecision(number, is_allowed));
            }
            Payload::RunDecision(number, is_allowed) => {
                gateway.run_decisions.receive(number, is_allowed);
            }
            Payload::Refusals(refused) => merge_refused(gateway, &sender, refused, now),
            Payload::RetryLent(service) => record_lent(gateway, &service),
            Payload::Leaving => {
                let mut known = self.known.get();
                known.forget_one();
                self.known.set(known);
                let (live, at) = self.reported_live.get();
                self.reported_live.set((live.saturating_sub(1), at));
                log::info!(peer = &*sender; "peer_leaving");
                self.peers.borrow_mut().remove(&sender);
                gateway.servers_position.forget_peer(&sender);
            }
            payload @ (Payload::PrefillFinished(_)
            | Payload::Started(..)
            | Payload::Crashed(..)
            | Payload::Answered(..)
            | Payload::CallCrashed(_)
            | Payload::Released(_)
            | Payload::EngineUnusable(_)
            | Payload::EngineRejected(_)
            | Payload::EngineLeaving(..)) => apply_update(gateway, &sender, &payload),
        }
    }
}

/// Returns what this instance reports of refused requests.
pub(crate) fn reported_refusals(gateway: &Gateway, now: Instant) -> Vec<RefusedRequests> {
    let mut refused = Vec::new();
    for (service, quarantine) in &*gateway.quarantines.borrow() {
        for Refusal { parts, remaining, ended, version, is_lifted } in quarantine.refusals(now) {
            let remaining_ms = remaining.as_millis() as u64;
            refused.push(RefusedRequests {
                service: service.clone(),
                parts,
                remaining_ms: if is_lifted { 0 } else { remaining_ms },
                ended_ms: ended.as_millis() as u64,
                version,
                lifted_ms: is_lifted.then_some(remaining_ms),
            });
        }
    }
    refused.sort_by_key(|refused| (refused.lifted_ms.is_some(), Reverse(refused.remaining_ms)));
    refused.truncate(MAX_REFUSED_REQUESTS);
    refused
}

/// Returns the parts that this instance suspects of crashing servers.
fn suspected_parts(gateway: &Gateway, now: Instant) -> Vec<SuspectedParts> {
    let mut suspected = Vec::new();
    for (service, quarantine) in &*gateway.quarantines.borrow() {
        let mut parts = quarantine.suspected(now);
        parts.truncate(MAX_SUSPECTED_PARTS);
        if !parts.is_empty() {
            suspected.push(SuspectedParts { service: service.clone(), parts: parts.into() });
        }
    }
    suspected
}

fn merge_refused(gateway: &Gateway, from: &str, refused: Vec<RefusedRequests>, now: Instant) {
    for RefusedRequests { service, parts, remaining_ms, ended_ms, version, lifted_ms } in refused {
        let names = display_parts(&parts);
        let is_lifted = lifted_ms.is_some();
        let remaining = Duration::from_millis(lifted_ms.unwrap_or(remaining_ms));
        let ended = Duration::from_millis(ended_ms);
        let refusal = Refusal { parts, remaining, ended, version, is_lifted };
        let is_new =
            gateway.with_quarantine(&service, |quarantine| quarantine.merge_refusal(now, refusal));
        if !is_new {
            continue;
        }
        gateway.refusals_changed.notify_one();
        match is_lifted {
            true => log::info!(peer = from, service, parts = &*names; "refusal_lifted"),
            false => {
                log::info!(peer = from, service, parts = &*names, remaining_ms; "prompt_part_refused");
            }
        }
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match serde_json::to_vec(message) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => Some(bytes),
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

/// Returns whether this instance may be on the smaller side of a cut, or on one of two equal ones; it
/// contacts the seeds more often then, to notice the end of the cut.
fn is_minority(live: usize, known: usize) -> bool {
    live < known && 2 * live <= known
}

/// Receives messages from peers for as long as the process runs.
pub async fn listen(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match peers.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier send to a peer that is gone reports its error here.
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

/// Sends the state to the coordinators at an interval until the instance has stopped.
pub async fn heartbeat(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut interval = tokio::time::interval(REFRESH_INTERVAL);
    let mut round = 0_u32;
    loop {
        interval.tick().await;
        if gateway.is_stopped.get() {
            return;
        }
        let now = gateway.clock.now();
        let is_due = round.is_multiple_of(REFRESHES_PER_SEED_CONTACT);
        peers.send_state(&gateway, is_due || is_minority(peers.live(now), peers.known(now)));
        round = round.wrapping_add(1);
        for instance in peers.expire(now) {
            log::info!(peer = &*instance; "peer_lost");
            gateway.queue.remove_instance(&instance);
            shared_limits::forget(&gateway, &instance);
            gateway.plain_loads.forget(&instance);
            gateway.servers_position.forget_peer(&instance);
        }
        gateway.check_version();
        shared_limits::observe(&gateway);
        plain_load::observe(&gateway);
        gateway.reservations.borrow_mut().expire(now);
        serve_queue(&gateway);
    }
}
