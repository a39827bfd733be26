//! Explanations of decisions for operators.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{JobKey, ServerKey, ServerName};

use crate::RefuseReason;

/// The maximum number of explanations that are kept of ended jobs.
const MAX_ENDED: usize = 1_024;

/// The explanation of the last decision about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// The last decision.
    pub decision: Decision,
    /// The time of the decision.
    pub decided_at: Instant,
    /// The inputs of the decision.
    pub inputs: Inputs,
    /// The servers that were considered and not chosen, up to a limit.
    pub rejected: Vec<Rejected>,
}

/// A decision about one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The job waits.
    Wait(WaitReason),
    /// The job starts on a prefill engine, with a reservation on a decode engine.
    Prefill {
        /// The prefill engine.
        prefill: ServerKey,
        /// The decode engine on which a slot is reserved.
        decode: ServerKey,
    },
    /// The KV cache of the job is transferred to a decode engine.
    Transfer {
        /// The prefill engine that holds the KV cache.
        prefill: ServerKey,
        /// The decode engine that imports it.
        decode: ServerKey,
    },
    /// The job was refused.
    Refuse(RefuseReason),
}

/// The reason why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum WaitReason {
    /// the job has not been considered yet
    Queued,
    /// no prefill engine can start the job now
    Prefill,
    /// no decode slot becomes free while the prefill engine would hold the KV cache
    Decode,
    /// the first token would come too late, and a server may still free up earlier
    Target,
    /// the job is suspected of crashing engines and waits to run alone
    Isolation,
    /// a server failed the job, which is retried after a backoff
    Backoff,
}

/// The inputs of a decision: predicted times and cache hits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Inputs {
    /// The number of prompt tokens that the prefill engine is expected to have cached.
    pub cached_tokens: u32,
    /// The number of tokens that it has to prefill.
    pub uncached_tokens: u32,
    /// The queueing time on the prefill engine.
    pub queue_ahead: Duration,
    /// The duration of the prefill.
    pub prefill_time: Duration,
    /// The duration of the KV transfer.
    pub transfer_time: Duration,
    /// The time for which the KV cache is held until a decode slot and the links are free.
    pub held_time: Duration,
    /// The age of the prefill engine's last load report, if there was one.
    pub report_age: Option<Duration>,
    /// The predicted time of the first token.
    pub first_token_at: Option<Instant>,
    /// The time when the first token is due.
    pub target_at: Option<Instant>,
}

/// A server that was considered and not chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// The server.
    pub server: ServerName,
    /// The reason why it was not chosen.
    pub reason: RejectReason,
}

/// The reason why a server was not chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum RejectReason {
    /// the server is leaving
    Cordoned,
    /// the server has just failed
    JustFailed,
    /// the server is unresponsive: it is long overdue with other work
    Unresponsive,
    /// the server failed this job
    FailedThisJob,
    /// the server is reserved for requests suspected of crashing engines
    Isolated,
    /// the server's queue is too long
    QueueTooLong,
    /// the server's memory is full
    MemoryFull,
    /// another server costs less
    CostsMore,
    /// no slot becomes free in time
    NoSlotInTime,
    /// the link is not free in time
    LinkBusy,
    /// the first token would come too late
    TooLate,
    /// the server is in another zone and has not reported lately
    StaleReport,
}

/// The explanations of the jobs that ended most recently.
#[derive(Debug, Default)]
pub(crate) struct RecentExplanations {
    ended: VecDeque<(JobKey, Box<Explanation>)>,
}

impl RecentExplanations {
    /// Keeps the explanation of a job that has ended.
    pub(crate) fn push(&mut self, job: JobKey, explanation: Box<Explanation>) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((job, explanation));
    }

    /// Returns the explanation of a job that has ended.
    pub(crate) fn get(&self, job: JobKey) -> Option<&Explanation> {
        for (ended, explanation) in self.ended.iter().rev() {
            if *ended == job {
                return Some(explanation);
            }
        }
        None
    }
}

impl Explanation {
    /// Creates the explanation of a job that waits.
    pub(crate) fn waiting(now: Instant, reason: WaitReason) -> Self {
        Self {
            decision: Decision::Wait(reason),
            decided_at: now,
            inputs: Inputs::default(),
            rejected: Vec::new(),
        }
    }
}
