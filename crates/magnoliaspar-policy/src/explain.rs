use std::collections::VecDeque;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{JobKey, ServerKey, ServerName};

use crate::RefuseReason;

/// The most explanations that are kept of jobs that have ended.
const MAX_ENDED: usize = 1_024;

/// Why a job runs where it does, or why it waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// What was decided last.
    pub decision: Decision,
    /// When it was decided.
    pub decided_at: Instant,
    /// What the decision was made from.
    pub inputs: Inputs,
    /// The servers that were considered and not taken, as far as they were looked at.
    pub rejected: Vec<Rejected>,
}

/// A decision about one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The job waits.
    Wait(WaitReason),
    /// The job is read on a prefill engine, with a reservation on a decode engine.
    Prefill {
        /// The prefill engine.
        prefill: ServerKey,
        /// The decode engine on which a slot is reserved.
        decode: ServerKey,
    },
    /// The KV cache of the job goes to a decode engine.
    Transfer {
        /// The prefill engine that holds the KV cache.
        prefill: ServerKey,
        /// The decode engine that imports it.
        decode: ServerKey,
    },
    /// The job was refused.
    Refuse(RefuseReason),
}

/// Why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum WaitReason {
    /// the job has not been considered yet
    Queued,
    /// no prefill engine can start it now
    Prefill,
    /// no decode slot falls free while the prefill engine would hold the KV cache
    Decode,
    /// the first token would come too late, and a server may still free up earlier
    Target,
    /// it is suspected of crashing engines and waits to run alone
    Apart,
    /// a server failed it and it is tried again after a pause
    Backoff,
}

/// What a decision was made from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Inputs {
    /// How many tokens of the prompt the prefill engine is expected to have cached.
    pub cached_tokens: u32,
    /// How many tokens it has to read.
    pub uncached_tokens: u32,
    /// How long the job waits on the prefill engine behind others.
    pub queue_ahead: Duration,
    /// How long the prefill takes.
    pub read_time: Duration,
    /// How long the transfer of the KV cache takes.
    pub transfer_time: Duration,
    /// How long the KV cache waits for its decode slot and the links.
    pub held_time: Duration,
    /// How old the prefill engine's last report is, if there was one.
    pub report_age: Option<Duration>,
    /// When the first token is expected.
    pub first_token_at: Option<Instant>,
    /// When the first token is due.
    pub target_at: Option<Instant>,
}

/// A server that was considered and not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// The server.
    pub server: ServerName,
    /// Why it was not taken.
    pub reason: RejectReason,
}

/// Why a server was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum RejectReason {
    /// the server is leaving
    Sealed,
    /// the server has just failed
    JustFailed,
    /// the server is long overdue with other work
    Silent,
    /// the server failed this job
    FailedThisJob,
    /// the server is set apart for suspects
    Isolated,
    /// the server's queue is too long
    QueueTooLong,
    /// the server's memory is full
    MemoryFull,
    /// another server costs less
    CostsMore,
    /// no slot falls free in time
    NoSlotInTime,
    /// the link is not free in time
    LinkBusy,
    /// the first token would come too late
    TooLate,
    /// the server is in another zone and has not reported lately
    StaleReport,
}

/// The explanations of jobs that have lately ended.
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
    /// Explains that a job waits.
    pub(crate) fn waiting(now: Instant, reason: WaitReason) -> Self {
        Self {
            decision: Decision::Wait(reason),
            decided_at: now,
            inputs: Inputs::default(),
            rejected: Vec::new(),
        }
    }
}
