//! Decides which instances follow the store, and spreads what they learn in their availability zone.
//!
//! Answers the load of a large fleet on the store: if every instance followed it, each change would be
//! read as often as there are instances.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::Position;
use serde::{Deserialize, Serialize};

use crate::directory::ServerRecord;
use crate::feed::{Batch, FeedPosition, Follower};
use crate::gateway::{Gateway, apply_routing};
use crate::route::Routing;

/// Number of instances up to which all follow the store.
const MAX_FOLLOWING_FLEET: usize = 48;

/// Maximum age of the last answer of the store that another instance has reported, for an instance that does not
/// follow the store. The first of the ranking are answered each second and report each 0.8 s.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(1_700);

/// The last answers of the store, here and at other instances.
#[derive(Debug, Default)]
pub struct StoreContact {
    routing: Cell<Option<Instant>>,
    servers: Cell<Option<Instant>>,
    remote: Cell<Option<Instant>>,
}

impl StoreContact {
    /// Records that the store has answered a call of the feed of the configuration.
    pub fn record_routing(&self, now: Instant) {
        self.routing.set(Some(now));
    }

    /// Records that the store has answered a call of the feed of the list of servers.
    pub fn record_servers(&self, now: Instant) {
        self.servers.set(Some(now));
    }

    /// Returns the time since the store has answered both feeds here; `None` if it has not.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let oldest = self.routing.get()?.min(self.servers.get()?);
        Some(now.saturating_duration_since(oldest))
    }

    /// Records that another instance has reported the age of the last answer to it.
    pub fn observe_remote(&self, age: Duration, now: Instant) {
        let answered_at = now.checked_sub(age);
        self.remote.set(self.remote.get().max(answered_at));
    }

    /// Returns the time left for which an instance may rely on others for changes.
    fn reliance_left(&self, now: Instant) -> Duration {
        let Some(remote) = self.remote.get() else { return Duration::ZERO };
        (remote + MAX_EVIDENCE_AGE).saturating_duration_since(now)
    }
}

/// Decides for how long an instance need not follow the store; zero if it must.
///
/// `is_follower` tells whether it is one of those that follow it for others, and `live` is the number of instances.
fn reliance(contact: &StoreContact, is_follower: bool, live: usize, now: Instant) -> Duration {
    match is_follower || live <= MAX_FOLLOWING_FLEET {
        true => Duration::ZERO,
        false => contact.reliance_left(now),
    }
}

/// Changes of a feed that one instance passes on to others.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Changes<T> {
    /// A position that covers all changes before these.
    since: Position,
    /// The position that is reached with these changes.
    position: Position,
    /// The rows by key; `None` for a row that was removed or is not usable.
    rows: Vec<(Box<str>, Option<T>)>,
    /// Time since the sender got answers of the store again after it had got none, in milliseconds.
    regained_ms: Option<u64>,
}

impl<T: Clone> Changes<T> {
    /// Creates the changes of a batch that the sender has applied.
    pub fn new(batch: &Batch<T>, since: Position, regained: Option<Duration>) -> Self {
        let regained_ms = regained.map(|regained| regained.as_millis() as u64);
        Self { since, position: batch.position, rows: batch.rows.clone(), regained_ms }
    }
}

impl<T> Changes<T> {
    /// Returns whether they follow what an instance has applied without a gap.
    fn follow(&self, applied: Position) -> bool {
        self.since.epoch == applied.epoch
            && self.position.epoch == applied.epoch
            && self.since <= applied
            && applied < self.position
    }

    fn into_batch(self) -> Batch<T> {
        Batch { position: self.position, rows: self.rows, unreadable: BTreeSet::new() }
    }
}

/// Applies changes of the list of servers from another instance, unless it lacks changes before them: then it
/// asks the store.
pub fn receive_servers(gateway: &Gateway, changes: Changes<ServerRecord>) {
    let position = &gateway.servers_position;
    if !changes.follow(position.applied()) || !gateway.knows_servers() {
        position.observe_remote(changes.position);
        return;
    }
    if let Some(regained_ms) = changes.regained_ms {
        gateway.record_regained(Duration::from_millis(regained_ms));
    }
    let batch = changes.into_batch();
    position.advance(batch.position, true);
    gateway.apply(batch, false);
}

/// Applies a configuration from another instance. Configurations are compared by version, so that one may be missing.
///
/// One that the sender could not read is read from the store: changes do not tell it from one that was removed.
pub fn receive_routing(gateway: &Rc<Gateway>, changes: Changes<Routing>) {
    let position = &gateway.routing_position;
    let is_readable = changes.rows.iter().all(|(_, routing)| routing.is_some());
    if !is_readable {
        position.observe_remote(changes.position);
    } else if changes.follow(position.applied()) {
        position.advance(changes.position, true);
    }
    apply_routing(gateway, changes.into_batch());
}

impl Gateway {
    /// Returns for how long this instance need not follow the store; zero if it must.
    fn reliance(&self) -> Duration {
        let Some(peers) = self.peers() else { return Duration::ZERO };
        let now = self.clock.now();
        reliance(&self.store_contact, peers.is_follower(now), peers.live(now), now)
    }

    /// Waits until this instance has to call the store: it is one of those that follow it, no other instance is
    /// answered by the store, or it lacks changes that were not passed on to it. The changes themselves are shorter than
    /// a copy of all rows.
    pub(crate) async fn wait_to_follow(&self, position: &FeedPosition) {
        loop {
            let left = self.reliance();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = position.wait_until_behind() => return,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::{Epoch, Position};

    use super::{Changes, MAX_EVIDENCE_AGE, StoreContact, reliance};

    fn at(epoch: u64, revision: u64) -> Position {
        Position { epoch: Epoch(epoch), revision }
    }

    #[test]
    fn an_instance_relies_on_others_only_while_the_store_answers_them() {
        let now = Instant::now();
        let contact = StoreContact::default();
        assert_eq!(reliance(&contact, false, 295, now), Duration::ZERO);
        contact.observe_remote(Duration::from_millis(500), now);
        let age = Duration::from_millis(500);
        assert_eq!(reliance(&contact, false, 295, now), MAX_EVIDENCE_AGE - age);
        // An instance whose calls are no longer answered reports an answer that is older.
        contact.observe_remote(Duration::from_secs(9), now + Duration::from_secs(1));
        assert_eq!(reliance(&contact, false, 295, now + MAX_EVIDENCE_AGE), Duration::ZERO);
        assert_eq!(reliance(&contact, true, 295, now), Duration::ZERO);
        assert_eq!(reliance(&contact, false, 9, now), Duration::ZERO);
    }

    #[test]
    fn an_answer_counts_once_both_feeds_have_one() {
        let now = Instant::now();
        let contact = StoreContact::default();
        contact.record_routing(now);
        assert_eq!(contact.age(now), None);
        contact.record_servers(now + Duration::from_secs(1));
        assert_eq!(contact.age(now + Duration::from_secs(3)), Some(Duration::from_secs(3)));
    }

    #[test]
    fn changes_are_applied_only_without_a_gap() {
        let changes = Changes::<()> {
            since: at(1, 5),
            position: at(1, 9),
            rows: Vec::new(),
            regained_ms: None,
        };
        assert!(changes.follow(at(1, 5)));
        // The store may have told of its other tables since.
        assert!(changes.follow(at(1, 8)));
        for applied in [at(1, 4), at(1, 9), at(0, 5), at(2, 5)] {
            assert!(!changes.follow(applied), "{applied:?}");
        }
    }
}
