//! What instances ask each other on behalf of operators.

use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use magnoliaspar_core::InstanceName;
use magnoliaspar_event::{EventPart, Stamp};
use magnoliaspar_query::Answer;
use magnoliaspar_query::api::StatusResponse;
use magnoliaspar_wire::peer::{QueryAnswer, QueryRequest};
use serde::{Deserialize, Serialize};
use tonic::Status;

use super::client::PeerClient;
use crate::instance::Instance;
use crate::operator;

/// How long another instance may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A question to one instance about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum PeerQuestion {
    /// Which events it has recorded.
    Events {
        /// Which events are asked for, in the form of an
        /// [`EventFilter`](magnoliaspar_event::EventFilter).
        filter: Box<str>,
    },
    /// What state it is in.
    Status,
    /// Its part of the answer to a query.
    Rows {
        /// The query as an operator writes it.
        query: Box<str>,
    },
    /// That it drains, or stops draining.
    Drain {
        /// Whether it drains.
        is_draining: bool,
        /// The name of the operator who gave the command.
        operator: Box<str>,
        /// The command as the operator wrote it.
        command: Box<str>,
    },
}

/// The answer to a [`PeerQuestion`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "reply", content = "content", rename_all = "snake_case")]
pub enum PeerReply {
    /// The events.
    Events(EventPart),
    /// The state.
    Status(StatusResponse),
    /// The rows.
    Rows(Answer),
    /// The command was followed.
    Done,
}

/// Why an instance gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum PeerSilence {
    /// it did not answer within {0:?}
    TimedOut(Duration),
    /// it did not answer: {0}
    Failed(Box<str>),
    /// its answer cannot be read: {0}
    Malformed(Box<str>),
}

impl std::error::Error for PeerSilence {}

/// A question with the clock of the instance that asks.
#[derive(Serialize, Deserialize)]
struct Asked {
    stamp: Stamp,
    question: PeerQuestion,
}

/// An answer with the clock of the instance that gives it.
#[derive(Serialize, Deserialize)]
struct Replied {
    stamp: Stamp,
    reply: PeerReply,
}

impl PeerClient {
    /// Returns the name of the instance.
    pub fn instance(&self) -> &InstanceName {
        &self.name
    }

    /// Asks the instance and waits for its answer for a bounded time.
    pub async fn ask(&self, question: &PeerQuestion) -> Result<PeerReply, PeerSilence> {
        match tokio::time::timeout(ANSWER_TIMEOUT, self.ask_patiently(question)).await {
            Ok(result) => result,
            Err(_) => Err(PeerSilence::TimedOut(ANSWER_TIMEOUT)),
        }
    }

    async fn ask_patiently(&self, question: &PeerQuestion) -> Result<PeerReply, PeerSilence> {
        let asked = Asked { stamp: self.journal.stamp(), question: question.clone() };
        let text = serde_json::to_string(&asked).expect("questions have text keys only");
        let req = self.sign(QueryRequest { text, options: Vec::new() });
        let answered = self.generated().query(req).await;
        let answer = answered.map_err(|status| PeerSilence::Failed(describe(&status)))?;
        let replied: Replied = serde_json::from_slice(&answer.into_inner().content)
            .map_err(|error| PeerSilence::Malformed(error.to_string().into()))?;
        self.journal.observe(replied.stamp);
        Ok(replied.reply)
    }
}

/// Answers a question of another instance.
pub async fn answer(instance: &Rc<Instance>, req: &QueryRequest) -> Result<QueryAnswer, Status> {
    let asked: Asked = serde_json::from_str(&req.text)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    instance.journal.observe(asked.stamp);
    let reply = operator::answer_peer(instance, asked.question)
        .map_err(|error| Status::invalid_argument(error.message.to_string()))?;
    let replied = Replied { stamp: instance.journal.stamp(), reply };
    let content = serde_json::to_vec(&replied).expect("replies have text keys only");
    Ok(QueryAnswer { content })
}

fn describe(status: &Status) -> Box<str> {
    format!("{:?}, {}", status.code(), status.message()).into()
}
