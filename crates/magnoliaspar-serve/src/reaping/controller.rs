//! Runs the reaper and renews stream leases.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use magnoliaspar_core::ServerName;
use magnoliaspar_engine::EngineConnector;
use magnoliaspar_reaper::{Question, Reaped, Reaper, ReaperConfig, ReaperId, Renewal, StreamList};
use magnoliaspar_store::ServerRole;
use magnoliaspar_wire::peer::reap_answer::Answer as WireAnswer;
use magnoliaspar_wire::peer::reap_request::Request as WireRequest;
use magnoliaspar_wire::peer::{ReapAnswer, ReapRequest};

use super::convert::{
    from_acknowledgement, from_answer, from_question, from_renewal, to_acknowledgement, to_answer,
    to_question, to_renewal,
};
use crate::instance::Instance;
use crate::peer::BadMessage;

/// Interval between two reads of an engine's list of streams.
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// Interval between two rounds of due questions and lease renewals.
const ROUND_PERIOD: Duration = Duration::from_secs(1);

/// Runs the reaper for the servers whose home is this instance, and renews the leases on the
/// streams that this instance drives.
pub struct ReapingController {
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
}

impl ReapingController {
    /// Creates the controller of an instance.
    pub fn new(instance: Rc<Instance>, connector: Rc<dyn EngineConnector>) -> Rc<Self> {
        Rc::new(Self { instance, connector })
    }

    /// Creates the reaper for a controller.
    pub fn reaper(id: ReaperId) -> RefCell<Reaper> {
        RefCell::new(Reaper::new(id, ReaperConfig::default()))
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(self.clone().poll_stream_lists());
        actix_rt::spawn(self.clone().run_rounds());
    }

    async fn poll_stream_lists(self: Rc<Self>) {
        let mut previous = BTreeSet::new();
        loop {
            tokio::time::sleep(LIST_PERIOD).await;
            self.update_instances();
            let servers = self.home_servers();
            for server in previous.difference(&servers) {
                self.instance.reaper.borrow_mut().forget_server(server);
            }
            for server in &servers {
                actix_rt::spawn(self.clone().read_list(server.clone()));
            }
            previous = servers;
        }
    }

    async fn run_rounds(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ROUND_PERIOD).await;
            self.update_reapers();
            let now = self.instance.clock.now();
            for renewal in self.instance.ownership.renewals() {
                actix_rt::spawn(self.clone().send_renewal(renewal));
            }
            self.instance.ownership.release_expired();
            let questions = self.instance.reaper.borrow_mut().questions(now);
            for question in questions {
                actix_rt::spawn(self.clone().send_question(question));
            }
            let unconfirmed = self.instance.reaper.borrow().servers_to_list_again(now);
            for server in unconfirmed {
                actix_rt::spawn(self.clone().read_list(server));
            }
        }
    }

    /// Reads the list of a server's streams and cancels the orphaned ones.
    async fn read_list(self: Rc<Self>, name: ServerName) {
        let Some(server) = self.instance.directory.find(&name) else { return };
        let engine = self.connector.connect(server.address);
        let read_started_at = self.instance.clock.now();
        let Ok(streams) = engine.streams().await else { return };
        let read_ended_at = self.instance.clock.now();
        let list =
            StreamList { read_started_at, read_ended_at, incarnation: server.incarnation, streams };
        let reaped = self.instance.reaper.borrow_mut().merge_list(&name, &list);
        for orphan in reaped {
            self.record_reaped(&orphan);
            if let Err(error) = engine.cancel(&orphan.key.stream).await {
                info!(server = name.as_str(); "failed to cancel an orphaned stream: {error}");
            }
        }
    }

    fn record_reaped(&self, orphan: &Reaped) {
        info!(
            server = orphan.key.server.as_str(),
            stream = orphan.key.stream.request.as_str(),
            pieces = orphan.pieces;
            "freeing the engine memory of an orphaned stream: {}", orphan.reason
        );
        self.instance.metrics.reaped_pieces.inc_by(orphan.pieces.into());
    }

    async fn send_question(self: Rc<Self>, question: Question) {
        if question.to == *self.instance.cluster.name() {
            let answer = self.instance.ownership.answer(&question);
            let now = self.instance.clock.now();
            return self.instance.reaper.borrow_mut().answered(now, &answer);
        }
        let request = WireRequest::Question(to_question(&question));
        let Some(WireAnswer::Streams(streams)) = self.call(&question.to, request).await else {
            return;
        };
        let Ok(answer) = from_answer(&streams) else { return };
        let now = self.instance.clock.now();
        self.instance.reaper.borrow_mut().answered(now, &answer);
    }

    async fn send_renewal(self: Rc<Self>, renewal: Renewal) {
        let now = self.instance.clock.now();
        if renewal.to.instance == *self.instance.cluster.name() {
            let ack = self.instance.reaper.borrow_mut().renew(now, &renewal);
            if let Some(ack) = ack {
                self.instance.ownership.acknowledged(&ack);
            }
            return;
        }
        let request = WireRequest::Renewal(to_renewal(&renewal));
        let answer = self.call(&renewal.to.instance, request).await;
        let Some(WireAnswer::Acknowledgement(ack)) = answer else { return };
        let Ok(ack) = from_acknowledgement(&ack) else { return };
        self.instance.ownership.acknowledged(&ack);
    }

    async fn call(
        &self,
        to: &magnoliaspar_core::InstanceName,
        request: WireRequest,
    ) -> Option<WireAnswer> {
        let address = self.instance.cluster.address_of(to)?;
        let client = self.instance.clients.client(to, address);
        client.reap(ReapRequest { request: Some(request) }).await?.answer
    }

    /// Updates the reaper's set of instances that may drive streams: all not certainly gone.
    fn update_instances(&self) {
        let instances = self.instance.cluster.possible_instances();
        self.instance.reaper.borrow_mut().set_instances(instances);
    }

    /// Updates the reaper of each engine of the zone, and removes reapers that are gone.
    fn update_reapers(&self) {
        for server in self.instance.directory.all() {
            let Some(home) = self.instance.cluster.home_of(&server.name) else { continue };
            let Some(incarnation) = self.instance.cluster.incarnation_of(&home) else { continue };
            let reaper = ReaperId { instance: home, incarnation };
            self.instance.ownership.set_reaper(&server.name, reaper);
        }
        // A process has certainly ended if its instance is no longer possible, or if the instance
        // runs with a later incarnation.
        let possible = self.instance.cluster.possible_instances();
        self.instance.ownership.remove_gone_reapers(|reaper| {
            let incarnation = possible.get(&reaper.instance);
            incarnation.is_none_or(|incarnation| *incarnation > reaper.incarnation)
        });
    }

    /// Returns the engines whose home is this instance.
    fn home_servers(&self) -> BTreeSet<ServerName> {
        let mut servers = BTreeSet::new();
        for server in self.instance.directory.all() {
            let home = self.instance.cluster.home_of(&server.name);
            let is_own = home.as_ref() == Some(self.instance.cluster.name());
            if is_own && server.role != ServerRole::Service {
                servers.insert(server.name);
            }
        }
        servers
    }
}

impl Instance {
    /// Handles a question of a reaper or a lease renewal of a stream owner on another instance.
    pub fn answer_reap(&self, req: &ReapRequest) -> Result<ReapAnswer, BadMessage> {
        let answer = match &req.request {
            Some(WireRequest::Question(question)) => {
                let question = from_question(self.cluster.name(), question)?;
                let answer = self.ownership.answer(&question);
                Some(WireAnswer::Streams(to_answer(&answer)))
            }
            Some(WireRequest::Renewal(renewal)) => {
                let renewal = from_renewal(renewal)?;
                let ack = self.reaper.borrow_mut().renew(self.clock.now(), &renewal);
                ack.map(|ack| WireAnswer::Acknowledgement(to_acknowledgement(&ack)))
            }
            None => return Err(BadMessage("a request to or from a reaper is empty".into())),
        };
        Ok(ReapAnswer { answer })
    }
}
