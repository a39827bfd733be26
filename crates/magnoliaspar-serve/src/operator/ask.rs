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

/// How long the platform's list may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// What all instances answered to one question.
#[derive(Debug)]
pub struct Parts<T> {
    /// The parts of the instances that answered, the own one first.
    pub answered: Vec<T>,
    /// The instances that did not answer.
    pub gaps: Vec<AnswerGap>,
}

impl<T> Parts<T> {
    /// Returns the instances that did not answer.
    pub fn silent(&self) -> Vec<InstanceName> {
        self.gaps.iter().map(|gap| gap.instance.clone()).collect()
    }
}

/// Asks all known instances for events.
pub async fn events(instance: &Rc<Instance>, filter: &EventFilter) -> Parts<EventPart> {
    let question = PeerQuestion::Events { filter: filter.to_string().into() };
    let own = instance.journal.part(filter);
    ask_others(instance, &question, own, |reply| match reply {
        PeerReply::Events(part) => Some(part),
        _ => None,
    })
    .await
}

/// Asks all known instances for their state.
pub async fn statuses(instance: &Rc<Instance>) -> Parts<StatusResponse> {
    let own = status::describe(instance);
    ask_others(instance, &PeerQuestion::Status, own, |reply| match reply {
        PeerReply::Status(status) => Some(status),
        _ => None,
    })
    .await
}

/// Asks all known instances for their rows of a subject.
pub async fn rows(instance: &Rc<Instance>, subject: &Subject) -> Parts<Answer> {
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

/// Returns links to all other instances, whether they answer or not: those of the platform's list, if it can be read in time, and those
/// that the own zone and the contacts of other zones are known to have.
pub async fn others(instance: &Instance) -> Vec<PeerClient> {
    let mut addresses = instance.zone_homes.peers();
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
    let mut others = Vec::new();
    for (name, known) in addresses {
        others.push(instance.clients.client(&name, known.peer_address));
    }
    others
}

/// Answers the question of another instance.
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
            drain::set_own(instance, is_draining, &operator, &command);
            Ok(PeerReply::Done)
        }
    }
}

async fn ask_others<T>(
    instance: &Rc<Instance>,
    question: &PeerQuestion,
    own: T,
    read: impl Fn(PeerReply) -> Option<T>,
) -> Parts<T> {
    let mut parts = Parts { answered: vec![own], gaps: Vec::new() };
    let mut asked = Vec::new();
    for other in others(instance).await {
        asked.push(ask_one(other, question));
    }
    for Asked { name, result } in join_all(asked).await {
        let cause = match result.map(&read) {
            Ok(Some(part)) => {
                parts.answered.push(part);
                continue;
            }
            Ok(None) => "it answered another question".into(),
            Err(silence) => silence.to_string().into(),
        };
        parts.gaps.push(AnswerGap { instance: name, cause });
    }
    parts
}

struct Asked {
    name: InstanceName,
    result: Result<PeerReply, PeerQueryError>,
}

async fn ask_one(client: PeerClient, question: &PeerQuestion) -> Asked {
    let result = client.ask(question).await;
    Asked { name: client.instance().clone(), result }
}
