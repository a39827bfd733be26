//! Keeping what the instance knows of servers and configuration fresh.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use magnoliaspar_core::{Clock, InstanceName, ServerName};
use magnoliaspar_declaration::{CompletionRoute, Declarations, Document, RouteTarget};
use magnoliaspar_engine::{EngineConnector, EngineStatus};
use magnoliaspar_platform::{
    HttpInstanceList, HttpTimeouts, InstanceList, ListEntry, ListState, ListedKind, RowKey,
    ServerRole, TableService,
};
use magnoliaspar_policy::{LoadReport, Role, ServerSpec};
use serde::Deserialize;

use crate::directory::KnownServer;
use crate::instance::{InForce, Instance};
use crate::peer::KnownInstance;
use crate::run::{Dispatcher, EngineHandle, Shard};

/// How often the platform's list is read.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// How often the configuration's head is read.
const CONFIGURATION_PERIOD: Duration = Duration::from_millis(500);

/// How often engines report their load.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// How often the outcomes of claims that could not be written are written again.
const CLAIM_PERIOD: Duration = Duration::from_secs(1);

/// The row that holds the configuration.
const HEAD_ROW: &str = "config/head";

/// Reads the platform and the engines at regular intervals.
pub struct Refresh {
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
    list: Rc<dyn InstanceList>,
}

/// The content of the configuration's row.
#[derive(Deserialize)]
struct Head {
    version: u64,
    document: Document,
}

impl Refresh {
    /// Creates the readers of an instance.
    pub fn new(instance: Rc<Instance>, connector: Rc<dyn EngineConnector>) -> Rc<Self> {
        let platform = &instance.settings.platform;
        let timeouts = HttpTimeouts::default();
        let list = Rc::new(HttpInstanceList::new(platform.instances, timeouts));
        Rc::new(Self { instance, connector, list })
    }

    /// Starts the readers.
    pub fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(self.clone().read_configuration());
        actix_rt::spawn(self.clone().read_list());
        actix_rt::spawn(self.clone().read_reports());
        actix_rt::spawn(self.clone().bind_added_shards());
        actix_rt::spawn(self.clone().settle_claims());
    }

    async fn read_configuration(self: Rc<Self>) {
        loop {
            if let Err(message) = self.read_head().await {
                warn!("the configuration cannot be read: {message}");
            }
            tokio::time::sleep(CONFIGURATION_PERIOD).await;
        }
    }

    async fn read_head(&self) -> Result<(), Box<str>> {
        let row = self.instance.table.read(&RowKey(HEAD_ROW.into())).await;
        let Some(row) = row.map_err(|error| error.to_string())? else { return Ok(()) };
        let head: Head = serde_json::from_value(row.value).map_err(|error| error.to_string())?;
        let declarations =
            Declarations::try_from(&head.document).map_err(|findings| findings.to_string())?;
        let Head { version, document } = head;
        self.instance.configuration.set(InForce { version, declarations, document });
        Ok(())
    }

    async fn read_list(self: Rc<Self>) {
        loop {
            match self.list.list(None).await {
                Ok(entries) => self.take_list(&entries).await,
                Err(error) => warn!("the instance list cannot be read: {error}"),
            }
            tokio::time::sleep(LIST_PERIOD).await;
        }
    }

    async fn take_list(&self, entries: &[ListEntry]) {
        self.take_instances(entries);
        let mut names = BTreeSet::new();
        let drains = self.instance.drains.drained();
        for entry in entries {
            if entry.zone != self.instance.settings.zone {
                continue;
            }
            let ListedKind::Server { pool, role, .. } = &entry.kind else { continue };
            let Ok(name) = ServerName::try_from(&*entry.name) else { continue };
            names.insert(name.clone());
            self.instance.directory.put(KnownServer {
                name: name.clone(),
                address: entry.address,
                pool: pool.clone(),
                role: *role,
                is_live: entry.state == ListState::Live && !drains.contains(&name),
            });
        }
        self.forget_engines(&names);
        self.instance.directory.retain(|name| names.contains(name));
        self.bind_engines().await;
    }

    fn take_instances(&self, entries: &[ListEntry]) {
        let mut instances = BTreeMap::new();
        for entry in entries {
            let is_instance = matches!(entry.kind, ListedKind::Instance { .. });
            if !is_instance || entry.state != ListState::Live {
                continue;
            }
            let Ok(name) = InstanceName::try_from(&*entry.name) else { continue };
            let known = KnownInstance { zone: entry.zone.clone(), peers: entry.address };
            instances.insert(name, known);
        }
        self.instance.table.set_live_instances(instances.len().max(1) as u32);
        self.instance.zone_homes.set_instances(instances);
    }

    fn forget_engines(&self, listed: &BTreeSet<ServerName>) {
        for (_, dispatcher) in self.instance.home.dispatchers() {
            for engine in dispatcher.engines() {
                if !listed.contains(&engine.name) {
                    dispatcher.remove_engine(&engine.name);
                }
            }
        }
    }

    /// Makes the servers of each shard known to the dispatchers of which this instance is the home.
    async fn bind_engines(&self) {
        let Some(in_force) = self.instance.in_force() else { return };
        let shards = self.instance.home.shards();
        for route in in_force.declarations.routes.values() {
            let RouteTarget::Completion(completion) = &route.target else { continue };
            for shard in shards.all(completion) {
                // Requests reach this instance while their usual home is out of reach, too.
                if self.instance.zone_homes.is_own(&shard) || self.instance.home.serves(&shard) {
                    self.bind_shard(completion, &shard).await;
                }
            }
        }
    }

    async fn bind_shard(&self, route: &CompletionRoute, shard: &Shard) {
        let shards = self.instance.home.shards();
        let dispatcher = self.instance.home.dispatcher(shard);
        for server in self.instance.directory.all() {
            let is_of_pool = server.pool == shard.prefill || server.pool == shard.decode;
            if !is_of_pool || !shards.contains(route, shard, &server.name) {
                continue;
            }
            self.bind_engine(&dispatcher, &server).await;
        }
    }

    async fn bind_engine(&self, dispatcher: &Dispatcher, server: &KnownServer) {
        if !server.is_live {
            dispatcher.seal_engine(&server.name);
            return;
        }
        if dispatcher.has_engine(&server.name) {
            dispatcher.unseal_engine(&server.name);
            return;
        }
        let engine = self.connector.connect(server.address);
        let Ok(status) = engine.status().await else { return };
        let Some(spec) = describe(&self.instance, server, &status) else { return };
        dispatcher.add_engine(spec, server.address, engine);
    }

    async fn bind_added_shards(self: Rc<Self>) {
        loop {
            self.instance.home.shard_added().await;
            self.bind_engines().await;
        }
    }

    async fn settle_claims(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CLAIM_PERIOD).await;
            self.instance.claims.retry_pending().await;
        }
    }

    async fn read_reports(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REPORT_PERIOD).await;
            for (_, dispatcher) in self.instance.home.dispatchers() {
                for engine in dispatcher.engines() {
                    let clock = self.instance.clock.clone();
                    actix_rt::spawn(read_report(clock, dispatcher.clone(), engine));
                }
            }
        }
    }
}

async fn read_report(clock: Rc<dyn Clock>, dispatcher: Rc<Dispatcher>, engine: EngineHandle) {
    let Ok(load) = engine.engine.load().await else { return };
    let now = clock.now();
    let made_at = now.checked_sub(Duration::from_millis(load.age_ms)).unwrap_or(now);
    let report = LoadReport {
        made_at,
        running: load.running,
        waiting: load.waiting,
        used_pieces: load.used_pieces,
        queued_tokens: load.queued_tokens,
    };
    dispatcher.report(&engine.name, report);
    let after = engine.last_cache_event.get();
    let Ok(events) = engine.engine.cache_events(after).await else { return };
    engine.last_cache_event.set(events.last.max(after));
    dispatcher.cache_events(&engine.name, &events.stored, &events.evicted, events.gap);
}

fn describe(
    instance: &Instance,
    server: &KnownServer,
    status: &EngineStatus,
) -> Option<ServerSpec> {
    let role = match server.role {
        ServerRole::Prefill => Role::Prefill,
        ServerRole::Decode => Role::Decode,
        ServerRole::Service => return None,
    };
    Some(ServerSpec {
        name: server.name.clone(),
        zone: instance.settings.zone.clone(),
        role,
        slots: status.slots,
        memory_pieces: status.memory_pieces,
        piece_tokens: status.piece_tokens,
        prefill_tokens_per_second: status.prefill_tokens_per_second,
        link_tokens_per_second: status.link_tokens_per_second,
        seconds_per_token: Duration::from_micros(status.token_us).as_secs_f64(),
        hold_seconds: Duration::from_millis(status.hold_ms.into()).as_secs_f64(),
    })
}
