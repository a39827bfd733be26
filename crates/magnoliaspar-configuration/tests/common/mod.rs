//! Simulates the configurations of several instances in virtual time.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_trait::async_trait;
use magnoliaspar_configuration::{
    Acceptance, ConfigMessage, Configuration, ConfigurationStore, Proposal, ReaderConfig,
    ReaderSchedule, Readiness, Spread, Startup,
};
use magnoliaspar_core::{Clock, InstanceName, ManualClock, ZoneName};
use magnoliaspar_declaration::{Document, DocumentDelta, EntityId};
use magnoliaspar_fake::{FaultProbabilities, MemoryObjects, MemoryTable};
use magnoliaspar_store::{
    Backoff, PlatformError, Row, RowKey, Sleep, TableService, Transaction, WriteOutcome, WriteToken,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Number of instances, three in each zone.
pub const INSTANCES: usize = 9;

/// Number of changes that an instance keeps, so small that full configurations are sent often.
const MAX_HISTORY_LEN: usize = 1;

const STEP: Duration = Duration::from_millis(50);

/// Interval at which an instance sends its version to its neighbours.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Simulated instances of three zones with one platform.
pub struct Cluster {
    instances: Vec<SimulatedInstance>,
    clock: Rc<ManualClock>,
    table: MemoryTable,
    objects: MemoryObjects,
    rng: StdRng,
    /// Probability that a message is lost.
    loss: f64,
    seed: u64,
    in_flight: BTreeMap<(Instant, u64), (usize, usize, ConfigMessage)>,
    sent_messages: u64,
    /// Pairs of zones that cannot exchange messages.
    cut_zones: BTreeSet<(usize, usize)>,
    /// Instances that cannot exchange messages with any other.
    isolated: BTreeSet<usize>,
    last_proposal: Option<Proposal>,
    /// Tokens of the accepted proposals by version.
    accepted: BTreeMap<u64, WriteToken>,
}

struct SimulatedInstance {
    name: InstanceName,
    configuration: Configuration,
    store: ConfigurationStore,
    /// True while the instance cannot reach the platform.
    is_cut: Rc<Cell<bool>>,
    schedule: ReaderSchedule,
    spread: Spread,
    startup: Startup,
    heartbeat_at: Instant,
    last_seen_version: u64,
    /// The version that the instance must have before it is ready for the first time.
    min_ready_version: Option<u64>,
}

impl Cluster {
    pub fn new(seed: u64, loss: f64) -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        let objects = MemoryObjects::new(clock.clone());
        let mut cluster = Self {
            instances: Vec::new(),
            clock,
            table,
            objects,
            rng: StdRng::seed_from_u64(seed),
            loss,
            seed,
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            cut_zones: BTreeSet::new(),
            isolated: BTreeSet::new(),
            last_proposal: None,
            accepted: BTreeMap::new(),
        };
        for index in 0..INSTANCES {
            let instance = cluster.new_instance(index, Rc::new(Cell::new(false)));
            cluster.instances.push(instance);
        }
        cluster
    }

    pub async fn propose(&mut self, index: usize, value: u64, lag: u64) {
        let mut delta = DocumentDelta::default();
        let pool = format!("pools/p{}", value % 7);
        let kind = if value.is_multiple_of(2) { "prefill" } else { "decode" };
        delta.upserts.insert(EntityId(pool.into()), json!({ "kind": kind }));
        let proposal = Proposal {
            expected_version: self.instances[index].configuration.version().saturating_sub(lag),
            delta,
            operator: format!("operator-{index}").into(),
            command: "change a pool".into(),
            at: SystemTime::UNIX_EPOCH + self.clock.elapsed(),
            token: WriteToken(format!("token-{}", self.rng.random::<u64>()).into()),
        };
        self.last_proposal = Some(proposal.clone());
        self.accept(index, &proposal).await;
    }

    pub async fn resend(&mut self, index: usize) {
        let Some(proposal) = self.last_proposal.clone() else { return };
        self.accept(index, &proposal).await;
    }

    async fn accept(&mut self, index: usize, proposal: &Proposal) {
        let instance = &mut self.instances[index];
        let acceptance = instance.store.accept(&mut instance.configuration, proposal).await;
        let Acceptance::Accepted { version } = acceptance else { return };
        let token = self.accepted.entry(version).or_insert_with(|| proposal.token.clone());
        assert_eq!(*token, proposal.token, "version {version} was accepted twice");
    }

    pub fn set_faults(&mut self, is_on: bool) {
        let chance = if is_on { 0.15 } else { 0.0 };
        let chances = FaultProbabilities {
            unavailable: chance,
            lost_request: chance,
            lost_answer: chance,
            late_effect: chance,
        };
        self.table.faults().set_probabilities(chances, self.seed);
        self.objects
            .faults()
            .set_probabilities(FaultProbabilities { late_effect: 0.0, ..chances }, self.seed);
    }

    pub fn toggle_platform(&mut self, index: usize) {
        let is_cut = &self.instances[index].is_cut;
        is_cut.set(!is_cut.get());
    }

    pub fn toggle_zones(&mut self, one: usize, other: usize) {
        for pair in [(one, other), (other, one)] {
            if one != other && !self.cut_zones.remove(&pair) {
                self.cut_zones.insert(pair);
            }
        }
    }

    pub fn cut_platform(&mut self, index: usize, is_cut: bool) {
        self.instances[index].is_cut.set(is_cut);
    }

    pub fn isolate(&mut self, index: usize) {
        self.isolated.insert(index);
        self.instances[index].is_cut.set(true);
    }

    /// Lets an instance talk to its peers again, without the platform.
    pub fn end_isolation(&mut self, index: usize) {
        self.isolated.remove(&index);
    }

    pub fn newest(&self) -> u64 {
        self.documents().len() as u64 - 1
    }

    pub fn restart(&mut self, index: usize) {
        let is_cut = self.instances[index].is_cut.clone();
        let mut instance = self.new_instance(index, is_cut.clone());
        let zone = 3 * (index / 3)..3 * (index / 3) + 3;
        let peers = zone.filter(|peer| *peer != index && !self.isolated.contains(&index));
        let versions = peers.map(|peer| self.instances[peer].configuration.version());
        instance.min_ready_version = Some(versions.max().unwrap_or(0));
        self.instances[index] = instance;
        // Messages in flight to the former process are lost with its connections.
        self.in_flight.retain(|_, (_, to, _)| *to != index);
        // The version of the former process is no longer available to the other instances.
        for peer in 3 * (index / 3)..3 * (index / 3) + 3 {
            if peer != index {
                self.instances[peer].min_ready_version = None;
            }
        }
    }

    pub fn heal(&mut self) {
        self.set_faults(false);
        self.table.apply_late_writes();
        self.loss = 0.0;
        self.cut_zones.clear();
        self.isolated.clear();
        for instance in &self.instances {
            instance.is_cut.set(false);
        }
    }

    pub async fn run(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.clock.advance(STEP);
            self.deliver();
            for index in 0..INSTANCES {
                self.read(index).await;
                self.tick(index);
            }
            self.check();
        }
    }

    /// Checks that no version decreased, and that each instance holds the document accepted as its
    /// version.
    pub fn check(&mut self) {
        let documents = self.documents();
        let now = self.clock.now();
        for instance in &mut self.instances {
            let version = instance.configuration.version();
            assert!(
                version >= instance.last_seen_version,
                "{} returned to version {version}",
                instance.name
            );
            instance.last_seen_version = version;
            assert_eq!(*instance.configuration.document(), documents[version as usize]);
            if instance.startup.readiness(now, version) != Readiness::Ready {
                continue;
            }
            if let Some(min_ready_version) = instance.min_ready_version.take() {
                assert!(
                    version >= min_ready_version,
                    "{} serves {version} before {min_ready_version}",
                    instance.name
                );
            }
        }
    }

    pub fn check_newest(&mut self) {
        self.check();
        let newest = self.newest();
        let now = self.clock.now();
        for instance in &mut self.instances {
            let version = instance.configuration.version();
            assert_eq!(version, newest, "{} is behind", instance.name);
            assert!(newest == 0 || instance.startup.readiness(now, version) == Readiness::Ready);
        }
    }

    pub fn is_newest_everywhere(&self) -> bool {
        let newest = self.newest();
        self.instances.iter().all(|instance| instance.configuration.version() == newest)
    }

    pub fn is_ready(&mut self, index: usize) -> bool {
        let now = self.clock.now();
        let instance = &mut self.instances[index];
        instance.startup.readiness(now, instance.configuration.version()) == Readiness::Ready
    }

    /// Returns the documents of all versions, rebuilt from the platform's change rows.
    fn documents(&self) -> Vec<Document> {
        let mut documents = vec![Document::default()];
        for row in self.table.rows("config/change/") {
            let delta = serde_json::from_value(row.value["delta"].clone()).unwrap();
            let mut document = documents.last().unwrap().clone();
            document.apply(&delta);
            documents.push(document);
        }
        documents
    }

    fn new_instance(&mut self, index: usize, is_cut: Rc<Cell<bool>>) -> SimulatedInstance {
        let now = self.clock.now();
        let name = name(index);
        let zone = ZoneName::try_from(format!("z{}", index / 3).as_str()).unwrap();
        let backoff = Backoff::new(Rc::new(NoSleep));
        let table = Rc::new(PlatformLink { table: self.table.clone(), is_cut: is_cut.clone() });
        let objects = Rc::new(self.objects.clone());
        let cfg = ReaderConfig::default();
        let mut schedule = ReaderSchedule::new(name.clone(), zone, cfg, now);
        let names: Vec<_> = (0..INSTANCES).filter(|i| i / 3 == index / 3).map(self::name).collect();
        schedule.elect(now, names.iter());
        let mut startup = Startup::new(now);
        for peer in names.iter().filter(|peer| **peer != name) {
            startup.peer_asked(peer.clone());
        }
        SimulatedInstance {
            name,
            configuration: Configuration::with_history(MAX_HISTORY_LEN),
            store: ConfigurationStore::new(table, objects, backoff),
            is_cut,
            schedule,
            spread: Spread::new(),
            startup,
            heartbeat_at: now,
            last_seen_version: 0,
            min_ready_version: None,
        }
    }

    fn deliver(&mut self) {
        let now = self.clock.now();
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (from, to, message) = entry.remove();
            let is_cut = self.cut_zones.contains(&(from / 3, to / 3));
            if is_cut || self.isolated.contains(&from) || self.isolated.contains(&to) {
                continue;
            }
            let instance = &mut self.instances[to];
            for delta in message.deltas {
                instance.configuration.receive(delta);
            }
            let own = instance.configuration.version();
            instance.startup.peer_answered(name(from), Some(message.version));
            instance.spread.record_peer_version(now, &name(from), message.version, own);
        }
    }

    async fn read(&mut self, index: usize) {
        let now = self.clock.now();
        let instance = &mut self.instances[index];
        if !instance.schedule.is_due(now) {
            return;
        }
        match instance.store.updates_since(instance.configuration.version()).await {
            Ok(updates) => {
                instance.startup.platform_answered(Some(updates.newest));
                for delta in updates.deltas {
                    instance.configuration.receive(delta);
                }
            }
            Err(_) => {
                instance.startup.platform_answered(None);
                instance.schedule.read_failed(now);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.clock.now();
        let neighbours: BTreeSet<_> = neighbours(index).into_iter().map(name).collect();
        let instance = &mut self.instances[index];
        let mut messages = instance.spread.tick(now, &instance.configuration, &neighbours);
        if now >= instance.heartbeat_at {
            instance.heartbeat_at = now + HEARTBEAT;
            let version = instance.configuration.version();
            for to in neighbours {
                messages.push(ConfigMessage { to, version, deltas: Vec::new() });
            }
        }
        for message in messages {
            let to = (0..INSTANCES).find(|to| name(*to) == message.to).unwrap();
            for _ in 0..self.copies() {
                self.sent_messages += 1;
                let at = now + Duration::from_millis(self.rng.random_range(1..700));
                self.in_flight.insert((at, self.sent_messages), (index, to, message.clone()));
            }
        }
    }

    /// Returns the number of copies of a message that arrive: 0, 1 or 2.
    fn copies(&mut self) -> usize {
        if self.rng.random_bool(self.loss) {
            return 0;
        }
        1 + usize::from(self.rng.random_bool(0.1))
    }
}

/// The platform's table as one instance reaches it.
struct PlatformLink {
    table: MemoryTable,
    is_cut: Rc<Cell<bool>>,
}

impl PlatformLink {
    fn check(&self) -> Result<(), PlatformError> {
        match self.is_cut.get() {
            true => Err(PlatformError::Unavailable("out of reach".into())),
            false => Ok(()),
        }
    }
}

#[async_trait(?Send)]
impl TableService for PlatformLink {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.check()?;
        self.table.read(key).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.check()?;
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        self.check()?;
        self.table.commit(transaction).await
    }
}

struct NoSleep;

#[async_trait(?Send)]
impl Sleep for NoSleep {
    async fn sleep(&self, _duration: Duration) {}
}

fn name(index: usize) -> InstanceName {
    InstanceName::try_from(format!("i-{index}").as_str()).unwrap()
}

/// Returns the other instances of the zone and, for the first instance of a zone, the first ones of
/// the other zones.
fn neighbours(index: usize) -> Vec<usize> {
    let is_near = |other: &usize| {
        let is_bridge = index.is_multiple_of(3) && other.is_multiple_of(3);
        *other != index && (other / 3 == index / 3 || is_bridge)
    };
    (0..INSTANCES).filter(is_near).collect()
}
