//! The state that instances share, and its effects on the other parts of an instance.

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
use crate::instance::{ActiveConfiguration, ConfigurationSlot};
use crate::journal::Journal;
use crate::peer::{KnownInstance, RendezvousHomeChooser};
use crate::quarantine::QuarantineState;

/// The state that this instance shares with other instances.
pub struct ClusterState {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The event journal.
    pub journal: Rc<Journal>,
    /// The known instances and servers.
    pub membership: RefCell<Membership>,
    /// The newest configuration that this instance knows.
    pub configuration: RefCell<Configuration>,
    /// The schedule for sending configuration changes to other instances.
    pub spread: RefCell<Spread>,
    /// Tracks whether the configuration is known well enough to serve.
    pub startup: RefCell<Startup>,
    /// The schedule for reading the configuration from the platform.
    pub reader_schedule: RefCell<ReaderSchedule>,
    /// The configuration at the platform.
    pub store: ConfigurationStore,
    /// The platform's list of instances and servers.
    pub list: Rc<dyn InstanceList>,
    name: InstanceName,
    own_incarnation: Incarnation,
    /// The last observed incarnations of the other instances.
    incarnations: RefCell<BTreeMap<InstanceName, Incarnation>>,
    listed_instances: RefCell<BTreeSet<InstanceName>>,
    dependents: ClusterDependents,
    gossip_wake: Notify,
    servers_changed: Notify,
}

/// The components that this state updates when it changes.
pub struct ClusterDependents {
    /// The active configuration.
    pub active_configuration: Rc<ConfigurationSlot>,
    /// The backend servers of the zone.
    pub directory: Rc<Directory>,
    /// Selects home instances.
    pub home_chooser: Rc<RendezvousHomeChooser>,
    /// The quarantine of requests that crash engines.
    pub quarantine: Rc<QuarantineState>,
    /// The table service; its rate budget is divided by the number of live instances.
    pub table: Rc<RateLimitedTable>,
    /// The table service for claims, with a separate rate budget.
    pub claim_table: Rc<RateLimitedTable>,
}

impl ClusterState {
    /// Creates the state of an instance that knows no other instance.
    pub fn new(
        clock: Rc<dyn Clock>,
        journal: Rc<Journal>,
        own: ListEntry,
        own_incarnation: Incarnation,
        store: ConfigurationStore,
        list: Rc<dyn InstanceList>,
        dependents: ClusterDependents,
    ) -> Rc<Self> {
        let now = clock.now();
        let zone = own.zone.clone();
        let cfg = MembershipConfig { seed: rand::random(), ..MembershipConfig::default() };
        let membership = Membership::new(own, cfg, now);
        let name = membership.name().clone();
        let reader_schedule = ReaderSchedule::new(name.clone(), zone, ReaderConfig::default(), now);
        Rc::new(Self {
            membership: RefCell::new(membership),
            configuration: RefCell::new(Configuration::new()),
            spread: RefCell::new(Spread::new()),
            startup: RefCell::new(Startup::new(now)),
            reader_schedule: RefCell::new(reader_schedule),
            clock,
            journal,
            store,
            list,
            name,
            own_incarnation,
            incarnations: RefCell::default(),
            listed_instances: RefCell::default(),
            dependents,
            gossip_wake: Notify::new(),
            servers_changed: Notify::new(),
        })
    }

    /// Returns the name of this instance.
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Returns the availability zone of this instance.
    pub fn zone(&self) -> &ZoneName {
        self.dependents.home_chooser.zone()
    }

    /// Returns the incarnation of this instance's process.
    pub fn own_incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// Returns the incarnation of an instance's process, if it is known.
    pub fn incarnation_of(&self, name: &InstanceName) -> Option<Incarnation> {
        if *name == self.name {
            return Some(self.own_incarnation);
        }
        self.incarnations.borrow().get(name).copied()
    }

    /// Records the incarnation of another instance's process.
    pub fn observe_incarnation(&self, name: &InstanceName, incarnation: Incarnation) {
        self.incarnations.borrow_mut().insert(name.clone(), incarnation);
    }

    /// Sets the instances of the zone that the platform lists.
    pub fn set_listed_instances(&self, instances: BTreeSet<InstanceName>) {
        *self.listed_instances.borrow_mut() = instances;
    }

    /// Returns the instances of the zone that are not certainly gone, with their incarnations.
    ///
    /// The platform still lists an instance that runs but does not answer.
    pub fn possible_instances(&self) -> BTreeMap<InstanceName, Incarnation> {
        let mut names = self.listed_instances.borrow().clone();
        names.insert(self.name.clone());
        for (id, member) in self.membership.borrow().members() {
            let Some(name) = id.as_instance() else { continue };
            if member.state() != MemberState::Dead {
                names.insert(name.clone());
            }
        }
        let mut possible = BTreeMap::new();
        for name in names {
            let incarnation = self.incarnation_of(&name).unwrap_or_default();
            possible.insert(name, incarnation);
        }
        possible
    }

    /// Returns the home instance of a server, which probes it and reaps its orphaned streams.
    pub fn home_of(&self, server: &ServerName) -> Option<InstanceName> {
        self.membership.borrow().home_of(server)
    }

    /// Returns whether the configuration is known well enough to serve.
    pub fn readiness(&self) -> Readiness {
        let version = self.configuration.borrow().version();
        self.startup.borrow_mut().readiness(self.clock.now(), version)
    }

    /// Waits until there are changes that must be sent to other instances at once.
    pub async fn gossip_requested(&self) {
        tokio::select! {
            () = self.gossip_wake.notified() => {}
            () = self.quarantine().changed() => {}
        }
    }

    /// Returns the quarantine of requests that crash engines.
    pub fn quarantine(&self) -> &QuarantineState {
        &self.dependents.quarantine
    }

    /// Returns one instance of each other zone.
    pub fn other_zone_contacts(&self) -> Vec<InstanceName> {
        let membership = self.membership.borrow();
        let mut contacts = Vec::new();
        for zone in membership.zone_summaries() {
            let Some(contact) = zone.contacts.first() else { continue };
            contacts.push(contact.instance.clone());
        }
        contacts
    }

    /// Waits until the servers of the zone, their states or the configuration change.
    pub async fn servers_changed(&self) {
        self.servers_changed.notified().await;
    }

    /// Announces that this instance is leaving.
    pub fn leave(&self) {
        let changes = self.membership.borrow_mut().leave(self.clock.now());
        self.apply_membership_changes(&changes);
    }

    /// Applies membership gossip of another instance.
    pub fn receive_membership(&self, gossip: &Gossip) {
        let changes = self.membership.borrow_mut().receive(self.clock.now(), gossip);
        self.apply_membership_changes(&changes);
        if !gossip.zones.is_empty() {
            self.publish_instances();
        }
    }

    /// Records the configuration version of another instance, and applies the changes that it sent.
    pub fn receive_configuration(
        &self,
        sender: &InstanceName,
        version: u64,
        deltas: Vec<ConfigDelta>,
    ) {
        let now = self.clock.now();
        self.startup.borrow_mut().peer_answered(sender.clone(), Some(version));
        self.apply_deltas(deltas);
        let own = self.configuration.borrow().version();
        self.spread.borrow_mut().record_peer_version(now, sender, version, own);
        self.gossip_wake.notify_one();
    }

    /// Applies configuration changes from the platform or another instance.
    pub fn apply_deltas(&self, deltas: Vec<ConfigDelta>) {
        let mut is_changed = false;
        for delta in deltas {
            let received = self.configuration.borrow_mut().receive(delta);
            is_changed |= received == Received::Applied;
        }
        if is_changed {
            self.activate_configuration();
        }
    }

    /// Replaces the configuration if `fresh` is newer.
    pub fn adopt_configuration(&self, fresh: Configuration) {
        if self.configuration.borrow_mut().adopt(fresh) {
            self.activate_configuration();
        }
    }

    /// Records membership changes, and updates the components that depend on the members.
    pub fn apply_membership_changes(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.record(change);
        }
        self.publish_servers();
        self.publish_instances();
        self.gossip_wake.notify_one();
        self.servers_changed.notify_one();
    }

    /// Returns the address for calls to an instance, if it is known.
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

    fn activate_configuration(&self) {
        let configuration = self.configuration.borrow();
        let version = configuration.version();
        let document = configuration.document().clone();
        drop(configuration);
        match Declarations::try_from(&document) {
            Ok(declarations) => {
                info!(version; "activated a configuration");
                self.dependents.active_configuration.set(ActiveConfiguration {
                    version,
                    declarations,
                    document,
                });
                self.journal.record_own(EventKind::ConfigApplied { version });
            }
            Err(findings) => {
                error!(version; "cannot activate a configuration: {findings}");
                let findings = findings.len() as u32;
                self.journal.record_own(EventKind::ConfigRefused { version, findings });
            }
        }
        self.gossip_wake.notify_one();
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
        self.dependents.directory.replace(known);
    }

    fn publish_instances(&self) {
        let membership = self.membership.borrow();
        let own_zone = self.dependents.home_chooser.zone();
        let mut instances = BTreeMap::new();
        add_contacts(&membership, own_zone, &mut instances);
        let mut count = instances.len() as u32;
        for summary in membership.zone_summaries() {
            count += summary.instances;
            add_contacts(&membership, &summary.zone, &mut instances);
        }
        self.dependents.table.set_live_instances(count.max(1));
        self.dependents.claim_table.set_live_instances(count.max(1));
        self.dependents.home_chooser.set_instances(instances);
        let now = self.clock.now();
        let live = membership.live_instances(own_zone);
        let names = live.iter().map(|contact| &contact.instance);
        self.reader_schedule.borrow_mut().elect(now, names);
    }
}

fn add_contacts(
    membership: &Membership,
    zone: &ZoneName,
    instances: &mut BTreeMap<InstanceName, KnownInstance>,
) {
    for contact in membership.live_instances(zone) {
        let known = KnownInstance { zone: zone.clone(), peer_address: contact.address };
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
