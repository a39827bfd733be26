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

use super::completion::CompletionShape;
use super::context::CallContext;
use super::delivery::DeliveredBody;
use super::respond::{json, refusal_body};
use super::shape::AnswerWriter;
use crate::run::{AnswerReader, Completed, CompletionRequest, RunResult, RunUpdate, ScopedId};

/// Names the last token that the caller received before its connection broke.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// How many chunks wait for a slow caller.
const CHUNKS_AHEAD: usize = 16;

/// How long the head of a streamed answer waits for a refusal that would change its status.
const HEAD_WAIT: Duration = Duration::from_millis(250);

/// How often an answer without news is written to, so that a caller that left is noticed.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);

/// A comment among server-sent events, which callers skip.
const KEEP_ALIVE: &[u8] = b": waiting\n\n";

/// Runs a completion and relays its answer.
pub async fn answer(
    cx: &mut CallContext,
    shape: CompletionShape,
) -> Result<Response<BoxBody>, Refusal> {
    let req = describe(cx)?;
    let Some(call) = &cx.completion else {
        return Err(Refusal::not_run(RefusalCode::BadRequest, "the body was not read"));
    };
    let writer = AnswerWriter { shape, id: cx.request_id.clone(), model: call.model.clone() };
    let is_streamed = call.is_streamed;
    cx.instance.metrics.requests.inc();
    let (route, workspace) = (req.route.clone(), req.id.workspace.clone());
    cx.instance.journal.record(&cx.request_id, EventKind::Accepted { route, workspace });
    let mut reader = cx.instance.run_opener.open(req).await?;
    if !is_streamed {
        return answer_whole(cx, reader, writer).await;
    }
    // A caller without an identifier of its own gets one in the head, at once, so that it can come
    // back with it; a refusal then follows in the stream.
    let first = if cx.has_own_id { early_update(&mut reader).await? } else { None };
    Ok(answer_streamed(cx, reader, writer, first))
}

fn describe(cx: &CallContext) -> Result<CompletionRequest, Refusal> {
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
        from: read_offset(cx)?,
        emitted: Vec::new(),
        placement: None,
    })
}

fn read_offset(cx: &CallContext) -> Result<u32, Refusal> {
    let Some(text) = cx.head.header(LAST_EVENT_HEADER) else { return Ok(0) };
    let Ok(last) = text.parse::<u32>() else {
        let message = "last-event-id must be the number of a token";
        return Err(Refusal::not_run(RefusalCode::BadRequest, message));
    };
    Ok(last.saturating_add(1))
}

/// Waits a while for the first update, so that an early refusal has a status of its own.
async fn early_update(reader: &mut AnswerReader) -> Result<Option<RunUpdate>, Refusal> {
    let Ok(update) = tokio::time::timeout(HEAD_WAIT, reader.next()).await else {
        return Ok(None);
    };
    match update {
        RunUpdate::Ended(RunResult::Refused(refusal)) => Err(refusal),
        RunUpdate::Superseded => Err(superseded()),
        update => Ok(Some(update)),
    }
}

async fn answer_whole(
    cx: &CallContext,
    mut reader: AnswerReader,
    writer: AnswerWriter,
) -> Result<Response<BoxBody>, Refusal> {
    let mut text = String::new();
    loop {
        match reader.next().await {
            RunUpdate::Placed(_) => {}
            RunUpdate::Token { text: token, .. } => text.push_str(&token),
            RunUpdate::Superseded => return Err(superseded()),
            RunUpdate::Ended(RunResult::Refused(refusal)) => return Err(refusal),
            RunUpdate::Ended(RunResult::Completed(completed)) => {
                let res = json(StatusCode::OK, &writer.whole(&text, &completed));
                return Ok(note_delivery(cx, res, reader));
            }
        }
    }
}

/// Notes that an answer is delivered once it is taken to be written.
fn note_delivery(
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
    writer: AnswerWriter,
    first: Option<RunUpdate>,
) -> Response<BoxBody> {
    let (tx, rx) = mpsc::channel(CHUNKS_AHEAD);
    let (sent_tx, sent_rx) = oneshot::channel();
    let relay = StreamRelay { reader, writer, tx, metrics: cx.instance.metrics.clone() };
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

/// Returns the chunks as a body that tells when all of them were taken.
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

/// Relays a run's answer as server-sent events.
struct StreamRelay {
    reader: AnswerReader,
    writer: AnswerWriter,
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
                            // A caller that is slow to read has enough to read already.
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
                Some(event(Some(*index), None, &self.writer.chunk(text)))
            }
            RunUpdate::Superseded => Some(self.encode_refusal(&superseded())),
            RunUpdate::Ended(RunResult::Refused(refusal)) => Some(self.encode_refusal(refusal)),
            RunUpdate::Ended(RunResult::Completed(completed)) => Some(self.encode_end(completed)),
        }
    }

    fn encode_refusal(&self, refusal: &Refusal) -> Bytes {
        self.metrics.count_refusal(refusal);
        event(None, Some("error"), &refusal_body(refusal, &self.writer.id))
    }

    fn encode_end(&self, completed: &Completed) -> Bytes {
        let mut end = event(None, None, &self.writer.last_chunk(completed)).to_vec();
        end.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(end)
    }
}

/// Encodes one server-sent event.
fn event(id: Option<u32>, name: Option<&str>, data: &impl Serialize) -> Bytes {
    let mut text = Vec::with_capacity(256);
    if let Some(id) = id {
        text.extend_from_slice(format!("id: {id}\n").as_bytes());
    }
    if let Some(name) = name {
        text.extend_from_slice(format!("event: {name}\n").as_bytes());
    }
    text.extend_from_slice(b"data: ");
    serde_json::to_writer(&mut text, data).expect("messages have text keys only");
    text.extend_from_slice(b"\n\n");
    Bytes::from(text)
}

fn superseded() -> Refusal {
    let message = "the caller asked again for this request, and that answer goes on";
    Refusal::may_have_run(RefusalCode::InProgress, message)
}
