//! Selects the home instances of requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use magnoliaspar_core::{InstanceName, ZoneName};
use magnoliaspar_declaration::RouteTarget;
use magnoliaspar_policy::rank_by_rendezvous;

use super::client::PeerClients;
use crate::instance::ConfigurationSlot;
use crate::run::{CompletionRequest, Home, HomeChooser, LocalHome, LocalHomeHandle, Shard};

/// Maximum number of instances of other zones to try if the own zone cannot serve a request.
const MAX_SPILLOVER_ATTEMPTS: usize = 2;

/// Selects home instances by rendezvous hashing within the own availability zone.
///
/// Requests for one pool with the same first block share a home, which tracks the load of all
/// servers of its shard. Every instance of the zone makes the same choice without coordination.
pub struct RendezvousHomeChooser {
    own: InstanceName,
    zone: ZoneName,
    configuration: Rc<ConfigurationSlot>,
    home: Rc<LocalHome>,
    clients: Rc<PeerClients>,
    instances: RefCell<BTreeMap<InstanceName, KnownInstance>>,
}

/// An instance of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownInstance {
    /// The availability zone.
    pub zone: ZoneName,
    /// The address for calls of other instances.
    pub peer_address: SocketAddr,
}

impl RendezvousHomeChooser {
    /// Creates a chooser that knows only this instance.
    pub fn new(
        own: InstanceName,
        zone: ZoneName,
        configuration: Rc<ConfigurationSlot>,
        home: Rc<LocalHome>,
        clients: Rc<PeerClients>,
    ) -> Self {
        let instances = RefCell::default();
        Self { own, zone, configuration, home, clients, instances }
    }

    /// Returns the availability zone of this instance.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Replaces the candidate homes. This instance is always one and need not be included.
    pub fn set_instances(&self, instances: BTreeMap<InstanceName, KnownInstance>) {
        *self.instances.borrow_mut() = instances;
    }

    /// Returns all known instances except this one.
    pub fn peers(&self) -> BTreeMap<InstanceName, KnownInstance> {
        let mut others = self.instances.borrow().clone();
        others.remove(&self.own);
        others
    }

    /// Returns the number of known instances, including this one.
    pub fn instance_count(&self) -> usize {
        let instances = self.instances.borrow();
        let has_own = instances.contains_key(&self.own);
        instances.len() + usize::from(!has_own)
    }

    fn rank(&self, key: &str, is_own_zone: bool) -> Vec<InstanceName> {
        let instances = self.instances.borrow();
        let mut names = Vec::new();
        for (name, instance) in instances.iter() {
            if (instance.zone == self.zone) == is_own_zone && *name != self.own {
                names.push(name.as_str());
            }
        }
        if is_own_zone {
            names.push(self.own.as_str());
        }
        let mut ranked = Vec::new();
        for name in rank_by_rendezvous(key, names) {
            ranked.extend(InstanceName::try_from(name).ok());
        }
        ranked
    }

    fn home_of(&self, name: &InstanceName) -> Option<Rc<dyn Home>> {
        if *name == self.own {
            let home = self.home.clone();
            return Some(Rc::new(LocalHomeHandle { name: name.clone(), home }));
        }
        let known = self.instances.borrow().get(name)?.clone();
        let client = self.clients.client(name, known.peer_address);
        if known.zone == self.zone {
            return Some(Rc::new(client));
        }
        Some(Rc::new(client.into_other_zone()))
    }

    /// Returns whether this instance is the home of a shard, which schedules the shard's requests.
    pub fn is_home_of(&self, shard: &Shard) -> bool {
        self.rank(&shard.rendezvous_key(), true).first() == Some(&self.own)
    }

    /// Returns the rendezvous hashing key that selects the home of a request.
    fn shard_key(&self, req: &CompletionRequest) -> Box<str> {
        let route_key = req.route.as_str().into();
        let Some(active_configuration) = self.configuration.current() else { return route_key };
        let Some(route) = active_configuration.declarations.routes.get(&req.route) else {
            return route_key;
        };
        let RouteTarget::Completion(completion) = &route.target else { return route_key };
        self.home.shards().for_prompt(completion, &req.prompt).rendezvous_key()
    }
}

impl HomeChooser for RendezvousHomeChooser {
    fn choose(&self, req: &CompletionRequest) -> Vec<Rc<dyn Home>> {
        let key = self.shard_key(req);
        let mut homes = Vec::new();
        for name in self.rank(&key, true) {
            homes.extend(self.home_of(&name));
        }
        for name in self.rank(&key, false).iter().take(MAX_SPILLOVER_ATTEMPTS) {
            homes.extend(self.home_of(name));
        }
        homes
    }
}
