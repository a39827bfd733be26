//! Runs completions and relays their answers, whole or as server-sent events.

use std::io;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_core::Stream;
use futures_util::stream;
use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_event::EventKind;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::answer::AnswerBuilder;
use super::completion::CompletionKind;
use super::context::CallContext;
use super::delivery::DeliveredBody;
use super::respond::{json, refusal_body};
use crate::run::{AnswerReader, Completed, CompletionRequest, RunResult, RunUpdate, ScopedId};

/// Header with the index of the last token that the caller received before its connection broke.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Maximum number of chunks buffered for a caller that reads slowly.
const CHUNK_BUFFER_CAPACITY: usize = 16;

/// Maximum delay of the head of a streamed answer, during which a refusal can still set the status.
const EARLY_REFUSAL_WINDOW: Duration = Duration::from_millis(250);

/// Period of the keep-alive comments on an idle stream; writing one detects a disconnected caller.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);

/// A server-sent comment, which callers ignore.
const KEEP_ALIVE: &[u8] = b": waiting\n\n";

/// Runs a completion and relays its answer.
pub async fn answer(
    cx: &mut CallContext,
    kind: CompletionKind,
) -> Result<Response<BoxBody>, Refusal> {
    let req = build_request(cx)?;
    let Some(call) = &cx.completion else {
        return Err(Refusal::not_run(RefusalCode::BadRequest, "the body was not read"));
    };
    let builder = AnswerBuilder { kind, id: cx.request_id.clone(), model: call.model.clone() };
    let is_streamed = call.is_streamed;
    cx.instance.metrics.requests.inc();
    let (route, workspace) = (req.route.clone(), req.id.workspace.clone());
    cx.instance.journal.record(&cx.request_id, EventKind::Accepted { route, workspace });
    let mut reader = cx.instance.run_opener.open(req).await?;
    if !is_streamed {
        return answer_complete(cx, reader, builder).await;
    }
    // A caller that sent no identifier needs the generated one to resume after a broken connection,
    // so the head is sent at once; a refusal then follows in the stream.
    let first = if cx.has_caller_id { wait_for_first_update(&mut reader).await? } else { None };
    Ok(answer_streamed(cx, reader, builder, first))
}

fn build_request(cx: &CallContext) -> Result<CompletionRequest, Refusal> {
    let Some(call) = &cx.completion else {
        return Err(Refusal::not_run(RefusalCode::BadRequest, "the body was not read"));
    };
    let route = cx.chosen_route()?;
    let workspace = cx.caller_workspace()?.name.clone();
    Ok(CompletionRequest {
        id: ScopedId { workspace, request: cx.request_id.clone() },
        route: route.name.clone(),
        prompt: call.prompt.clone(),
        max_tokens: call.max_tokens,
        accepted_at: cx.accepted_at,
        deadline: cx.deadline_within(route.route.limits.duration),
        from: first_token_index(cx)?,
        emitted: Vec::new(),
        placement: None,
    })
}

/// Returns the index of the first token to send, which is not 0 if the caller resumes an answer.
fn first_token_index(cx: &CallContext) -> Result<u32, Refusal> {
    let Some(text) = cx.head.header(LAST_EVENT_HEADER) else { return Ok(0) };
    let Ok(last) = text.parse::<u32>() else {
        let message = "last-event-id must be the number of a token";
        return Err(Refusal::not_run(RefusalCode::BadRequest, message));
    };
    Ok(last.saturating_add(1))
}

/// Waits briefly for the first update, so that an early refusal can set the HTTP status.
async fn wait_for_first_update(reader: &mut AnswerReader) -> Result<Option<RunUpdate>, Refusal> {
    let Ok(update) = tokio::time::timeout(EARLY_REFUSAL_WINDOW, reader.next()).await else {
        return Ok(None);
    };
    match update {
        RunUpdate::Ended(RunResult::Refused(refusal)) => Err(refusal),
        RunUpdate::Superseded => Err(superseded()),
        update => Ok(Some(update)),
    }
}

async fn answer_complete(
    cx: &CallContext,
    mut reader: AnswerReader,
    builder: AnswerBuilder,
) -> Result<Response<BoxBody>, Refusal> {
    let mut text = String::new();
    loop {
        match reader.next().await {
            RunUpdate::Placed(_) => {}
            RunUpdate::Token { text: token, .. } => text.push_str(&token),
            RunUpdate::Superseded => return Err(superseded()),
            RunUpdate::Ended(RunResult::Refused(refusal)) => return Err(refusal),
            RunUpdate::Ended(RunResult::Completed(completed)) => {
                let res = json(StatusCode::OK, &builder.full_answer(&text, &completed));
                return Ok(track_delivery(cx, res, reader));
            }
        }
    }
}

/// Marks the answer as delivered once the connection takes its body to write it.
fn track_delivery(
    cx: &CallContext,
    res: Response<BoxBody>,
    mut reader: AnswerReader,
) -> Response<BoxBody> {
    let metrics = cx.instance.metrics.clone();
    res.map_body(|_, body| {
        let Ok(content) = body.try_into_bytes() else { return BoxBody::new(Bytes::new()) };
        let on_taken = move || {
            metrics.answers.inc();
            reader.set_delivered();
        };
        BoxBody::new(DeliveredBody::new(content, Box::new(on_taken)))
    })
}

fn answer_streamed(
    cx: &mut CallContext,
    reader: AnswerReader,
    builder: AnswerBuilder,
    first: Option<RunUpdate>,
) -> Response<BoxBody> {
    let (tx, rx) = mpsc::channel(CHUNK_BUFFER_CAPACITY);
    let (sent_tx, sent_rx) = oneshot::channel();
    let relay = StreamRelay { reader, builder, tx, metrics: cx.instance.metrics.clone() };
    let permits = std::mem::take(&mut cx.permits);
    actix_rt::spawn(async move {
        relay.run(first, sent_rx).await;
        drop(permits);
    });
    let body = BodyStream::new(body_stream(rx, sent_tx));
    let mut res = Response::with_body(StatusCode::OK, BoxBody::new(body));
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    res
}

/// Returns the chunks as a stream that signals on `sent_tx` when all of them were taken.
fn body_stream(
    rx: mpsc::Receiver<Bytes>,
    sent_tx: oneshot::Sender<()>,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold((rx, Some(sent_tx)), |(mut rx, mut sent_tx)| async move {
        let Some(chunk) = rx.recv().await else {
            if let Some(sent_tx) = sent_tx.take() {
                let _ = sent_tx.send(());
            }
            return None;
        };
        Some((Ok(chunk), (rx, sent_tx)))
    })
}

/// Relays the answer of a run as server-sent events.
struct StreamRelay {
    reader: AnswerReader,
    builder: AnswerBuilder,
    tx: mpsc::Sender<Bytes>,
    metrics: std::rc::Rc<crate::metrics::Metrics>,
}

impl StreamRelay {
    async fn run(mut self, first: Option<RunUpdate>, sent_rx: oneshot::Receiver<()>) {
        let mut pending = first;
        let mut keep_alive = tokio::time::interval(KEEP_ALIVE_PERIOD);
        let mut is_idle = false;
        loop {
            let update = match pending.take() {
                Some(update) => update,
                None => tokio::select! {
                    update = self.reader.next() => update,
                    () = self.tx.closed() => return self.reader.cancel(),
                    _ = keep_alive.tick() => {
                        if is_idle {
                            // A full buffer means that the caller still has data to read, so the
                            // comment is dropped.
                            let _ = self.tx.try_send(Bytes::from_static(KEEP_ALIVE));
                        }
                        is_idle = true;
                        continue;
                    }
                },
            };
            is_idle = false;
            let is_end = matches!(update, RunUpdate::Ended(_) | RunUpdate::Superseded);
            let is_complete = matches!(update, RunUpdate::Ended(RunResult::Completed(_)));
            let Some(chunk) = self.encode(&update) else { continue };
            if self.tx.send(chunk).await.is_err() {
                return self.reader.cancel();
            }
            if is_end {
                return self.end(is_complete, sent_rx).await;
            }
        }
    }

    async fn end(mut self, is_complete: bool, sent_rx: oneshot::Receiver<()>) {
        drop(self.tx);
        if sent_rx.await.is_err() {
            return self.reader.cancel();
        }
        if is_complete {
            self.metrics.answers.inc();
            self.reader.set_delivered();
        }
    }

    fn encode(&self, update: &RunUpdate) -> Option<Bytes> {
        match update {
            RunUpdate::Placed(_) => None,
            RunUpdate::Token { index, text } => {
                self.metrics.tokens.inc();
                Some(encode_event(Some(*index), None, &self.builder.chunk(text)))
            }
            RunUpdate::Superseded => Some(self.encode_refusal(&superseded())),
            RunUpdate::Ended(RunResult::Refused(refusal)) => Some(self.encode_refusal(refusal)),
            RunUpdate::Ended(RunResult::Completed(completed)) => {
                Some(self.encode_completion(completed))
            }
        }
    }

    fn encode_refusal(&self, refusal: &Refusal) -> Bytes {
        self.metrics.count_refusal(refusal);
        encode_event(None, Some("error"), &refusal_body(refusal, &self.builder.id))
    }

    fn encode_completion(&self, completed: &Completed) -> Bytes {
        let mut end = encode_event(None, None, &self.builder.final_chunk(completed)).to_vec();
        end.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(end)
    }
}

/// Encodes one server-sent event.
fn encode_event(id: Option<u32>, name: Option<&str>, data: &impl Serialize) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    if let Some(id) = id {
        buf.extend_from_slice(format!("id: {id}\n").as_bytes());
    }
    if let Some(name) = name {
        buf.extend_from_slice(format!("event: {name}\n").as_bytes());
    }
    buf.extend_from_slice(b"data: ");
    serde_json::to_writer(&mut buf, data).expect("messages have string keys only");
    buf.extend_from_slice(b"\n\n");
    Bytes::from(buf)
}

fn superseded() -> Refusal {
    let message = "the caller has resumed this answer on another connection";
    Refusal::may_have_run(RefusalCode::InProgress, message)
}
