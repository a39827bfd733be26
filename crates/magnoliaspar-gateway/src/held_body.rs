//! Bodies that wait until the caller reads them, as parts of the memory for responses.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

use crate::blocks::{BLOCK_BYTES, Blocks};
use crate::response_memory::Share;

/// A whole body that is handed to the connection of the caller block by block.
pub struct HeldBody {
    blocks: VecDeque<Bytes>,
    length: u64,
    /// The memory of the blocks that are left.
    share: Option<Share>,
}

impl HeldBody {
    /// Creates a body, and holds its memory.
    pub fn new(blocks: Blocks, share: Option<Share>) -> Self {
        let length = blocks.len() as u64;
        Self { blocks: blocks.into_vec().into(), length, share }
    }
}

impl From<Bytes> for HeldBody {
    /// Creates a body that is not a part of the memory for responses. Its bytes are not copied.
    fn from(mut bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        let mut blocks = VecDeque::new();
        while !bytes.is_empty() {
            blocks.push_back(bytes.split_to(bytes.len().min(BLOCK_BYTES)));
        }
        Self { blocks, length, share: None }
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let Some(block) = self.blocks.pop_front() else { return Poll::Ready(None) };
        if let Some(share) = &self.share {
            share.release(block.len());
        }
        Poll::Ready(Some(Ok(block)))
    }
}
