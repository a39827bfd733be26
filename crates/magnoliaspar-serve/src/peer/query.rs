//! Queries and commands between instances on behalf of operators.

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

/// Timeout for the answer of another instance.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A query or a command to one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum PeerQuestion {
    /// Requests recorded events.
    Events {
        /// The selection, in the text form of an
        /// [`EventFilter`](magnoliaspar_event::EventFilter).
        filter: Box<str>,
    },
    /// Requests the state of the instance.
    Status,
    /// Requests the instance's part of the answer to an operator's query.
    Rows {
        /// The query as an operator writes it.
        query: Box<str>,
    },
    /// Commands the instance to start or stop draining.
    Drain {
        /// True to start draining, false to stop.
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
    /// The command was executed.
    Done,
}

/// An error when querying another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum PeerQueryError {
    /// it did not answer within {0:?}
    TimedOut(Duration),
    /// it did not answer: {0}
    Failed(Box<str>),
    /// its answer cannot be read: {0}
    Malformed(Box<str>),
}

impl std::error::Error for PeerQueryError {}

/// A question with the hybrid logical clock of the sender.
#[derive(Serialize, Deserialize)]
struct QuestionMessage {
    stamp: Stamp,
    question: PeerQuestion,
}

/// A reply with the hybrid logical clock of the sender.
#[derive(Serialize, Deserialize)]
struct ReplyMessage {
    stamp: Stamp,
    reply: PeerReply,
}

impl PeerClient {
    /// Returns the name of the instance.
    pub fn instance(&self) -> &InstanceName {
        &self.name
    }

    /// Sends a question and waits for the reply up to [`ANSWER_TIMEOUT`].
    pub async fn ask(&self, question: &PeerQuestion) -> Result<PeerReply, PeerQueryError> {
        match tokio::time::timeout(ANSWER_TIMEOUT, self.ask_without_timeout(question)).await {
            Ok(result) => result,
            Err(_) => Err(PeerQueryError::TimedOut(ANSWER_TIMEOUT)),
        }
    }

    async fn ask_without_timeout(
        &self,
        question: &PeerQuestion,
    ) -> Result<PeerReply, PeerQueryError> {
        let asked = QuestionMessage { stamp: self.journal.stamp(), question: question.clone() };
        let text = serde_json::to_string(&asked).expect("questions have text keys only");
        let req = self.with_key(QueryRequest { text, options: Vec::new() });
        let answered = self.grpc_client().query(req).await;
        let answer = answered.map_err(|status| PeerQueryError::Failed(format_status(&status)))?;
        let replied: ReplyMessage = serde_json::from_slice(&answer.into_inner().content)
            .map_err(|error| PeerQueryError::Malformed(error.to_string().into()))?;
        self.journal.observe(replied.stamp);
        Ok(replied.reply)
    }
}

/// Handles a question of another instance.
pub async fn answer(instance: &Rc<Instance>, req: &QueryRequest) -> Result<QueryAnswer, Status> {
    let asked: QuestionMessage = serde_json::from_str(&req.text)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    instance.journal.observe(asked.stamp);
    let reply = operator::answer_peer(instance, asked.question)
        .map_err(|error| Status::invalid_argument(error.message.to_string()))?;
    let replied = ReplyMessage { stamp: instance.journal.stamp(), reply };
    let content = serde_json::to_vec(&replied).expect("replies have text keys only");
    Ok(QueryAnswer { content })
}

fn format_status(status: &Status) -> Box<str> {
    format!("{:?}, {}", status.code(), status.message()).into()
}
