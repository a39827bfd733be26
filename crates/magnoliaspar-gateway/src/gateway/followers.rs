//! Applies the configuration and the list of servers that an instance follows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use magnoliaspar_access::ConfigurationMark;
use magnoliaspar_core::{Epoch, Position, ServerKey};

use super::Gateway;
use crate::access::{record_proof, wait_until_unproven};
use crate::configuration_age::ConfigurationAge;
use crate::departures::{Departure, MAX_RESTORE_AGE};
use crate::directory::{RecordChange, ServerRecord};
use crate::entry_age::{EntryAge, EntrySource, EntryStamp};
use crate::feed::{Batch, FeedError, FeedPosition, Follower};
use crate::following::Changes;
use crate::guarantees::{Guarantee, is_disabled};
use crate::liveness::ask_before_use;
use crate::peers::Payload;
use crate::revisions::RestoreReport;
use crate::route::Routing;

/// Time after an outage of the store for which a server whose entry disappeared meanwhile stays in
/// use.
///
/// The store gives a live server about two seconds to register again.
const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Maximum time for which a server is used after its removal was noticed. A single failed call to the store
/// looks like an outage, and a server that was removed on purpose must be out of use within two seconds.
const MAX_REMOVED_USE: Duration = Duration::from_millis(1_500);

impl Gateway {
    /// Removes the servers that had time to register again after an outage and did not.
    pub(super) fn remove_overdue_servers(&self) {
        let now = self.clock.now();
        let mut gone = Vec::new();
        self.removed_during_outage.borrow_mut().retain(|id, until| {
            if now < *until {
                return true;
            }
            gone.push(id.clone());
            false
        });
        for id in gone {
            self.remove_server(&id, "not_back_in_time");
        }
    }

    fn remove_server(&self, id: &str, cause: &'static str) {
        if self.directory.borrow_mut().remove(id) {
            self.metrics.forget_server(id);
            log::info!(server = id, cause; "server_gone");
        }
    }

    /// Records that another instance got answers of the store again this long ago.
    pub(crate) fn record_regained(&self, ago: Duration) {
        let regained_at = self.clock.now().checked_sub(ago);
        self.servers_regained_at.set(self.servers_regained_at.get().max(regained_at));
    }

    /// Returns whether the entry of a server has vanished, and the server is used until it had time to register
    /// again.
    pub(crate) fn has_vanished(&self, id: &str) -> bool {
        self.removed_during_outage.borrow().contains_key(id)
    }

    /// Returns the time until which a server may register again whose entry is gone by `source`; `None` if it
    /// had its time.
    fn reregistration_deadline(&self, source: EntrySource, now: Instant) -> Option<Instant> {
        let deadline = |since: Option<Instant>| since.map(|since| since + REREGISTRATION_GRACE);
        let capped = |until: Option<Instant>| until.map(|until| until.min(now + MAX_REMOVED_USE));
        let regained = deadline(self.servers_regained_at.get());
        let restored = deadline(self.servers_restored_at.get());
        let until = match source {
            // What the list of a restored store lacks was not removed, but written after its copy.
            EntrySource::List => restored.max(capped(regained)),
            EntrySource::Change => capped(restored.max(regained)),
        };
        until.filter(|until| now < *until)
    }

    /// Removes a server whose entry is gone; shortly after an outage of the store, only if it does
    /// not register again.
    fn handle_removal(&self, id: &str, source: EntrySource) {
        let now = self.clock.now();
        self.withheld_entries.borrow_mut().remove(id);
        let is_draining =
            self.directory.borrow().find(id).is_some_and(|server| server.record.is_draining);
        match self.reregistration_deadline(source, now) {
            Some(until) if !is_draining => {
                if self.directory.borrow().find(id).is_none() {
                    return;
                }
                log::warn!(server = id; "server_vanished_during_outage");
                self.removed_during_outage.borrow_mut().entry(id.into()).or_insert(until);
                let this = self.this.clone();
                actix_rt::spawn(async move {
                    tokio::time::sleep(until - now).await;
                    if let Some(gateway) = this.upgrade() {
                        gateway.remove_overdue_servers();
                    }
                });
            }
            _ => self.remove_server(id, "removed"),
        }
    }

    /// Applies the entry of a server, and returns its effect.
    fn put_server(&self, record: ServerRecord, source: EntrySource) -> RecordChange {
        let id = record.id.clone();
        let EntryStamp { position: Position { epoch, revision }, sequence, .. } = record.stamp();
        let address = record.address;
        let service = record.service.clone();
        let zone = record.zone.clone();
        let started_ms = record.started_ms;
        let change = self.directory.borrow_mut().put(record.clone(), source);
        if change != RecordChange::Outdated {
            self.withheld_entries.borrow_mut().remove(&id);
        }
        if matches!(change, RecordChange::Outdated | RecordChange::FormerProcess) {
            let epoch = epoch.0;
            let has_departed = self.directory.borrow().find(&id).is_none();
            if change == RecordChange::Outdated && source == EntrySource::List && has_departed {
                self.withheld_entries.borrow_mut().add(record, self.clock.now());
            }
            log::info!(server = id, started_ms, sequence:?, epoch, revision, change:?; "entry_outdated");
            return change;
        }
        self.removed_during_outage.borrow_mut().remove(&id);
        self.directory.borrow_mut().record_known(&id, self.clock.now());
        let unclear = {
            let directory = self.directory.borrow();
            let is_unclear = |key: &ServerKey| {
                change == RecordChange::Unclear
                    || directory.has_unclear_notices(*key, self.clock.now())
            };
            directory.key(&id).filter(is_unclear)
        };
        if let (Some(this), Some(unclear)) = (self.this.upgrade(), unclear) {
            ask_before_use(&this, unclear);
        }
        if change != RecordChange::Updated {
            log::info!(
                server = id, service, zone, address:%, started_ms, sequence:?, epoch = epoch.0, revision, change:?;
                "server_changed"
            );
        }
        change
    }

    /// Takes servers out of use whose entries are older than their departures.
    pub(crate) fn apply_departures(&self, departures: Vec<(Box<str>, Departure)>) {
        for (id, departure) in departures {
            let age = self.directory.borrow_mut().learn_departure(&id, &departure);
            match age {
                None | Some(EntryAge::Current) => {}
                Some(EntryAge::Outdated | EntryAge::FormerProcess) => {
                    self.withhold(&id, &departure)
                }
                Some(EntryAge::Unclear) => {
                    let key = self.directory.borrow().key(&id);
                    if let (Some(this), Some(key)) = (self.this.upgrade(), key) {
                        ask_before_use(&this, key);
                    }
                }
            }
        }
    }

    /// Takes a server out of use until its entry would have expired if it were not alive.
    fn withhold(&self, id: &str, departure: &Departure) {
        let record = self.directory.borrow().find(id).map(|server| server.record.clone());
        let Some(record) = record else { return };
        let is_same_process = record.started_ms == departure.stamp.started_ms;
        self.remove_server(id, "departed_before_restore");
        self.directory.borrow_mut().set_last_stamp(id, departure.stamp);
        if is_same_process {
            self.withheld_entries.borrow_mut().add(record, self.clock.now());
        }
    }

    /// Returns what this instance knows of a restore of the store, if that was recently.
    pub(crate) fn restore_report(&self) -> Option<RestoreReport> {
        let restored_at = self.servers_restored_at.get()?;
        let age = self.clock.now().saturating_duration_since(restored_at);
        if age >= MAX_RESTORE_AGE {
            return None;
        }
        let departures = self.directory.borrow().known_departures();
        Some(RestoreReport { age_ms: age.as_millis() as u64, departures })
    }

    /// Uses departed servers again whose entries the restored store has kept for longer than those of servers that
    /// are gone. They are asked first.
    fn use_withheld_entries(&self) {
        let due = self.withheld_entries.borrow_mut().take_due(self.clock.now());
        for record in due {
            let id = record.id.clone();
            log::info!(server = id; "departed_server_is_back");
            self.put_server(record, EntrySource::Change);
            let key = self.directory.borrow().key(&id);
            if let (Some(this), Some(key)) = (self.this.upgrade(), key) {
                ask_before_use(&this, key);
            }
        }
    }

    /// Records the epoch of a batch of servers.
    fn observe_servers_epoch(&self, epoch: Epoch) {
        let previous = self.servers_epoch.get();
        if epoch <= previous {
            return;
        }
        self.servers_epoch.set(epoch);
        self.metrics.store_epoch.set(epoch.0 as i64);
        if self.knows_servers.get() {
            self.servers_restored_at.set(Some(self.clock.now()));
            log::warn!(epoch = epoch.0, previous = previous.0; "servers_restored");
        }
    }
}

#[async_trait(?Send)]
impl Follower<ServerRecord> for Gateway {
    fn apply(&self, batch: Batch<ServerRecord>, is_complete: bool) {
        self.observe_servers_epoch(batch.position.epoch);
        let source = if is_complete { EntrySource::List } else { EntrySource::Change };
        let mut known = std::collections::BTreeSet::new();
        for (id, record) in batch.rows {
            match record {
                Some(record) => {
                    if self.put_server(record, source) != RecordChange::FormerProcess {
                        known.insert(id);
                    }
                }
                None => self.handle_removal(&id, source),
            }
        }
        if is_complete {
            self.withheld_entries.borrow_mut().retain(&known);
            let ids = self.directory.borrow().ids();
            for id in ids {
                if !known.contains(&id) {
                    self.handle_removal(&id, source);
                }
            }
            if !self.knows_servers.replace(true) {
                log::info!(servers = self.directory.borrow().len(); "servers_known");
            }
        }
        // The response that brought the batch would have told of removals.
        self.use_withheld_entries();
        self.metrics.servers.set(self.directory.borrow().len() as i64);
        self.metrics.count_feed("servers", "ok");
    }

    fn call_failed(&self, _: &FeedError) {
        self.metrics.count_feed("servers", "failed");
    }

    fn recovered(&self) {
        self.servers_regained_at.set(Some(self.clock.now()));
    }

    fn max_wait(&self) -> Duration {
        self.feed_max_wait()
    }

    fn position(&self) -> &FeedPosition {
        &self.servers_position
    }

    async fn wait_to_follow(&self) {
        Gateway::wait_to_follow(self, &self.servers_position).await;
    }

    fn answered(&self) {
        self.store_contact.record_servers(self.clock.now());
    }

    fn called(&self) -> Duration {
        self.clock.since_boot()
    }

    async fn wait_until_unproven(&self) {
        std::future::pending().await
    }

    fn confirmed(&self, _: Duration) {}

    fn spread(&self, batch: &Batch<ServerRecord>, since: Position) {
        let Some(peers) = self.peers() else { return };
        let now = self.clock.now();
        let regained = self.servers_regained_at.get().map(|at| now.saturating_duration_since(at));
        peers.send_to_zone(now, || Payload::ServerChanges(Changes::new(batch, since, regained)));
    }
}

impl Gateway {
    /// Records whether the configuration that the store holds can be read, and logs a change. `read` is its version,
    /// or 0 for none; `None` if it cannot be read.
    fn record_readability(&self, read: Option<u64>, epoch: Epoch) {
        let own = self.routing().map_or(0, |routing| routing.version);
        let mut freshness = self.freshness.borrow_mut();
        let had_unreadable = freshness.has_unreadable();
        match read {
            Some(version) => freshness.record_readable(ConfigurationMark { version, epoch }),
            None => freshness.record_unreadable(ConfigurationMark { version: own, epoch }),
        }
        let has_unreadable = freshness.has_unreadable();
        self.metrics.configuration_unreadable.set(i64::from(has_unreadable));
        match (had_unreadable, has_unreadable) {
            (false, true) => log::warn!(version = own, epoch = epoch.0; "configuration_unreadable"),
            (true, false) => log::info!(version = own, epoch = epoch.0; "configuration_readable"),
            _ => {}
        }
    }
}

/// Applies configurations, from the store or from another instance; one that is not newer than the current one is
/// ignored.
pub(crate) fn apply_routing(gateway: &Gateway, batch: Batch<Routing>) {
    gateway.metrics.count_feed("configuration", "ok");
    let epoch = batch.position.epoch;
    for (_, routing) in batch.rows {
        let Some(routing) = routing else { continue };
        let current = gateway.routing();
        let current = current.as_deref().map(|current| (current, gateway.configuration_epoch()));
        let age = ConfigurationAge::of(current, (&routing, epoch));
        let previous = current.map(|(current, _)| current.version);
        let version = routing.version;
        if age != ConfigurationAge::NotNewer {
            gateway.configuration_epoch.set(epoch);
        }
        if !age.replaces() && !is_disabled(Guarantee::Configuration) {
            log::debug!(version, previous:?, epoch = epoch.0, age:?; "configuration_not_newer");
            continue;
        }
        let routes = routing.len();
        log::info!(version, previous:?, epoch = epoch.0, age:?, routes; "configuration_taken");
        gateway.metrics.configuration_version.set(version as i64);
        gateway.set_routing(routing);
    }
}

/// Follows the configuration in the store.
pub struct RoutingFollower(pub Rc<Gateway>);

#[async_trait(?Send)]
impl Follower<Routing> for RoutingFollower {
    fn apply(&self, batch: Batch<Routing>, is_complete: bool) {
        let epoch = batch.position.epoch;
        // Changes without a row tell that the last one stays.
        if is_complete || !batch.rows.is_empty() {
            let last = batch.rows.last().and_then(|(_, routing)| routing.as_ref());
            let version = last.map_or(0, |routing| routing.version);
            let read = batch.unreadable.is_empty().then_some(version);
            self.0.record_readability(read, epoch);
        }
        apply_routing(&self.0, batch);
    }

    fn call_failed(&self, _: &FeedError) {
        self.0.metrics.count_feed("configuration", "failed");
    }

    fn recovered(&self) {}

    fn max_wait(&self) -> Duration {
        self.0.feed_max_wait()
    }

    fn position(&self) -> &FeedPosition {
        &self.0.routing_position
    }

    async fn wait_to_follow(&self) {
        self.0.wait_to_follow(&self.0.routing_position).await;
    }

    fn answered(&self) {
        self.0.store_contact.record_routing(self.0.clock.now());
    }

    fn called(&self) -> Duration {
        self.0.clock.since_boot()
    }

    async fn wait_until_unproven(&self) {
        wait_until_unproven(&self.0).await;
    }

    fn confirmed(&self, called: Duration) {
        record_proof(&self.0, called);
    }

    fn spread(&self, batch: &Batch<Routing>, since: Position) {
        let Some(peers) = self.0.peers() else { return };
        let now = self.0.clock.now();
        peers.send_to_zone(now, || Payload::RoutingChanges(Changes::new(batch, since, None)));
    }
}
