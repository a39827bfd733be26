//! Decode: admission, KV import, and streamed responses.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use awc::Client;
use bytes::Bytes;
use futures_core::Stream;
use futures_util::stream;
use magnoliaspar_core::{AttemptId, RequestId};
use magnoliaspar_engine::{DecodeCall, EndReason, Refused, Stage, StreamFrame, StreamId};
use serde::Deserialize;

use super::model_engine::ModelEngine;
use super::prefill::KvCache;
use super::state::{EngineStream, StreamInner};
use super::text::token_of;
use crate::web::{read_json, refuse, stream_response};

/// Time for which a finished stream stays available to late attach calls.
const FINISHED_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of output tokens for which memory is reserved at admission.
const RESERVED_OUTPUT_TOKENS: u32 = 64;

/// Timeout of a KV import, without the time on the receiving engine's link.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// The text of each token in a response with the `crossed_answers` fault.
const CROSSED_TOKEN: &str = "crossed ";

/// A call that attaches to a stream and resumes its tokens at index `from`.
#[derive(Deserialize)]
struct AttachCall {
    stream: StreamId,
    from: u32,
}

impl ModelEngine {
    /// Admits a stream, imports its KV cache and streams its tokens.
    ///
    /// A repeated call for a running stream opens another response to it.
    pub(super) async fn serve_decode(
        &self,
        req: Request,
    ) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let call: DecodeCall = read_json(req).await?;
        let known = self.shared.state.borrow().streams.get(&call.stream).cloned();
        let first_index = call.first_index;
        let id = call.stream.clone();
        let stream = match known {
            Some(stream) => stream,
            None => self.open_decode(call)?,
        };
        Ok(self.open_answer_stream(id, stream, first_index))
    }

    /// Opens another response to a running or finished stream.
    pub(super) async fn serve_attach(
        &self,
        req: Request,
    ) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let call: AttachCall = read_json(req).await?;
        let state = self.shared.state.borrow();
        let known = state.streams.get(&call.stream).or_else(|| state.finished.get(&call.stream));
        let Some(stream) = known.cloned() else {
            return Err(refuse(StatusCode::NOT_FOUND, Refused::UnknownStream));
        };
        drop(state);
        if stream.inner.borrow().first_index > call.from {
            return Err(refuse(StatusCode::NOT_FOUND, Refused::UnknownStream));
        }
        Ok(self.open_answer_stream(call.stream, stream, call.from))
    }

    fn open_decode(&self, call: DecodeCall) -> Result<Rc<EngineStream>, Response<BoxBody>> {
        let mut state = self.shared.state.borrow_mut();
        let tokens = call.prompt_tokens + call.max_tokens.min(RESERVED_OUTPUT_TOKENS);
        let pieces = state.spec.pieces_of(tokens);
        if !state.has_room(pieces) {
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, Refused::Full));
        }
        let stream = Rc::new(EngineStream {
            owner: call.owner.clone(),
            pieces,
            prompt_tokens: call.prompt_tokens,
            prompt: "".into(),
            opened_at: Instant::now(),
            inner: StreamInner::new(Stage::Import, call.first_index),
            changed: Default::default(),
        });
        state.streams.insert(call.stream.clone(), stream.clone());
        drop(state);
        actix_rt::spawn(self.clone().run_decode(call, stream.clone()));
        Ok(stream)
    }

    async fn run_decode(self, call: DecodeCall, stream: Rc<EngineStream>) {
        let import = tokio::time::timeout(IMPORT_TIMEOUT, fetch_kv(&call)).await;
        let Ok(Some(kv)) = import else {
            self.shared.state.borrow_mut().release(&call.stream);
            return;
        };
        self.shared.link.transfer(kv.prompt_tokens).await;
        stream.update(|inner| {
            inner.is_imported = true;
            inner.stage = Stage::Decode;
        });
        self.produce(&call, &kv, &stream).await;
        self.finish(call.stream, stream).await;
    }

    async fn produce(&self, call: &DecodeCall, kv: &KvCache, stream: &EngineStream) {
        let tokens = kv.length.min(call.max_tokens);
        for index in call.first_index..tokens {
            tokio::time::sleep(self.token_time()).await;
            if stream.inner.borrow().is_released {
                return;
            }
            stream.update(|inner| inner.tokens.push(token_of(kv.seed, index)));
            self.count_token();
        }
        let is_truncated = kv.length > call.max_tokens;
        let reason = if is_truncated { EndReason::Length } else { EndReason::Stop };
        stream.update(|inner| inner.end = Some(reason));
    }

    async fn finish(&self, id: StreamId, stream: Rc<EngineStream>) {
        if stream.inner.borrow().is_released {
            return;
        }
        self.retain_finished(&id, stream);
        tokio::time::sleep(FINISHED_RETENTION).await;
        self.shared.state.borrow_mut().finished.remove(&id);
    }

    fn retain_finished(&self, id: &StreamId, stream: Rc<EngineStream>) {
        let mut state = self.shared.state.borrow_mut();
        state.release(id);
        state.finished.insert(id.clone(), stream);
    }

    /// Returns the decode time of the next token at the current batch size.
    fn token_time(&self) -> Duration {
        let state = self.shared.state.borrow();
        let other_streams = state.streams.len().saturating_sub(1) as f64;
        state.spec.token_time.mul_f64(1.0 + state.spec.batch_slowdown * other_streams)
    }

    /// Counts a token for the faults that occur after a number of tokens.
    fn count_token(&self) {
        let mut state = self.shared.state.borrow_mut();
        if count_down(&mut state.faults.silent_after_tokens) {
            state.first_unsilenced_answer = state.answers_opened;
        }
        let crashes = count_down(&mut state.faults.die_after_tokens);
        drop(state);
        if crashes {
            self.crash();
        }
    }

    fn open_answer_stream(
        &self,
        id: StreamId,
        stream: Rc<EngineStream>,
        from: u32,
    ) -> Response<BoxBody> {
        let mut state = self.shared.state.borrow_mut();
        let is_crossed = state.faults.crossed_answers > 0;
        state.faults.crossed_answers = state.faults.crossed_answers.saturating_sub(1);
        let answer = AnswerStream {
            engine: self.clone(),
            id: if is_crossed { crossed_id(&id) } else { id },
            stream,
            next: from,
            number: state.answers_opened,
            is_crossed,
            has_sent_imported: false,
            is_done: false,
        };
        state.answers_opened += 1;
        stream_response(answer.into_bytes())
    }
}

/// A streamed response to one decode or attach call.
struct AnswerStream {
    engine: ModelEngine,
    id: StreamId,
    stream: Rc<EngineStream>,
    next: u32,
    number: u64,
    is_crossed: bool,
    has_sent_imported: bool,
    is_done: bool,
}

impl AnswerStream {
    fn into_bytes(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(self, |mut answer| async move {
            let frame = answer.next_frame().await?;
            if answer.engine.shared.state.borrow().first_unsilenced_answer > answer.number {
                std::future::pending::<()>().await;
            }
            let mut line = serde_json::to_vec(&frame).ok()?;
            line.push(b'\n');
            Some((Ok(Bytes::from(line)), answer))
        })
    }

    async fn next_frame(&mut self) -> Option<StreamFrame> {
        if self.is_done {
            return None;
        }
        if !self.has_sent_imported {
            self.stream.wait(|inner| inner.is_imported || inner.is_released).await;
            self.has_sent_imported = true;
            if !self.stream.inner.borrow().is_imported {
                return None;
            }
            return Some(StreamFrame::Imported { stream: self.id.clone() });
        }
        let next = self.next;
        self.stream
            .wait(|inner| inner.has_token(next) || inner.end.is_some() || inner.is_released)
            .await;
        let inner = self.stream.inner.borrow();
        if let Some(text) = inner.token(next) {
            self.next += 1;
            let text = if self.is_crossed { CROSSED_TOKEN } else { text };
            return Some(StreamFrame::Token { index: next, text: text.into() });
        }
        let reason = inner.end?;
        self.is_done = true;
        Some(StreamFrame::End { tokens: next, reason })
    }
}

impl StreamInner {
    fn token(&self, index: u32) -> Option<&str> {
        let offset = index.checked_sub(self.first_index)?;
        self.tokens.get(offset as usize).map(|text| &**text)
    }

    fn has_token(&self, index: u32) -> bool {
        self.token(index).is_some()
    }
}

/// Fetches the KV cache from the prefill engine.
async fn fetch_kv(call: &DecodeCall) -> Option<KvCache> {
    let source = &call.source;
    let url = format!(
        "http://{}/kv?request={}&attempt={}",
        source.address, source.stream.request, source.stream.attempt
    );
    let client = Client::builder().disable_timeout().finish();
    let mut res = client.get(url).send().await.ok()?;
    if !res.status().is_success() {
        return None;
    }
    res.json::<KvCache>().await.ok()
}

/// Returns the identifier of a stream that the caller did not ask for.
fn crossed_id(id: &StreamId) -> StreamId {
    let request = RequestId::try_from("another-request").expect("the name is valid");
    StreamId { request, attempt: AttemptId(id.attempt.0 + 1) }
}

/// Decrements a counter; returns true and clears it when it reaches zero.
fn count_down(counter: &mut Option<u32>) -> bool {
    let Some(left) = counter else { return false };
    *left = left.saturating_sub(1);
    if *left > 0 {
        return false;
    }
    *counter = None;
    true
}
