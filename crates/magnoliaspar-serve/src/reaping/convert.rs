//! Conversions between gRPC messages and those of the reaper.

use magnoliaspar_core::{AttemptId, Incarnation, InstanceName, RequestId, ServerName};
use magnoliaspar_engine::StreamId;
use magnoliaspar_reaper::{Acknowledgement, Answer, Question, ReaperId, Renewal, StreamKey};
use magnoliaspar_wire::peer;

use crate::peer::BadMessage;

/// Converts a question to a message.
pub fn to_question(question: &Question) -> peer::StreamQuestion {
    peer::StreamQuestion {
        number: question.number,
        streams: question.streams.iter().map(to_held_stream).collect(),
    }
}

/// Converts a message to a question to the instance `to`.
pub fn from_question(
    to: &InstanceName,
    question: &peer::StreamQuestion,
) -> Result<Question, BadMessage> {
    let streams = from_held_streams(&question.streams)?;
    Ok(Question { to: to.clone(), number: question.number, streams })
}

/// Converts an answer to a message.
pub fn to_answer(answer: &Answer) -> peer::StreamAnswer {
    peer::StreamAnswer {
        from: answer.from.to_string(),
        number: answer.number,
        disowned: answer.disowned.iter().map(to_held_stream).collect(),
    }
}

/// Converts a message to an answer.
pub fn from_answer(answer: &peer::StreamAnswer) -> Result<Answer, BadMessage> {
    Ok(Answer {
        from: InstanceName::try_from(answer.from.as_str())?,
        number: answer.number,
        disowned: from_held_streams(&answer.disowned)?,
    })
}

/// Converts a lease renewal to a message.
pub fn to_renewal(renewal: &Renewal) -> peer::LeaseRenewal {
    peer::LeaseRenewal {
        to: Some(to_reaper_life(&renewal.to)),
        owner: renewal.owner.to_string(),
        life: renewal.incarnation.0,
        number: renewal.number,
        servers: renewal.servers.iter().map(|server| server.to_string()).collect(),
        released: renewal.released.iter().map(|server| server.to_string()).collect(),
    }
}

/// Converts a message to a lease renewal.
pub fn from_renewal(renewal: &peer::LeaseRenewal) -> Result<Renewal, BadMessage> {
    Ok(Renewal {
        to: from_reaper_life(renewal.to.as_ref())?,
        owner: InstanceName::try_from(renewal.owner.as_str())?,
        incarnation: Incarnation(renewal.life),
        number: renewal.number,
        servers: from_servers(&renewal.servers)?,
        released: from_servers(&renewal.released)?,
    })
}

/// Converts an acknowledgement to a message.
pub fn to_acknowledgement(ack: &Acknowledgement) -> peer::LeaseAcknowledgement {
    peer::LeaseAcknowledgement { from: Some(to_reaper_life(&ack.from)), number: ack.number }
}

/// Converts a message to an acknowledgement.
pub fn from_acknowledgement(
    ack: &peer::LeaseAcknowledgement,
) -> Result<Acknowledgement, BadMessage> {
    Ok(Acknowledgement { from: from_reaper_life(ack.from.as_ref())?, number: ack.number })
}

fn to_held_stream(key: &StreamKey) -> peer::HeldStream {
    peer::HeldStream {
        server: key.server.to_string(),
        request: key.stream.request.to_string(),
        attempt: key.stream.attempt.0,
    }
}

fn from_held_streams(streams: &[peer::HeldStream]) -> Result<Vec<StreamKey>, BadMessage> {
    let mut keys = Vec::with_capacity(streams.len());
    for held in streams {
        let request = RequestId::try_from(held.request.as_str())?;
        keys.push(StreamKey {
            server: ServerName::try_from(held.server.as_str())?,
            stream: StreamId { request, attempt: AttemptId(held.attempt) },
        });
    }
    Ok(keys)
}

fn to_reaper_life(reaper: &ReaperId) -> peer::ReaperLife {
    peer::ReaperLife { instance: reaper.instance.to_string(), life: reaper.incarnation.0 }
}

fn from_reaper_life(reaper: Option<&peer::ReaperLife>) -> Result<ReaperId, BadMessage> {
    let Some(reaper) = reaper else { return Err(BadMessage("a lease names no reaper".into())) };
    Ok(ReaperId {
        instance: InstanceName::try_from(reaper.instance.as_str())?,
        incarnation: Incarnation(reaper.life),
    })
}

fn from_servers(names: &[String]) -> Result<Vec<ServerName>, BadMessage> {
    let mut servers = Vec::with_capacity(names.len());
    for name in names {
        servers.push(ServerName::try_from(name.as_str())?);
    }
    Ok(servers)
}
