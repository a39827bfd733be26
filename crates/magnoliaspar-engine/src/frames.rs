//! Decoding of token streams from newline-delimited JSON.

use std::time::Duration;

use awc::ClientResponse;
use bytes::{Buf, BytesMut};
use futures_util::{StreamExt, stream};

use crate::{EngineError, StreamFrame, TokenStream};

/// Maximum size of a frame in bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Reads the frames of an answer, one JSON value per line.
///
/// The stream ends after [`StreamFrame::End`] or after the first error.
pub fn read_frames(res: ClientResponse, progress_timeout: Duration) -> TokenStream {
    let reader = FrameReader { res, buf: BytesMut::new(), progress_timeout, is_done: false };
    Box::pin(stream::unfold(reader, |mut reader| async move {
        if reader.is_done {
            return None;
        }
        let frame = reader.read_frame().await;
        reader.is_done = !matches!(frame, Ok(ref frame) if !is_end(frame));
        Some((frame, reader))
    }))
}

struct FrameReader {
    res: ClientResponse,
    buf: BytesMut,
    progress_timeout: Duration,
    is_done: bool,
}

impl FrameReader {
    async fn read_frame(&mut self) -> Result<StreamFrame, EngineError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end);
                self.buf.advance(1);
                return serde_json::from_slice(&line)
                    .map_err(|error| EngineError::Mismatched(error.to_string().into()));
            }
            if self.buf.len() > MAX_FRAME_BYTES {
                return Err(EngineError::Mismatched("a frame is too long".into()));
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), EngineError> {
        let next = tokio::time::timeout(self.progress_timeout, self.res.next()).await;
        match next {
            Err(_) => Err(EngineError::Stalled(self.progress_timeout)),
            Ok(None) => Err(EngineError::Lost("the answer ended without an end mark".into())),
            Ok(Some(Err(error))) => Err(EngineError::Lost(error.to_string().into())),
            Ok(Some(Ok(chunk))) => {
                self.buf.extend_from_slice(&chunk);
                Ok(())
            }
        }
    }
}

fn is_end(frame: &StreamFrame) -> bool {
    matches!(frame, StreamFrame::End { .. })
}
