//! Drives the configurations of several instances in virtual time.

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

/// How many instances there are, three in each zone.
pub const INSTANCES: usize = 9;

/// How many changes an instance keeps; so few that whole configurations are sent often.
const HISTORY: usize = 1;

const STEP: Duration = Duration::from_millis(50);

/// How often an instance tells its version.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Instances of three zones over one platform.
pub struct Cluster {
    nodes: Vec<Node>,
    clock: Rc<ManualClock>,
    table: MemoryTable,
    objects: MemoryObjects,
    rng: StdRng,
    loss: f64,
    seed: u64,
    wires: BTreeMap<(Instant, u64), (usize, usize, ConfigMessage)>,
    sent: u64,
    cut: BTreeSet<(usize, usize)>,
    isolated: BTreeSet<usize>,
    last: Option<Proposal>,
    accepted: BTreeMap<u64, WriteToken>,
}

struct Node {
    name: InstanceName,
    configuration: Configuration,
    store: ConfigurationStore,
    is_cut: Rc<Cell<bool>>,
    schedule: ReaderSchedule,
    spread: Spread,
    startup: Startup,
    heartbeat_at: Instant,
    seen: u64,
    /// The version that the instance must have before it is ready for the first time.
    floor: Option<u64>,
}

impl Cluster {
    pub fn new(seed: u64, loss: f64) -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        let objects = MemoryObjects::new(clock.clone());
        let mut cluster = Self {
            nodes: Vec::new(),
            clock,
            table,
            objects,
            rng: StdRng::seed_from_u64(seed),
            loss,
            seed,
            wires: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            isolated: BTreeSet::new(),
            last: None,
            accepted: BTreeMap::new(),
        };
        for index in 0..INSTANCES {
            let node = cluster.node(index, Rc::new(Cell::new(false)));
            cluster.nodes.push(node);
        }
        cluster
    }

    pub async fn propose(&mut self, instance: usize, value: u64, lag: u64) {
        let mut delta = DocumentDelta::default();
        let pool = format!("pools/p{}", value % 7);
        let kind = if value.is_multiple_of(2) { "prefill" } else { "decode" };
        delta.upserts.insert(EntityId(pool.into()), json!({ "kind": kind }));
        let proposal = Proposal {
            expected_version: self.nodes[instance].configuration.version().saturating_sub(lag),
            delta,
            operator: format!("operator-{instance}").into(),
            command: "change a pool".into(),
            at: SystemTime::UNIX_EPOCH + self.clock.elapsed(),
            token: WriteToken(format!("token-{}", self.rng.random::<u64>()).into()),
        };
        self.last = Some(proposal.clone());
        self.accept(instance, &proposal).await;
    }

    pub async fn resend(&mut self, instance: usize) {
        let Some(proposal) = self.last.clone() else { return };
        self.accept(instance, &proposal).await;
    }

    async fn accept(&mut self, instance: usize, proposal: &Proposal) {
        let node = &mut self.nodes[instance];
        let acceptance = node.store.accept(&mut node.configuration, proposal).await;
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

    pub fn toggle_platform(&mut self, instance: usize) {
        let is_cut = &self.nodes[instance].is_cut;
        is_cut.set(!is_cut.get());
    }

    pub fn toggle_zones(&mut self, one: usize, other: usize) {
        for pair in [(one, other), (other, one)] {
            if one != other && !self.cut.remove(&pair) {
                self.cut.insert(pair);
            }
        }
    }

    pub fn cut_platform(&mut self, instance: usize, is_cut: bool) {
        self.nodes[instance].is_cut.set(is_cut);
    }

    pub fn isolate(&mut self, instance: usize) {
        self.isolated.insert(instance);
        self.nodes[instance].is_cut.set(true);
    }

    /// Lets an instance talk to its peers again, without the platform.
    pub fn end_isolation(&mut self, instance: usize) {
        self.isolated.remove(&instance);
    }

    pub fn newest(&self) -> u64 {
        self.documents().len() as u64 - 1
    }

    pub fn restart(&mut self, instance: usize) {
        let is_cut = self.nodes[instance].is_cut.clone();
        let mut node = self.node(instance, is_cut.clone());
        let zone = 3 * (instance / 3)..3 * (instance / 3) + 3;
        let peers = zone.filter(|peer| *peer != instance && !self.isolated.contains(&instance));
        let versions = peers.map(|peer| self.nodes[peer].configuration.version());
        node.floor = Some(versions.max().unwrap_or(0));
        self.nodes[instance] = node;
        // What was under way to the former life is lost with its connections.
        self.wires.retain(|_, (_, to, _)| *to != instance);
        // Others can no longer learn from the former life what it knew.
        for peer in 3 * (instance / 3)..3 * (instance / 3) + 3 {
            if peer != instance {
                self.nodes[peer].floor = None;
            }
        }
    }

    pub fn heal(&mut self) {
        self.set_faults(false);
        self.table.apply_late_writes();
        self.loss = 0.0;
        self.cut.clear();
        self.isolated.clear();
        for node in &self.nodes {
            node.is_cut.set(false);
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

    /// Checks that no version went down, and that each is the one document that was accepted.
    pub fn check(&mut self) {
        let documents = self.documents();
        let now = self.clock.now();
        for node in &mut self.nodes {
            let version = node.configuration.version();
            assert!(version >= node.seen, "{} went back to {version}", node.name);
            node.seen = version;
            assert_eq!(*node.configuration.document(), documents[version as usize]);
            if node.startup.readiness(now, version) != Readiness::Ready {
                continue;
            }
            if let Some(floor) = node.floor.take() {
                assert!(version >= floor, "{} serves {version} before {floor}", node.name);
            }
        }
    }

    pub fn check_newest(&mut self) {
        self.check();
        let newest = self.newest();
        let now = self.clock.now();
        for node in &mut self.nodes {
            let version = node.configuration.version();
            assert_eq!(version, newest, "{} is behind", node.name);
            assert!(newest == 0 || node.startup.readiness(now, version) == Readiness::Ready);
        }
    }

    pub fn is_newest_everywhere(&self) -> bool {
        let newest = self.newest();
        self.nodes.iter().all(|node| node.configuration.version() == newest)
    }

    pub fn is_ready(&mut self, instance: usize) -> bool {
        let now = self.clock.now();
        let node = &mut self.nodes[instance];
        node.startup.readiness(now, node.configuration.version()) == Readiness::Ready
    }

    /// Returns the documents of all versions, by the rows that the platform holds.
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

    fn node(&mut self, index: usize, is_cut: Rc<Cell<bool>>) -> Node {
        let now = self.clock.now();
        let name = name(index);
        let zone = ZoneName::try_from(format!("z{}", index / 3).as_str()).unwrap();
        let backoff = Backoff::new(Rc::new(NoSleep));
        let table = Rc::new(Reach { table: self.table.clone(), is_cut: is_cut.clone() });
        let objects = Rc::new(self.objects.clone());
        let cfg = ReaderConfig::default();
        let mut schedule = ReaderSchedule::new(name.clone(), zone, cfg, now);
        let names: Vec<_> = (0..INSTANCES).filter(|i| i / 3 == index / 3).map(self::name).collect();
        schedule.elect(now, names.iter());
        let mut startup = Startup::new(now);
        for peer in names.iter().filter(|peer| **peer != name) {
            startup.peer_asked(peer.clone());
        }
        Node {
            name,
            configuration: Configuration::with_history(HISTORY),
            store: ConfigurationStore::new(table, objects, backoff),
            is_cut,
            schedule,
            spread: Spread::new(),
            startup,
            heartbeat_at: now,
            seen: 0,
            floor: None,
        }
    }

    fn deliver(&mut self) {
        let now = self.clock.now();
        while let Some(entry) = self.wires.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (from, to, message) = entry.remove();
            let is_cut = self.cut.contains(&(from / 3, to / 3));
            if is_cut || self.isolated.contains(&from) || self.isolated.contains(&to) {
                continue;
            }
            let node = &mut self.nodes[to];
            for delta in message.deltas {
                node.configuration.receive(delta);
            }
            let own = node.configuration.version();
            node.startup.peer_answered(name(from), Some(message.version));
            node.spread.hear(now, &name(from), message.version, own);
        }
    }

    async fn read(&mut self, index: usize) {
        let now = self.clock.now();
        let node = &mut self.nodes[index];
        if !node.schedule.is_due(now) {
            return;
        }
        match node.store.news_since(node.configuration.version()).await {
            Ok(news) => {
                node.startup.platform_answered(Some(news.newest));
                for delta in news.deltas {
                    node.configuration.receive(delta);
                }
            }
            Err(_) => {
                node.startup.platform_answered(None);
                node.schedule.read_failed(now);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.clock.now();
        let neighbours: BTreeSet<_> = neighbours(index).into_iter().map(name).collect();
        let node = &mut self.nodes[index];
        let mut messages = node.spread.tick(now, &node.configuration, &neighbours);
        if now >= node.heartbeat_at {
            node.heartbeat_at = now + HEARTBEAT;
            let version = node.configuration.version();
            for to in neighbours {
                messages.push(ConfigMessage { to, version, deltas: Vec::new() });
            }
        }
        for message in messages {
            let to = (0..INSTANCES).find(|to| name(*to) == message.to).unwrap();
            for _ in 0..self.copies() {
                self.sent += 1;
                let at = now + Duration::from_millis(self.rng.random_range(1..700));
                self.wires.insert((at, self.sent), (index, to, message.clone()));
            }
        }
    }

    /// Returns how often a message arrives: not at all, once or twice.
    fn copies(&mut self) -> usize {
        if self.rng.random_bool(self.loss) {
            return 0;
        }
        1 + usize::from(self.rng.random_bool(0.1))
    }
}

/// The platform as one instance reaches it.
struct Reach {
    table: MemoryTable,
    is_cut: Rc<Cell<bool>>,
}

impl Reach {
    fn check(&self) -> Result<(), PlatformError> {
        match self.is_cut.get() {
            true => Err(PlatformError::Unavailable("out of reach".into())),
            false => Ok(()),
        }
    }
}

#[async_trait(?Send)]
impl TableService for Reach {
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

/// Returns the other instances of the zone and, for the first of a zone, those of other zones.
fn neighbours(index: usize) -> Vec<usize> {
    let is_near = |other: &usize| {
        let is_bridge = index.is_multiple_of(3) && other.is_multiple_of(3);
        *other != index && (other / 3 == index / 3 || is_bridge)
    };
    (0..INSTANCES).filter(is_near).collect()
}
