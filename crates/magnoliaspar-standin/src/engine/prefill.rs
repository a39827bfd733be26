//! Prefill and the export of KV caches.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_core::{AttemptId, BLOCK_TOKENS, RequestId};
use magnoliaspar_engine::{PrefillCall, Prefilled, Refused, Stage, StreamId};
use serde::{Deserialize, Serialize};

use super::model_engine::{ModelEngine, refuse_other};
use super::state::{EngineStream, StreamInner};
use super::text::{length_of, seed_of};
use crate::web::{json_response, query_parameter, read_json, refuse};

/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;

/// The exported KV cache of a prompt: only what is needed to produce the answer.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct KvCache {
    /// The seed of the answer.
    pub seed: u64,
    /// The natural length of the answer in tokens, before `max_tokens` applies.
    pub length: u32,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
}

impl ModelEngine {
    /// Runs the prefill of a prompt; a repeated call for the same stream gets the same result.
    pub(super) async fn serve_prefill(
        &self,
        req: Request,
    ) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let call: PrefillCall = read_json(req).await?;
        self.crash_if_marked(&call).await;
        let known = self.shared.state.borrow().streams.get(&call.stream).cloned();
        let stream = match known {
            Some(stream) => stream,
            None => self.open_prefill(call)?,
        };
        stream.wait(|inner| inner.prefilled.is_some() || inner.is_released).await;
        let Some(prefilled) = stream.inner.borrow().prefilled.clone() else {
            return Err(refuse(StatusCode::GONE, Refused::UnknownStream));
        };
        Ok(json_response(&prefilled))
    }

    /// Exports the KV cache of a finished prefill and frees its memory.
    pub(super) async fn serve_kv(
        &self,
        req: Request,
    ) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let Some(id) = parse_stream(&req) else {
            return Err(refuse_other(
                StatusCode::BAD_REQUEST,
                "the request or attempt of the stream is missing or invalid",
            ));
        };
        let stream = self.shared.state.borrow().streams.get(&id).cloned();
        let Some(stream) = stream else {
            return Err(refuse(StatusCode::GONE, Refused::KvGone));
        };
        if stream.inner.borrow().stage != Stage::Hold {
            return Err(refuse(StatusCode::CONFLICT, Refused::KvGone));
        }
        if self.take_export_stall() {
            std::future::pending::<()>().await;
        }
        self.shared.link.transfer(stream.prompt_tokens).await;
        if self.shared.state.borrow_mut().release(&id).is_none() {
            return Err(refuse(StatusCode::GONE, Refused::KvGone));
        }
        Ok(json_response(&KvCache {
            seed: seed_of(&stream.prompt),
            length: length_of(&stream.prompt, u32::MAX),
            prompt_tokens: stream.prompt_tokens,
        }))
    }

    fn open_prefill(&self, call: PrefillCall) -> Result<Rc<EngineStream>, Response<BoxBody>> {
        let emitted = call.emitted.len() as u32;
        let prompt_tokens = call.prompt.len().div_ceil(TOKEN_BYTES) as u32 + emitted;
        let mut state = self.shared.state.borrow_mut();
        if state.spec.model != call.model || state.spec.version != call.version {
            return Err(refuse_other(StatusCode::CONFLICT, "another model or version is loaded"));
        }
        let pieces = state.spec.pieces_of(prompt_tokens);
        if !state.has_room(pieces) {
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, Refused::Full));
        }
        let stream = Rc::new(EngineStream {
            owner: call.owner.clone(),
            pieces,
            prompt_tokens,
            prompt: call.prompt.clone(),
            opened_at: Instant::now(),
            inner: StreamInner::new(Stage::Prefill, emitted),
            changed: Default::default(),
        });
        state.streams.insert(call.stream.clone(), stream.clone());
        drop(state);
        actix_rt::spawn(self.clone().run_prefill(call, stream.clone()));
        Ok(stream)
    }

    async fn run_prefill(self, call: PrefillCall, stream: Rc<EngineStream>) {
        let guard = self.shared.prefill_lock.acquire(call.priority).await;
        if stream.inner.borrow().is_released {
            return;
        }
        self.shared.started_prefills.set(self.shared.started_prefills.get() + 1);
        let (cached_tokens, duration) = self.plan_prefill(&call, &stream);
        tokio::time::sleep(duration).await;
        drop(guard);
        if stream.inner.borrow().is_released {
            return;
        }
        let hold = self.finish_prefill(&call, &stream, cached_tokens);
        tokio::time::sleep(hold).await;
        let is_held = stream.inner.borrow().stage == Stage::Hold;
        if is_held && !stream.inner.borrow().is_released {
            self.shared.state.borrow_mut().release(&call.stream);
        }
    }

    /// Returns the number of cached prompt tokens and the duration of the prefill.
    fn plan_prefill(&self, call: &PrefillCall, stream: &EngineStream) -> (u32, Duration) {
        let state = self.shared.state.borrow();
        let cached = state.cache.cached_blocks(&call.blocks) * BLOCK_TOKENS;
        let uncached = stream.prompt_tokens.saturating_sub(cached).max(1);
        let seconds = f64::from(uncached) / state.spec.prefill_tokens_per_second;
        (cached.min(stream.prompt_tokens), Duration::from_secs_f64(seconds))
    }

    /// Records the result of a prefill and returns the actual hold time of its KV cache.
    fn finish_prefill(
        &self,
        call: &PrefillCall,
        stream: &EngineStream,
        cached_tokens: u32,
    ) -> Duration {
        let mut state = self.shared.state.borrow_mut();
        state.cache.store(Instant::now(), &call.blocks);
        let announced_hold = state.spec.hold;
        let is_lost = state.faults.lost_holds > 0;
        state.faults.lost_holds = state.faults.lost_holds.saturating_sub(1);
        drop(state);
        stream.update(|inner| {
            inner.stage = Stage::Hold;
            inner.prefilled = Some(Prefilled {
                stream: call.stream.clone(),
                prompt_tokens: stream.prompt_tokens,
                cached_tokens,
                hold_ms: announced_hold.as_millis() as u32,
            });
        });
        if is_lost { Duration::ZERO } else { announced_hold }
    }

    /// Crashes the engine if the prompt contains the crash mark; the call then gets no response.
    async fn crash_if_marked(&self, call: &PrefillCall) {
        let mark = self.shared.state.borrow().faults.crash_mark.clone();
        if mark.is_some_and(|mark| call.prompt.contains(&*mark)) {
            self.crash();
            std::future::pending::<()>().await;
        }
    }

    /// Returns true if the current export must stall, and decrements the number of such faults.
    fn take_export_stall(&self) -> bool {
        let mut state = self.shared.state.borrow_mut();
        if state.faults.stall_exports == 0 {
            return false;
        }
        state.faults.stall_exports -= 1;
        true
    }
}

fn parse_stream(req: &Request) -> Option<StreamId> {
    let request = RequestId::try_from(query_parameter(req, "request")?).ok()?;
    let attempt = query_parameter(req, "attempt")?.parse().ok()?;
    Some(StreamId { request, attempt: AttemptId(attempt) })
}
