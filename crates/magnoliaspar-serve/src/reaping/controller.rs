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

/// How often the lists of streams are read.
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// How often questions and renewals are sent that are due.
const ASK_PERIOD: Duration = Duration::from_secs(1);

/// Runs the reaper of the servers of which this instance is the home, and renews the leases on the
/// streams that it drives itself.
pub struct ReapingController {
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
}

impl ReapingController {
    /// Creates the controller of an instance.
    pub fn new(instance: Rc<Instance>, connector: Rc<dyn EngineConnector>) -> Rc<Self> {
        Rc::new(Self { instance, connector })
    }

    /// Creates the reaper that a controller works with.
    pub fn reaper(id: ReaperId) -> RefCell<Reaper> {
        RefCell::new(Reaper::new(id, ReaperConfig::default()))
    }

    /// Starts to work.
    pub fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(self.clone().read_lists());
        actix_rt::spawn(self.clone().ask());
    }

    async fn read_lists(self: Rc<Self>) {
        let mut former = BTreeSet::new();
        loop {
            tokio::time::sleep(LIST_PERIOD).await;
            self.learn_instances();
            let servers = self.own_servers();
            for server in former.difference(&servers) {
                self.instance.reaper.borrow_mut().forget_server(server);
            }
            for server in &servers {
                actix_rt::spawn(self.clone().read_list(server.clone()));
            }
            former = servers;
        }
    }

    async fn ask(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ASK_PERIOD).await;
            self.learn_reapers();
            let now = self.instance.clock.now();
            for renewal in self.instance.ownership.renewals() {
                actix_rt::spawn(self.clone().renew(renewal));
            }
            self.instance.ownership.give_up_lapsed();
            let questions = self.instance.reaper.borrow_mut().questions(now);
            for question in questions {
                actix_rt::spawn(self.clone().question(question));
            }
            let unclaimed = self.instance.reaper.borrow().servers_to_list_again(now);
            for server in unclaimed {
                actix_rt::spawn(self.clone().read_list(server));
            }
        }
    }

    /// Reads the streams of a server, and cancels those that nobody drives.
    async fn read_list(self: Rc<Self>, name: ServerName) {
        let Some(server) = self.instance.directory.find(&name) else { return };
        let engine = self.connector.connect(server.address);
        let read_from = self.instance.clock.now();
        let Ok(streams) = engine.streams().await else { return };
        let read_to = self.instance.clock.now();
        let list = StreamList { read_from, read_to, incarnation: server.incarnation, streams };
        let reaped = self.instance.reaper.borrow_mut().listed(&name, &list);
        for orphan in reaped {
            self.report(&orphan);
            if let Err(error) = engine.cancel(&orphan.key.stream).await {
                info!(server = name.as_str(); "an orphan cannot be cancelled now: {error}");
            }
        }
    }

    fn report(&self, orphan: &Reaped) {
        info!(
            server = orphan.key.server.as_str(),
            stream = orphan.key.stream.request.as_str(),
            pieces = orphan.pieces;
            "engine memory is freed: {}", orphan.reason
        );
        self.instance.metrics.reaped_pieces.inc_by(orphan.pieces.into());
    }

    async fn question(self: Rc<Self>, question: Question) {
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

    async fn renew(self: Rc<Self>, renewal: Renewal) {
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

    /// Takes in which instances may drive streams: all that the platform lists or others hear of.
    fn learn_instances(&self) {
        let instances = self.instance.cluster.possible_instances();
        self.instance.reaper.borrow_mut().set_instances(instances);
    }

    /// Takes in which instance reaps each engine of the zone.
    fn learn_reapers(&self) {
        for server in self.instance.directory.all() {
            let Some(home) = self.instance.cluster.home_of(&server.name) else { continue };
            let Some(incarnation) = self.instance.cluster.life_of(&home) else { continue };
            let reaper = ReaperId { instance: home, incarnation };
            self.instance.ownership.set_reaper(&server.name, reaper);
        }
        // A process has certainly ended if the platform no longer lists it, or if it runs again.
        let possible = self.instance.cluster.possible_instances();
        self.instance.ownership.forget_gone(|reaper| {
            let life = possible.get(&reaper.instance);
            life.is_none_or(|life| *life > reaper.incarnation)
        });
    }

    /// Returns the engines of which this instance is the home.
    fn own_servers(&self) -> BTreeSet<ServerName> {
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
    /// Answers a reaper or an owner of streams on another instance.
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
