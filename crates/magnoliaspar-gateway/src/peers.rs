//! What instances tell each other: that they live, and which engine memory they have booked.
//!
//! Messages are datagrams. Each change is told at once; all bookings are told again at an interval,
//! which heals what was lost and serves as the heartbeat.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;
use crate::ledger::{Booking, BookingId, InstanceId};

/// How often an instance tells all its bookings.
const REFRESH_INTERVAL: Duration = Duration::from_millis(800);

/// How often an instance also tells its seeds, which may have been restarted or cut off.
const SEED_REFRESHES: u32 = 4;

/// How long an instance is remembered that has not been heard of.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// The most peers that are named in one message.
const MAX_NAMED: usize = 200;

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
        /// Where the sender hears its peers.
        address: SocketAddr,
        /// Its bookings.
        bookings: Vec<(BookingId, BookingEntry)>,
        /// Instances that it has heard of lately.
        peers: Vec<(InstanceId, SocketAddr)>,
    },
    /// A completion was booked.
    Booked(BookingId, BookingEntry),
    /// The prompt of a completion was read.
    PromptRead(BookingId),
    /// A completion has ended.
    Freed(BookingId),
    /// The sender stops.
    Leaving,
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
    /// How long the completion has produced tokens, in milliseconds; negative until it does.
    running_ms: i64,
}

impl BookingEntry {
    /// Describes a booking as of `now`.
    pub fn new(booking: &Booking, now: Instant) -> Self {
        let running_ms = match now.checked_duration_since(booking.starts_at) {
            Some(running) => running.as_millis() as i64,
            None => -((booking.starts_at - now).as_millis() as i64),
        };
        Self {
            decode: booking.decode.clone(),
            prefill: booking.prefill.clone(),
            prompt_tokens: booking.prompt_tokens,
            expected_tokens: booking.expected_tokens,
            most_tokens: booking.most_tokens,
            running_ms,
        }
    }

    /// Returns the booking, as of `now`.
    pub fn into_booking(self, now: Instant) -> Booking {
        let distance = Duration::from_millis(self.running_ms.unsigned_abs());
        let starts_at = match self.running_ms >= 0 {
            true => now.checked_sub(distance).unwrap_or(now),
            false => now + distance,
        };
        Booking {
            decode: self.decode,
            prefill: self.prefill,
            prompt_tokens: self.prompt_tokens,
            expected_tokens: self.expected_tokens,
            most_tokens: self.most_tokens,
            starts_at,
        }
    }
}

/// The link to the other instances.
pub struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    instance: InstanceId,
    seeds: RefCell<Box<[SocketAddr]>>,
    known: RefCell<BTreeMap<InstanceId, Peer>>,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: SocketAddr,
    heard: Instant,
}

impl Peers {
    /// Listens on `address`.
    pub async fn bind(
        address: SocketAddr,
        instance: InstanceId,
        seeds: Box<[SocketAddr]>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        let known = RefCell::default();
        Ok(Self { socket, address, instance, seeds: RefCell::new(seeds), known })
    }

    /// Returns the address on which the instance hears its peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes new seeds, from settings that were read again.
    pub fn set_seeds(&self, seeds: Box<[SocketAddr]>) {
        self.seeds.replace(seeds);
    }

    /// Tells all known instances.
    pub fn announce(&self, news: News) {
        let message = Message { from: self.instance.clone(), news };
        let Some(bytes) = encode(&message) else { return };
        for peer in self.known.borrow().values() {
            self.send(peer.address, &bytes);
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            // The next refresh tells the same.
            log::debug!(peer:% = to, reason:% = error; "peer_not_told");
        }
    }

    fn refresh(&self, gateway: &Gateway, to_seeds: bool) {
        let now = gateway.clock.now();
        let mut known = self.known.borrow_mut();
        known.retain(|_, peer| now.saturating_duration_since(peer.heard) < FORGET_AFTER);
        let message = Message { from: self.instance.clone(), news: self.state(gateway, &known) };
        let Some(bytes) = encode(&message) else { return };
        let mut addresses: Vec<SocketAddr> = known.values().map(|peer| peer.address).collect();
        if to_seeds {
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

    fn state(&self, gateway: &Gateway, known: &BTreeMap<InstanceId, Peer>) -> News {
        let now = gateway.clock.now();
        let ledger = gateway.ledger.borrow();
        let mut bookings = Vec::new();
        for (id, booking) in ledger.of_instance(&self.instance) {
            bookings.push((id, BookingEntry::new(booking, now)));
        }
        let mut peers = Vec::new();
        for (instance, peer) in known.iter().take(MAX_NAMED) {
            peers.push((instance.clone(), peer.address));
        }
        News::State { address: self.address, bookings, peers }
    }

    /// Takes in a message; returns whether the sender is to be told the state at once.
    fn take(&self, gateway: &Gateway, message: Message) -> Option<SocketAddr> {
        if message.from == self.instance {
            return None;
        }
        let now = gateway.clock.now();
        let from = message.from;
        let mut answer_to = None;
        match message.news {
            News::State { address, bookings, peers } => {
                let mut entries = Vec::new();
                for (id, entry) in bookings {
                    entries.push((id, entry.into_booking(now)));
                }
                gateway.ledger.borrow_mut().replace(&from, entries, now);
                let mut known = self.known.borrow_mut();
                let peer = Peer { address, heard: now };
                if known.insert(from.clone(), peer).is_none() {
                    log::info!(peer = &*from, address:%; "peer_joined");
                    answer_to = Some(address);
                }
                for (instance, address) in peers {
                    if instance != self.instance {
                        known.entry(instance).or_insert(Peer { address, heard: now });
                    }
                }
            }
            News::Booked(id, entry) => {
                gateway.ledger.borrow_mut().book(&from, id, entry.into_booking(now));
            }
            News::PromptRead(id) => gateway.ledger.borrow_mut().prompt_read(&from, id, now),
            News::Freed(id) => {
                gateway.ledger.borrow_mut().free(&from, id, now);
                gateway.memory_freed();
            }
            News::Leaving => {
                log::info!(peer = &*from; "peer_leaving");
                self.known.borrow_mut().remove(&from);
            }
        }
        answer_to
    }
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
            Ok(message) => {
                if peers.take(&gateway, message).is_some() {
                    peers.refresh(&gateway, false);
                }
            }
            Err(error) => log::warn!(peer:% = from, reason:% = error; "peer_message_unreadable"),
        }
    }
}

/// Tells peers the state at an interval, for as long as the process runs.
pub async fn heartbeat(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut interval = tokio::time::interval(REFRESH_INTERVAL);
    let mut round = 0_u32;
    loop {
        interval.tick().await;
        peers.refresh(&gateway, round.is_multiple_of(SEED_REFRESHES));
        round = round.wrapping_add(1);
        let gone = gateway.ledger.borrow_mut().expire(gateway.clock.now());
        for instance in gone {
            log::info!(peer = &*instance; "peer_lost");
            gateway.memory_freed();
        }
    }
}
