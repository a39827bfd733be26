//! The simulated state of servers and requests, which the policy cannot see.

use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, ServerKey};
use magnoliaspar_policy::ServerSpec;

use crate::arrival::Arrival;
use crate::engine::{DecodeEngine, Link, PrefillEngine};
use crate::event::AttemptTag;
use crate::stats::{Outcome, WasteCause};

/// The simulated state of a server, which may differ from what the policy knows.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    /// The key that the policy assigned to the server, or `None` while it is removed.
    pub(crate) key: Option<ServerKey>,
    /// True while the server is down after a crash.
    pub(crate) is_dead: bool,
    /// True while the network between the server and the deciding instance is partitioned.
    pub(crate) is_partitioned: bool,
    /// The one-way network latency from the deciding instance.
    pub(crate) latency: Duration,
    pub(crate) link: Link,
    pub(crate) engine: Engine,
    /// True if cache events were lost since the last ones that were sent.
    pub(crate) has_gap: bool,
}

/// The engine of a server.
#[derive(Debug)]
pub(crate) enum Engine {
    Prefill(PrefillEngine),
    Decode(DecodeEngine),
}

impl Server {
    /// Returns true if the server and the deciding instance can exchange messages.
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

/// The simulated state of a request, which may differ from what the policy knows.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) accepted_at: Instant,
    pub(crate) job: Option<JobKey>,
    pub(crate) tag: AttemptTag,
    pub(crate) stage: Stage,
    pub(crate) prefill_server: Option<usize>,
    pub(crate) decode_server: Option<usize>,
    /// The time until which the prefill engine holds the KV cache, if it does.
    pub(crate) held_until: Option<Instant>,
    /// The tokens computed for the last prefill that are not yet known to be used or wasted.
    pub(crate) unaccounted_tokens: u32,
    /// The cause to record if the last prefill is wasted.
    pub(crate) waste_cause: WasteCause,
    pub(crate) failures: u32,
    pub(crate) tokens: u32,
    pub(crate) ttft: Option<Duration>,
    pub(crate) last_token_at: Instant,
    /// The time at which the policy ordered the last prefill.
    pub(crate) prefill_ordered_at: Instant,
    /// The time at which the last prefill was done.
    pub(crate) prefilled_at: Instant,
    /// The time at which the KV cache of the last prefill was imported.
    pub(crate) imported_at: Instant,
    /// The number of gaps between tokens that missed the ITL target.
    pub(crate) late_gaps: u32,
    /// The time between the first and the last token.
    pub(crate) total_gap_time: Duration,
    pub(crate) outcome: Option<Outcome>,
    /// The number of times that an outcome was reported. A correct policy ends a request once.
    pub(crate) outcome_count: u32,
}

/// The stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The request waits for the policy to order a prefill.
    Waiting,
    /// The policy ordered a prefill, which is not yet known to be done.
    Prefilling,
    /// The prefill is done and the request waits for the policy to order a transfer.
    Prefilled,
    /// The policy ordered a decode engine to import the KV cache.
    Transferring,
    /// A decode engine produces the answer.
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

    /// Returns the time until which the KV cache can be exported, if its hold has not expired.
    pub(crate) fn active_hold(&self, now: Instant) -> Option<Instant> {
        self.held_until.filter(|until| now < *until)
    }
}
