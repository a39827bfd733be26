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

use crate::feed::FeedMark;
use crate::gateway::Gateway;
use crate::home::{Verdict, Want, decide, serve_queue, take_news};
use crate::ledger::{Booking, BookingId, InstanceId, Progress};
use crate::settings::GatewaySettings;

/// How often an instance tells all its bookings.
const REFRESH_INTERVAL: Duration = Duration::from_millis(800);

/// How often an instance also tells its seeds, which may have been restarted or cut off.
const SEED_REFRESHES: u32 = 4;

/// How long an instance counts as alive that has not been heard of.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// How long a home is passed over that did not answer.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// How long an instance has to run before it is a home: until all have told it their bookings.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// How many instances of all, and how many of the own availability zone, are told as homes.
///
/// Two successors are ready when the home dies, and one of the own zone when the zone is cut off.
const HOMES: usize = 3;
const ZONE_HOMES: usize = 2;

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// What one instance tells another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The instance that sends.
    pub from: InstanceId,
    /// What it tells.
    pub news: News,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum News {
    /// The sender lives, and these are all its bookings.
    State {
        /// What it says of itself.
        member: Member,
        /// Its bookings.
        bookings: Vec<(BookingId, BookingEntry)>,
        /// How far the sender has followed the store; former versions don't say.
        #[serde(default)]
        marks: Marks,
    },
    /// Instances that the sender has heard of, itself included.
    Members {
        /// The instances.
        members: Vec<Member>,
        /// How many instances the sender knows, itself included.
        live: usize,
        /// How far the sender has followed the store.
        marks: Marks,
    },
    /// The sender asks for engines.
    Ask(BookingId, Box<Want>),
    /// The sender decided on a question of the receiver.
    Verdict(BookingId, Verdict),
    /// Another home has granted engines to the sender.
    Booked(BookingId, BookingEntry),
    /// The prompt of a completion was read.
    PromptRead(BookingId),
    /// A completion has ended, or does not wait any more.
    Freed(BookingId),
    /// The sender could not use an engine: a connection to it did not open, or a call broke.
    EngineUnusable(Box<str>),
    /// The sender stops.
    Leaving,
}

/// Revisions by which the last changes had been made that an instance has taken in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Marks {
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
pub struct BookingEntry {
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

impl BookingEntry {
    /// Describes a booking as of `now`.
    pub fn new(booking: &Booking, now: Instant) -> Self {
        let millis_since = |at| now.saturating_duration_since(at).as_millis() as u64;
        let progress = booking.progress.map(|progress| ProgressEntry {
            age_ms: millis_since(progress.at),
            tokens: progress.tokens,
            speed: progress.speed,
        });
        let starts_in = booking.starts_at.saturating_duration_since(now);
        Self {
            decode: booking.decode.clone(),
            prefill: booking.prefill.clone(),
            prompt_tokens: booking.prompt_tokens,
            expected_tokens: booking.expected_tokens,
            most_tokens: booking.most_tokens,
            starts_in_ms: starts_in.as_millis() as u64,
            progress,
        }
    }

    /// Returns the booking, as of `now`.
    pub fn into_booking(self, now: Instant) -> Booking {
        let progress = self.progress.map(|progress| {
            let age = Duration::from_millis(progress.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            Progress { at, tokens: progress.tokens, speed: progress.speed }
        });
        Booking {
            decode: self.decode,
            prefill: self.prefill,
            prompt_tokens: self.prompt_tokens,
            expected_tokens: self.expected_tokens,
            most_tokens: self.most_tokens,
            starts_at: now + Duration::from_millis(self.starts_in_ms),
            booked_at: now,
            progress,
        }
    }
}

/// An instance that decides on completions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
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
    is_ending: Cell<bool>,
    seeds: RefCell<Box<[SocketAddr]>>,
    known: RefCell<BTreeMap<InstanceId, Peer>>,
    /// How many instances homes have told of, and when.
    told_live: Cell<(usize, Instant)>,
    /// How far the list of servers was followed.
    servers_mark: Rc<FeedMark>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    zone: Box<str>,
    is_settled: bool,
    capacity: u32,
    heard: Instant,
    suspected_until: Option<Instant>,
}

impl Peers {
    /// Listens on the address that the settings name.
    pub async fn bind(
        settings: &GatewaySettings,
        servers_mark: Rc<FeedMark>,
        now: Instant,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.peers).await?;
        let address = socket.local_addr()?;
        let known = RefCell::default();
        let seeds = RefCell::new(settings.seeds.clone());
        Ok(Self {
            socket,
            address,
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            capacity: settings.capacity,
            started: now,
            is_ending: Cell::new(false),
            seeds,
            known,
            told_live: Cell::new((1, now)),
            servers_mark,
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
        let (told, at) = self.told_live.get();
        let is_recent = now.saturating_duration_since(at) < PEER_TIMEOUT;
        let known = self.known.borrow().len() + 1;
        if is_recent { known.max(told) } else { known }
    }

    /// Takes in how many instances a home knows.
    fn note_live(&self, live: usize, now: Instant) {
        let (told, at) = self.told_live.get();
        let is_old = now.saturating_duration_since(at) >= PEER_TIMEOUT;
        if is_old || live >= told {
            self.told_live.set((live, now));
        }
    }

    /// Tells all instances that this one is no home any more, or that it is gone.
    pub fn tell_end(&self, is_gone: bool, now: Instant) {
        self.is_ending.set(true);
        let news = match is_gone {
            true => News::Leaving,
            false => {
                let members = vec![self.member(now)];
                News::Members { members, live: 1, marks: Marks::default() }
            }
        };
        let message = Message { from: self.instance.clone(), news };
        let Some(bytes) = encode(&message) else { return };
        for peer in self.known.borrow().values() {
            self.send(peer.address, &bytes);
        }
    }

    /// Tells one instance.
    pub fn tell(&self, to: SocketAddr, news: News) {
        let message = Message { from: self.instance.clone(), news };
        if let Some(bytes) = encode(&message) {
            self.send(to, &bytes);
        }
    }

    /// Tells an instance by its name, if it is known.
    pub fn tell_instance(&self, instance: &str, news: News) {
        let address = self.known.borrow().get(instance).map(|peer| peer.address);
        if let Some(address) = address {
            self.tell(address, news);
        }
    }

    /// Tells all homes but `except`.
    pub fn tell_homes(&self, news: &News, except: Option<&Home>, now: Instant) {
        let message = Message { from: self.instance.clone(), news: news.clone() };
        let Some(bytes) = encode(&message) else { return };
        for home in self.homes(now) {
            if except.is_none_or(|except| except.instance != home.instance) {
                self.send(home.address, &bytes);
            }
        }
    }

    /// Passes a home over for a while.
    pub fn suspect(&self, instance: &str, now: Instant) {
        if let Some(peer) = self.known.borrow_mut().get_mut(instance) {
            peer.suspected_until = Some(now + SUSPICION);
        }
    }

    /// Returns the home; none if it is this instance.
    pub fn home(&self, now: Instant) -> Option<Home> {
        self.ranked(now).into_iter().next()?.1
    }

    /// Whether this instance is one of the homes of all instances.
    pub fn is_home(&self, now: Instant) -> bool {
        self.ranked(now).iter().take(HOMES).any(|(_, home)| home.is_none())
    }

    /// Returns the homes that are told of bookings, without this instance.
    fn homes(&self, now: Instant) -> Vec<Home> {
        let ranked = self.ranked(now);
        let mut homes = Vec::new();
        let mut of_zone = 0;
        for (index, (zone, home)) in ranked.into_iter().enumerate() {
            let is_near = zone == self.zone;
            of_zone += usize::from(is_near);
            if index >= HOMES && (!is_near || of_zone > ZONE_HOMES) {
                continue;
            }
            homes.extend(home);
        }
        homes
    }

    /// Returns all instances in the order in which they are homes, each with its zone; this instance
    /// has no address.
    fn ranked(&self, now: Instant) -> Vec<(Box<str>, Option<Home>)> {
        let known = self.known.borrow();
        let mut ranked = Vec::new();
        for (instance, peer) in known.iter() {
            let is_suspected = peer.suspected_until.is_some_and(|until| now < until);
            let home = Home { instance: instance.clone(), address: peer.address };
            let hash = xxh3_64(instance.as_bytes());
            let order = (is_suspected, !peer.is_settled, Reverse(peer.capacity), hash);
            ranked.push((order, (peer.zone.clone(), Some(home))));
        }
        let hash = xxh3_64(self.instance.as_bytes());
        let order = (false, !self.is_settled(now), Reverse(self.capacity), hash);
        ranked.push((order, (self.zone.clone(), None)));
        ranked.sort_by_key(|(order, _)| *order);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }

    fn is_settled(&self, now: Instant) -> bool {
        let is_old = now.saturating_duration_since(self.started) >= SETTLING_TIME;
        is_old && !self.is_ending.get() && !self.is_behind(now)
    }

    /// Whether most instances know of changes in the list of servers that have not come here.
    ///
    /// While the store answers nobody, all know the same, and the homes stay what they are.
    fn is_behind(&self, now: Instant) -> bool {
        2 * self.servers_mark.ahead(now) > self.known.borrow().len()
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
    fn refresh(&self, gateway: &Gateway, to_seeds: bool) {
        let now = gateway.clock.now();
        let mut bookings = Vec::new();
        for (id, booking) in gateway.ledger.borrow().of_instance(&self.instance) {
            bookings.push((id, BookingEntry::new(booking, now)));
        }
        let news = News::State { member: self.member(now), bookings, marks: marks(gateway) };
        let message = Message { from: self.instance.clone(), news };
        let Some(bytes) = encode(&message) else { return };
        let mut addresses: Vec<SocketAddr> =
            self.homes(now).into_iter().map(|home| home.address).collect();
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
        let known = self.known.borrow();
        let mut of_zone = 0;
        for (index, (_, home)) in self.ranked(now).into_iter().enumerate() {
            let Some(peer) = home.as_ref().and_then(|home| known.get(&home.instance)) else {
                continue;
            };
            let is_near = &*peer.zone == zone;
            of_zone += usize::from(is_near);
            if index >= 2 * HOMES && (!is_near || of_zone > 2 * ZONE_HOMES) {
                continue;
            }
            members.extend(home.map(|home| Member {
                instance: home.instance,
                address: peer.address,
                zone: peer.zone.clone(),
                is_settled: peer.is_settled,
                capacity: peer.capacity,
                age_ms: now.saturating_duration_since(peer.heard).as_millis() as u64,
            }));
        }
        members
    }

    /// Takes in that an instance lives, as itself or another one says.
    fn meet(&self, member: Member, now: Instant) {
        let age = Duration::from_millis(member.age_ms);
        if member.instance == self.instance || age >= PEER_TIMEOUT {
            return;
        }
        let heard = now.checked_sub(age).unwrap_or(now);
        let mut known = self.known.borrow_mut();
        let Member { instance, address, zone, is_settled, capacity, .. } = member;
        match known.get_mut(&instance) {
            Some(peer) if heard >= peer.heard => {
                *peer = Peer { address, zone, is_settled, capacity, heard, ..peer.clone() };
            }
            Some(_) => {}
            None => {
                log::info!(peer = &*instance, address:%, zone = &*zone; "peer_joined");
                let suspected_until = None;
                let peer = Peer { address, zone, is_settled, capacity, heard, suspected_until };
                known.insert(instance, peer);
            }
        }
    }

    /// Forgets instances that have not been heard of, and returns them.
    fn expire(&self, now: Instant) -> Vec<InstanceId> {
        let mut gone = Vec::new();
        self.known.borrow_mut().retain(|instance, peer| {
            let is_live = now.saturating_duration_since(peer.heard) < PEER_TIMEOUT;
            if !is_live {
                gone.push(instance.clone());
            }
            is_live
        });
        gone
    }

    fn take(&self, gateway: &Rc<Gateway>, from: SocketAddr, message: Message) {
        if message.from == self.instance {
            return;
        }
        let now = gateway.clock.now();
        let sender = message.from;
        match message.news {
            News::State { member, bookings, marks: theirs } => {
                let address = member.address;
                let zone = member.zone.clone();
                self.meet(member, now);
                let mut entries = Vec::new();
                for (id, entry) in bookings {
                    entries.push((id, entry.into_booking(now)));
                }
                gateway.ledger.borrow_mut().replace(&sender, entries, now);
                gateway.routing_mark.hint(theirs.routing);
                gateway.servers_mark.compare(&sender, theirs.servers, now);
                let members = self.members(&zone, now);
                let live = self.known.borrow().len() + 1;
                self.tell(address, News::Members { members, live, marks: marks(gateway) });
            }
            News::Members { members, live, marks } => {
                self.note_live(live, now);
                gateway.note_instances();
                gateway.routing_mark.hint(marks.routing);
                gateway.servers_mark.hint(marks.servers);
                for member in members {
                    self.meet(member, now);
                }
                if let Some(peer) = self.known.borrow_mut().get_mut(&sender) {
                    peer.suspected_until = None;
                }
            }
            News::Ask(id, want) => {
                let verdict = decide(gateway, &sender, id, *want);
                self.tell(from, News::Verdict(id, verdict));
            }
            News::Verdict(id, verdict) => gateway.take_verdict(id, verdict),
            News::Booked(id, entry) => {
                gateway.ledger.borrow_mut().book(&sender, id, entry.into_booking(now));
            }
            News::Leaving => {
                log::info!(peer = &*sender; "peer_leaving");
                self.known.borrow_mut().remove(&sender);
                gateway.servers_mark.forget(&sender);
            }
            news @ (News::PromptRead(_) | News::Freed(_) | News::EngineUnusable(_)) => {
                take_news(gateway, &sender, &news)
            }
        }
    }
}

/// Returns how far the store was followed.
fn marks(gateway: &Gateway) -> Marks {
    let routing = gateway.routing_mark.changed();
    Marks { routing, servers: gateway.servers_mark.changed() }
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
            Ok(message) => peers.take(&gateway, from, message),
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
        peers.refresh(&gateway, round.is_multiple_of(SEED_REFRESHES));
        round = round.wrapping_add(1);
        let now = gateway.clock.now();
        for instance in peers.expire(now) {
            log::info!(peer = &*instance; "peer_lost");
            gateway.queue.remove_instance(&instance);
            gateway.servers_mark.forget(&instance);
        }
        gateway.ledger.borrow_mut().expire(now);
        serve_queue(&gateway);
    }
}
