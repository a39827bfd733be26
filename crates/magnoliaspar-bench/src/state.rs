use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, ServerKey};
use magnoliaspar_policy::ServerSpec;

use crate::arrival::Arrival;
use crate::engine::{DecodeEngine, Link, PrefillEngine};
use crate::event::AttemptTag;
use crate::stats::{Outcome, WasteCause};

/// A server as it really is.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    /// The key by which the policy knows the server, unless it was removed.
    pub(crate) key: Option<ServerKey>,
    /// Whether the server is dead.
    pub(crate) is_dead: bool,
    /// Whether the network between the server and the deciding instance is cut.
    pub(crate) is_partitioned: bool,
    /// The network latency from the deciding instance, one way.
    pub(crate) latency: Duration,
    pub(crate) link: Link,
    pub(crate) engine: Engine,
    /// Whether cache events were lost since the last ones that arrived.
    pub(crate) has_gap: bool,
}

/// The engine of a server.
#[derive(Debug)]
pub(crate) enum Engine {
    Prefill(PrefillEngine),
    Decode(DecodeEngine),
}

impl Server {
    /// Whether messages reach the server and come back.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.is_dead && !self.is_partitioned
    }

    pub(crate) fn prefill_engine(&mut self) -> Option<&mut PrefillEngine> {
        match &mut self.engine {
            Engine::Prefill(engine) => Some(engine),
            Engine::Decode(_) => None,
        }
    }

    pub(crate) fn decode_engine(&mut self) -> Option<&mut DecodeEngine> {
        match &mut self.engine {
            Engine::Prefill(_) => None,
            Engine::Decode(engine) => Some(engine),
        }
    }
}

/// A request as it really is.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) accepted_at: Instant,
    pub(crate) job: Option<JobKey>,
    pub(crate) tag: AttemptTag,
    pub(crate) stage: Stage,
    pub(crate) prefill_server: Option<usize>,
    pub(crate) decode_server: Option<usize>,
    /// Until when the prefill engine holds the KV cache, if it does.
    pub(crate) held_until: Option<Instant>,
    /// The tokens that were computed for the last prefill and have not turned out useful or wasted.
    pub(crate) unaccounted_tokens: u32,
    /// Why the last prefill will be wasted if it turns out so.
    pub(crate) waste_cause: WasteCause,
    pub(crate) failures: u32,
    pub(crate) tokens: u32,
    pub(crate) ttft: Option<Duration>,
    pub(crate) last_token_at: Instant,
    /// When the last prefill was ordered, done and imported.
    pub(crate) prefill_ordered_at: Instant,
    pub(crate) prefilled_at: Instant,
    pub(crate) imported_at: Instant,
    pub(crate) late_gaps: u32,
    /// The time between the first and the last token.
    pub(crate) total_gap_time: Duration,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) outcome_count: u32,
}

/// What a request is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The policy is to decide.
    Waiting,
    /// A prefill engine has been ordered to read the prompt.
    Prefilling,
    /// The prompt has been read and the policy is to decide.
    Prefilled,
    /// A decode engine has been ordered to import the KV cache.
    Transferring,
    /// A decode engine produces tokens.
    Decoding,
    /// The request has ended.
    Ended,
}

impl Request {
    pub(crate) fn new(arrival: Arrival, start: Instant) -> Self {
        let accepted_at = start + arrival.at;
        Self {
            arrival,
            accepted_at,
            job: None,
            tag: AttemptTag::default(),
            stage: Stage::Waiting,
            prefill_server: None,
            decode_server: None,
            held_until: None,
            unaccounted_tokens: 0,
            waste_cause: WasteCause::GivenUp,
            failures: 0,
            tokens: 0,
            ttft: None,
            last_token_at: accepted_at,
            prefill_ordered_at: accepted_at,
            prefilled_at: accepted_at,
            imported_at: accepted_at,
            late_gaps: 0,
            total_gap_time: Duration::ZERO,
            outcome: None,
            outcome_count: 0,
        }
    }

    /// Returns until when the KV cache can be exported, if it still can.
    pub(crate) fn active_hold(&self, now: Instant) -> Option<Instant> {
        self.held_until.filter(|until| now < *until)
    }
}
