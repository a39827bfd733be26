//! Keeps the dispatchers' engines and load reports up to date.

use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::Clock;
use magnoliaspar_declaration::{CompletionRoute, RouteTarget};
use magnoliaspar_engine::{EngineConnector, EngineStatus};
use magnoliaspar_policy::{LoadReport, Role, ServerSpec};
use magnoliaspar_store::ServerRole;

use crate::directory::KnownServer;
use crate::instance::Instance;
use crate::run::{Dispatcher, EngineHandle, Shard};

/// Interval between two attempts to add engines to dispatchers, for engines that did not answer.
const ENGINE_UPDATE_PERIOD: Duration = Duration::from_secs(1);

/// Interval between two reads of an engine's load report.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Adds engines to dispatchers and reads their load reports and cache events.
pub struct EngineMonitor {
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
}

impl EngineMonitor {
    /// Creates the monitor of an instance.
    pub fn new(instance: Rc<Instance>, connector: Rc<dyn EngineConnector>) -> Rc<Self> {
        Rc::new(Self { instance, connector })
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(self.clone().maintain_engines());
        actix_rt::spawn(self.clone().read_reports());
    }

    async fn maintain_engines(self: Rc<Self>) {
        loop {
            self.add_engines().await;
            self.check_incarnations();
            tokio::select! {
                () = self.instance.cluster.servers_changed() => self.update_engine_states(),
                () = self.instance.home.shard_added() => {}
                () = tokio::time::sleep(ENGINE_UPDATE_PERIOD) => {}
            }
        }
    }

    /// Checks the engines for new incarnations.
    fn check_incarnations(&self) {
        for (_, dispatcher) in self.instance.home.dispatchers() {
            for engine in dispatcher.engines() {
                let quarantine = self.instance.quarantine.clone();
                actix_rt::spawn(async move {
                    let Ok(status) = engine.client.status().await else { return };
                    quarantine.observe(&engine, status.incarnation);
                });
            }
        }
    }

    /// Cordons engines that are not live, and removes those that are gone.
    fn update_engine_states(&self) {
        for (_, dispatcher) in self.instance.home.dispatchers() {
            for engine in dispatcher.engines() {
                match self.instance.directory.find(&engine.name) {
                    Some(server) if server.is_live => {}
                    Some(_) => dispatcher.cordon_engine(&engine.name),
                    None => dispatcher.remove_engine(&engine.name),
                }
            }
        }
    }

    /// Adds the servers of each shard to its dispatcher if this instance schedules the shard.
    async fn add_engines(&self) {
        let Some(active_configuration) = self.instance.active_configuration() else { return };
        let shards = self.instance.home.shards();
        for route in active_configuration.declarations.routes.values() {
            let RouteTarget::Completion(completion) = &route.target else { continue };
            for shard in shards.all_for_route(completion) {
                // This instance also receives requests while their usual home is unreachable.
                if self.instance.home_chooser.is_home_of(&shard)
                    || self.instance.home.has_dispatcher(&shard)
                {
                    self.add_shard_engines(completion, &shard).await;
                }
            }
        }
    }

    async fn add_shard_engines(&self, route: &CompletionRoute, shard: &Shard) {
        let shards = self.instance.home.shards();
        let dispatcher = self.instance.home.dispatcher(shard);
        for server in self.instance.directory.all() {
            let is_of_pool = server.pool == shard.prefill || server.pool == shard.decode;
            if !is_of_pool || !shards.contains(route, shard, &server.name) {
                continue;
            }
            self.add_engine(&dispatcher, &server).await;
        }
    }

    async fn add_engine(&self, dispatcher: &Dispatcher, server: &KnownServer) {
        if !server.is_live {
            dispatcher.cordon_engine(&server.name);
            return;
        }
        if dispatcher.is_schedulable(&server.name) {
            return;
        }
        let engine = self.connector.connect(server.address);
        let Ok(status) = engine.status().await else { return };
        let Some(spec) = to_server_spec(&self.instance, server, &status) else { return };
        let name = server.name.clone();
        let handle = EngineHandle::new(name, server.address, engine, status.incarnation);
        dispatcher.add_engine(spec, handle);
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
    let Ok(load) = engine.client.load().await else { return };
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
    let Ok(events) = engine.client.cache_events(after).await else { return };
    engine.last_cache_event.set(events.last.max(after));
    dispatcher.cache_events(&engine.name, &events.stored, &events.evicted, events.gap);
}

fn to_server_spec(
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
