//! The body of a request, which is read into a part of the memory for requests and held once.

use actix_http::header::{self, HeaderMap};
use actix_http::{Payload, Request};
use bytes::Bytes;
use futures_util::StreamExt;
use magnoliaspar_http::{BodyShare, CallerEnd};

use crate::blocks::Blocks;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// A whole body in blocks, with its memory.
#[derive(Debug, Default)]
pub struct RequestBody {
    blocks: Vec<Bytes>,
    /// `None` for a body that is not counted.
    _share: Option<BodyShare>,
}

impl RequestBody {
    /// Reads the body of a request. Refuses it before it is read if it announces a length that is too large or
    /// for which there is no memory, and otherwise as soon as that is the case.
    pub async fn read(
        gateway: &Gateway,
        req: &mut Request,
        request: &str,
        max_bytes: usize,
    ) -> Result<Self, Refusal> {
        let share = gateway.response_memory.account().body(gateway.clock.now());
        let end = CallerEnd::of(req);
        let announced = announced_length(req.head().headers());
        let mut payload = req.take_payload();
        let read = read_blocks(gateway, &share, &mut payload, announced, max_bytes);
        let blocks = tokio::select! {
            biased;
            blocks = read => blocks,
            () = share.evicted() => {
                let held = share.held();
                log::warn!(request, held; "caller_evicted");
                Err(Refusal::NoMemory)
            }
        };
        if let Err(Refusal::NoMemory) = blocks {
            // What the caller still sends must not be read.
            end.close_after_response();
        }
        share.finish();
        Ok(Self { blocks: blocks?.into_vec(), _share: Some(share) })
    }

    /// Returns the blocks.
    pub fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }
}

async fn read_blocks(
    gateway: &Gateway,
    share: &BodyShare,
    payload: &mut Payload,
    announced: usize,
    max_bytes: usize,
) -> Result<Blocks, Refusal> {
    if announced > max_bytes {
        return Err(Refusal::BodyTooLarge);
    }
    let mut blocks = Blocks::default();
    let mut needed = Blocks::cost_of(announced);
    loop {
        let now = gateway.clock.now();
        if needed > share.held() {
            share.hold(needed - share.held(), now).await.map_err(|_| Refusal::NoMemory)?;
        }
        let Some(chunk) = payload.next().await else { return Ok(blocks) };
        let Ok(chunk) = chunk else { return Err(Refusal::BodyIncomplete) };
        share.record_activity(gateway.clock.now());
        let length = blocks.len() + chunk.len();
        if length > max_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        blocks.append(&chunk);
        needed = Blocks::cost_of(length);
    }
}

/// Returns the length that the head announces; 0 if it announces none.
fn announced_length(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|length| length.trim().parse().ok()).unwrap_or_default()
}
