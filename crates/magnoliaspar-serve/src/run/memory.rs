//! Tracks engine memory that a run may hold and frees it.

use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_engine::StreamId;

use super::dispatcher::EngineHandle;
use crate::reaping::OwnedStream;

/// Maximum number of cancel calls to an engine that does not answer. After these, the reaper frees
/// the memory.
const MAX_CANCEL_CALLS: u32 = 3;

/// Delay between two cancel calls.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The memory that a run may hold on engines. Dropping it frees all memory that is still tracked.
#[derive(Default)]
pub struct HeldMemory(Vec<HeldStream>);

/// A stream that may hold memory on an engine.
struct HeldStream {
    engine: EngineHandle,
    stream: StreamId,
    owned: Rc<OwnedStream>,
}

impl HeldMemory {
    /// Starts to track a stream that may hold memory.
    pub fn track(&mut self, engine: &EngineHandle, stream: &StreamId, owned: Rc<OwnedStream>) {
        self.0.push(HeldStream { engine: engine.clone(), stream: stream.clone(), owned });
    }

    /// Stops tracking a stream whose memory the engine has freed itself.
    pub fn untrack(&mut self, engine: &EngineHandle, stream: &StreamId) {
        self.0.retain(|held| !held.matches(engine, stream));
    }

    /// Frees the memory of a stream in the background.
    pub fn free(&mut self, engine: &EngineHandle, stream: &StreamId) {
        for held in self.0.extract_if(.., |held| held.matches(engine, stream)) {
            actix_rt::spawn(held.free());
        }
    }

    /// Frees the memory of all tracked streams in the background.
    pub fn free_all(&mut self) {
        for held in self.0.drain(..) {
            actix_rt::spawn(held.free());
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.free_all();
    }
}

impl HeldStream {
    fn matches(&self, engine: &EngineHandle, stream: &StreamId) -> bool {
        self.engine.address == engine.address && self.stream == *stream
    }

    async fn free(self) {
        drop(self.owned);
        for _ in 0..MAX_CANCEL_CALLS {
            if self.engine.client.cancel(&self.stream).await.is_ok() {
                return;
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
    }
}
