use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use log::{error, info};
use magnoliaspar_configuration::{
    ConfigDelta, Configuration, ConfigurationStore, ReaderConfig, ReaderSchedule, Readiness,
    Received, Spread, Startup,
};
use magnoliaspar_core::{Clock, Incarnation, InstanceName, ServerName, ZoneName};
use magnoliaspar_declaration::Declarations;
use magnoliaspar_event::{EventKind, ServerState};
use magnoliaspar_membership::{
    Change, Gossip, Member, MemberId, MemberState, Membership, MembershipConfig,
};
use magnoliaspar_store::{InstanceList, ListEntry, ListedKind, RateLimitedTable, ServerRole};
use tokio::sync::Notify;

use crate::directory::{Directory, KnownServer};
use crate::instance::{ConfigurationInForce, InForce};
use crate::journal::Journal;
use crate::peer::{KnownInstance, ZoneHomes};
use crate::quarantine::QuarantineState;

/// The state that this instance shares with others.
pub struct ClusterState {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Records events.
    pub journal: Rc<Journal>,
    /// Who is there.
    pub membership: RefCell<Membership>,
    /// The newest configuration known here.
    pub configuration: RefCell<Configuration>,
    /// Whom to tell of the configuration.
    pub spread: RefCell<Spread>,
    /// Whether enough of the configuration is known to serve.
    pub startup: RefCell<Startup>,
    /// When to read the configuration at the platform.
    pub readers: RefCell<ReaderSchedule>,
    /// The configuration at the platform.
    pub store: ConfigurationStore,
    /// The platform's list of instances and servers.
    pub list: Rc<dyn InstanceList>,
    name: InstanceName,
    life: Incarnation,
    lives: RefCell<BTreeMap<InstanceName, Incarnation>>,
    listed: RefCell<BTreeSet<InstanceName>>,
    services: Services,
    wake: Notify,
    servers_changed: Notify,
}

/// What is told of changes.
pub struct Services {
    /// The configuration in force.
    pub in_force: Rc<ConfigurationInForce>,
    /// The backend servers of the zone.
    pub directory: Rc<Directory>,
    /// Chooses home instances.
    pub zone_homes: Rc<ZoneHomes>,
    /// What is known of requests that crash engines.
    pub quarantine: Rc<QuarantineState>,
    /// The table service, whose rates are divided by the number of instances.
    pub table: Rc<RateLimitedTable>,
    /// The table service for claims, with rates of its own.
    pub claim_table: Rc<RateLimitedTable>,
}

impl ClusterState {
    /// Creates the state of an instance that knows nobody else.
    pub fn new(
        clock: Rc<dyn Clock>,
        journal: Rc<Journal>,
        own: ListEntry,
        life: Incarnation,
        store: ConfigurationStore,
        list: Rc<dyn InstanceList>,
        services: Services,
    ) -> Rc<Self> {
        let now = clock.now();
        let zone = own.zone.clone();
        let cfg = MembershipConfig { seed: rand::random(), ..MembershipConfig::default() };
        let membership = Membership::new(own, cfg, now);
        let name = membership.name().clone();
        let readers = ReaderSchedule::new(name.clone(), zone, ReaderConfig::default(), now);
        Rc::new(Self {
            membership: RefCell::new(membership),
            configuration: RefCell::new(Configuration::new()),
            spread: RefCell::new(Spread::new()),
            startup: RefCell::new(Startup::new(now)),
            readers: RefCell::new(readers),
            clock,
            journal,
            store,
            list,
            name,
            life,
            lives: RefCell::default(),
            listed: RefCell::default(),
            services,
            wake: Notify::new(),
            servers_changed: Notify::new(),
        })
    }

    /// Returns the name of this instance.
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Returns the availability zone of this instance.
    pub fn zone(&self) -> &ZoneName {
        self.services.zone_homes.zone()
    }

    /// Returns the life of this instance's process.
    pub fn life(&self) -> Incarnation {
        self.life
    }

    /// Returns the life of an instance's process, if it was heard.
    pub fn life_of(&self, name: &InstanceName) -> Option<Incarnation> {
        if *name == self.name {
            return Some(self.life);
        }
        self.lives.borrow().get(name).copied()
    }

    /// Takes in the life of another instance's process.
    pub fn hear_life(&self, name: &InstanceName, life: Incarnation) {
        self.lives.borrow_mut().insert(name.clone(), life);
    }

    /// Takes in which instances of the zone the platform lists.
    pub fn set_listed(&self, listed: BTreeSet<InstanceName>) {
        *self.listed.borrow_mut() = listed;
    }

    /// Returns the instances of the zone whose processes may run: all that are not certainly gone.
    ///
    /// An instance that only does not answer is still listed by the platform.
    pub fn possible_instances(&self) -> BTreeMap<InstanceName, Incarnation> {
        let mut names = self.listed.borrow().clone();
        names.insert(self.name.clone());
        for (id, member) in self.membership.borrow().members() {
            let Some(name) = id.as_instance() else { continue };
            if member.state() != MemberState::Dead {
                names.insert(name.clone());
            }
        }
        let mut possible = BTreeMap::new();
        for name in names {
            let life = self.life_of(&name).unwrap_or_default();
            possible.insert(name, life);
        }
        possible
    }

    /// Returns the instance that keeps the books of a server.
    pub fn home_of(&self, server: &ServerName) -> Option<InstanceName> {
        self.membership.borrow().home_of(server)
    }

    /// Whether enough of the configuration is known to serve.
    pub fn readiness(&self) -> Readiness {
        let version = self.configuration.borrow().version();
        self.startup.borrow_mut().readiness(self.clock.now(), version)
    }

    /// Waits until there is something to tell others at once.
    pub async fn woken(&self) {
        tokio::select! {
            () = self.wake.notified() => {}
            () = self.quarantine().changed() => {}
        }
    }

    /// Returns what is known of requests that crash engines.
    pub fn quarantine(&self) -> &QuarantineState {
        &self.services.quarantine
    }

    /// Returns instances of other zones, one for each zone.
    pub fn foreign_contacts(&self) -> Vec<InstanceName> {
        let membership = self.membership.borrow();
        let mut contacts = Vec::new();
        for zone in membership.zone_summaries() {
            let Some(contact) = zone.contacts.first() else { continue };
            contacts.push(contact.instance.clone());
        }
        contacts
    }

    /// Waits until the servers of the zone or their states have changed.
    pub async fn servers_changed(&self) {
        self.servers_changed.notified().await;
    }

    /// Announces that this instance is about to end.
    pub fn leave(&self) {
        let changes = self.membership.borrow_mut().leave(self.clock.now());
        self.take_changes(&changes);
    }

    /// Takes in a message of another instance.
    pub fn receive_membership(&self, gossip: &Gossip) {
        let changes = self.membership.borrow_mut().receive(self.clock.now(), gossip);
        self.take_changes(&changes);
        if !gossip.zones.is_empty() {
            self.publish_instances();
        }
    }

    /// Takes in the configuration's version that another instance has, and what it sends of it.
    pub fn receive_configuration(
        &self,
        sender: &InstanceName,
        version: u64,
        deltas: Vec<ConfigDelta>,
    ) {
        let now = self.clock.now();
        self.startup.borrow_mut().peer_answered(sender.clone(), Some(version));
        self.take_deltas(deltas);
        let own = self.configuration.borrow().version();
        self.spread.borrow_mut().hear(now, sender, version, own);
        self.wake.notify_one();
    }

    /// Takes in changes of the configuration from the platform or a peer.
    pub fn take_deltas(&self, deltas: Vec<ConfigDelta>) {
        let mut is_changed = false;
        for delta in deltas {
            let received = self.configuration.borrow_mut().receive(delta);
            is_changed |= received == Received::Applied;
        }
        if is_changed {
            self.put_in_force();
        }
    }

    /// Takes over a newer copy of the configuration.
    pub fn adopt_configuration(&self, fresh: Configuration) {
        if self.configuration.borrow_mut().adopt(fresh) {
            self.put_in_force();
        }
    }

    /// Makes all parts of the instance see the members as they are now.
    pub fn take_changes(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.record(change);
        }
        self.publish_servers();
        self.publish_instances();
        self.wake.notify_one();
        self.servers_changed.notify_one();
    }

    /// Returns the address on which an instance listens for its peers, if it is known.
    pub fn address_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        if let Some(member) = membership.member(&MemberId::Instance(name.clone())) {
            return Some(member.entry.address);
        }
        for zone in membership.zone_summaries() {
            for contact in &zone.contacts {
                if contact.instance == *name {
                    return Some(contact.address);
                }
            }
        }
        None
    }

    fn put_in_force(&self) {
        let configuration = self.configuration.borrow();
        let version = configuration.version();
        let document = configuration.document().clone();
        drop(configuration);
        match Declarations::try_from(&document) {
            Ok(declarations) => {
                info!(version; "a configuration is in force");
                self.services.in_force.set(InForce { version, declarations, document });
                self.journal.record_own(EventKind::ConfigApplied { version });
            }
            Err(findings) => {
                error!(version; "a configuration cannot be put in force: {findings}");
                let findings = findings.len() as u32;
                self.journal.record_own(EventKind::ConfigRefused { version, findings });
            }
        }
        self.wake.notify_one();
        self.servers_changed.notify_one();
    }

    fn record(&self, change: &Change) {
        let state = to_server_state(change.standing.state());
        let incarnation = change.standing.incarnation;
        if change.before == Some(change.standing.state()) {
            return;
        }
        match &change.id {
            MemberId::Server(name) => {
                self.journal.record_server(name, EventKind::ServerState { state, incarnation });
            }
            MemberId::Instance(name) => {
                let instance = name.clone();
                let kind = EventKind::InstanceState { instance, state, incarnation };
                self.journal.record_own(kind);
            }
        }
    }

    fn publish_servers(&self) {
        let membership = self.membership.borrow();
        let mut known = BTreeMap::new();
        for (id, member) in membership.members() {
            let MemberId::Server(name) = id else { continue };
            if member.state() == MemberState::Dead {
                continue;
            }
            let Some(server) = to_known_server(name, member) else { continue };
            known.insert(name.clone(), server);
        }
        self.services.directory.replace(known);
    }

    fn publish_instances(&self) {
        let membership = self.membership.borrow();
        let own_zone = self.services.zone_homes.zone();
        let mut instances = BTreeMap::new();
        add_contacts(&membership, own_zone, &mut instances);
        let mut count = instances.len() as u32;
        for summary in membership.zone_summaries() {
            count += summary.instances;
            add_contacts(&membership, &summary.zone, &mut instances);
        }
        self.services.table.set_live_instances(count.max(1));
        self.services.claim_table.set_live_instances(count.max(1));
        self.services.zone_homes.set_instances(instances);
        let now = self.clock.now();
        let live = membership.live_instances(own_zone);
        let names = live.iter().map(|contact| &contact.instance);
        self.readers.borrow_mut().elect(now, names);
    }
}

fn add_contacts(
    membership: &Membership,
    zone: &ZoneName,
    instances: &mut BTreeMap<InstanceName, KnownInstance>,
) {
    for contact in membership.live_instances(zone) {
        let known = KnownInstance { zone: zone.clone(), peers: contact.address };
        instances.insert(contact.instance, known);
    }
}

fn to_known_server(name: &ServerName, member: &Member) -> Option<KnownServer> {
    let ListedKind::Server { pool, role, .. } = &member.entry.kind else { return None };
    let role: ServerRole = *role;
    Some(KnownServer {
        name: name.clone(),
        address: member.entry.address,
        pool: pool.clone(),
        role,
        incarnation: member.standing.incarnation,
        is_live: member.state() == MemberState::Live,
    })
}

fn to_server_state(state: MemberState) -> ServerState {
    match state {
        MemberState::Live => ServerState::Live,
        MemberState::Suspect => ServerState::Suspected,
        MemberState::Leaving => ServerState::Leaving,
        MemberState::Dead => ServerState::Dead,
    }
}
