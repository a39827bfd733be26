//! Queries to all instances, and answers to the queries of other instances.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use magnoliaspar_core::InstanceName;
use magnoliaspar_event::{EventFilter, EventPart};
use magnoliaspar_query::api::{ErrorCode, ErrorResponse, StatusResponse};
use magnoliaspar_query::{Answer, AnswerGap, Query, Statement, Subject};
use magnoliaspar_store::ListedKind;
use tokio::time::timeout;

use super::{drain, rows, status};
use crate::instance::Instance;
use crate::peer::{KnownInstance, PeerClient, PeerQueryError, PeerQuestion, PeerReply};

/// Timeout for reading the platform's list of instances.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// The combined answers of all instances to one question.
#[derive(Debug)]
pub struct Gathered<T> {
    /// The answers of this instance, which is the first, and of those that answered.
    pub parts: Vec<T>,
    /// The instances that did not answer, with the causes.
    pub gaps: Vec<AnswerGap>,
}

impl<T> Gathered<T> {
    /// Returns the instances that did not answer.
    pub fn unanswered(&self) -> Vec<InstanceName> {
        self.gaps.iter().map(|gap| gap.instance.clone()).collect()
    }
}

/// Asks all known instances for events.
pub async fn events(instance: &Rc<Instance>, filter: &EventFilter) -> Gathered<EventPart> {
    let question = PeerQuestion::Events { filter: filter.to_string().into() };
    let own = instance.journal.part(filter);
    ask_others(instance, &question, own, |reply| match reply {
        PeerReply::Events(part) => Some(part),
        _ => None,
    })
    .await
}

/// Asks all known instances for their state.
pub async fn statuses(instance: &Rc<Instance>) -> Gathered<StatusResponse> {
    let own = status::describe(instance);
    ask_others(instance, &PeerQuestion::Status, own, |reply| match reply {
        PeerReply::Status(status) => Some(status),
        _ => None,
    })
    .await
}

/// Asks all known instances for their rows of a subject.
pub async fn rows(instance: &Rc<Instance>, subject: &Subject) -> Gathered<Answer> {
    let subject = subject.clone();
    let own = rows::own(instance, &subject);
    let query = Query { subject, conditions: Vec::new(), since: None, limit: None };
    let question = PeerQuestion::Rows { query: query.to_string().into() };
    ask_others(instance, &question, own, |reply| match reply {
        PeerReply::Rows(answer) => Some(answer),
        _ => None,
    })
    .await
}

/// Returns clients of all other known instances, reachable or not.
///
/// These are the instances of the platform's list, if it can be read in time, those of the own
/// availability zone and those that are known as contacts of other zones.
pub async fn other_instances(instance: &Instance) -> Vec<PeerClient> {
    let mut addresses = instance.home_chooser.peers();
    if let Ok(Ok(listed)) = timeout(LIST_TIMEOUT, instance.cluster.list.list(None)).await {
        for entry in listed {
            let is_instance = matches!(entry.kind, ListedKind::Instance { .. });
            let Ok(name) = InstanceName::try_from(&*entry.name) else { continue };
            if !is_instance || name == instance.settings.instance {
                continue;
            }
            addresses.insert(name, KnownInstance { zone: entry.zone, peer_address: entry.address });
        }
    }
    let mut clients = Vec::new();
    for (name, known) in addresses {
        clients.push(instance.clients.client(&name, known.peer_address));
    }
    clients
}

/// Answers a question of another instance.
pub fn answer_peer(
    instance: &Rc<Instance>,
    question: PeerQuestion,
) -> Result<PeerReply, ErrorResponse> {
    match question {
        PeerQuestion::Events { filter } => {
            let filter = EventFilter::try_from(&*filter)
                .map_err(|error| ErrorResponse::new(ErrorCode::BadRequest, error.to_string()))?;
            Ok(PeerReply::Events(instance.journal.part(&filter)))
        }
        PeerQuestion::Status => Ok(PeerReply::Status(status::describe(instance))),
        PeerQuestion::Rows { query } => match Statement::parse(&query)? {
            Statement::Query(query) => Ok(PeerReply::Rows(rows::own(instance, &query.subject))),
            Statement::Command(_) => {
                let message = "a question about rows must be a query";
                Err(ErrorResponse::new(ErrorCode::BadRequest, message))
            }
        },
        PeerQuestion::Drain { is_draining, operator, command } => {
            drain::drain_self(instance, is_draining, &operator, &command);
            Ok(PeerReply::Done)
        }
    }
}

/// Sends a question to all other instances at once, and adds their answers to the own one.
async fn ask_others<T>(
    instance: &Rc<Instance>,
    question: &PeerQuestion,
    own: T,
    extract: impl Fn(PeerReply) -> Option<T>,
) -> Gathered<T> {
    let mut gathered = Gathered { parts: vec![own], gaps: Vec::new() };
    let mut pending = Vec::new();
    for client in other_instances(instance).await {
        pending.push(ask_one(client, question));
    }
    for AskResult { name, result } in join_all(pending).await {
        let cause = match result.map(&extract) {
            Ok(Some(part)) => {
                gathered.parts.push(part);
                continue;
            }
            Ok(None) => "it answered another question".into(),
            Err(error) => error.to_string().into(),
        };
        gathered.gaps.push(AnswerGap { instance: name, cause });
    }
    gathered
}

struct AskResult {
    name: InstanceName,
    result: Result<PeerReply, PeerQueryError>,
}

async fn ask_one(client: PeerClient, question: &PeerQuestion) -> AskResult {
    let result = client.ask(question).await;
    AskResult { name: client.instance().clone(), result }
}
