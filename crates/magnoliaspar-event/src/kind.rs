use std::fmt;

use displaydoc::Display;
use magnoliaspar_core::{
    AttemptId, IdempotencyKey, Incarnation, InstanceName, Outcome, RefusalCode, RouteName,
    ServerName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

/// What happened.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// instance started, incarnation {incarnation}
    Started {
        /// The incarnation of the instance.
        incarnation: Incarnation,
    },
    /// accepted on route {route} for workspace {workspace}
    Accepted {
        /// The route of the request.
        route: RouteName,
        /// The workspace of the caller.
        workspace: WorkspaceName,
    },
    /// queued behind {ahead} others
    Queued {
        /// How many requests are ahead.
        ahead: u32,
    },
    /// planned {0}
    Planned(Box<Plan>),
    /// attempt {attempt}: prefill started
    PrefillStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// attempt {attempt}: prefilled, {cached_tokens} tokens came from the cache
    Prefilled {
        /// The attempt.
        attempt: AttemptId,
        /// How many prompt tokens came from the prefix cache.
        cached_tokens: u32,
    },
    /// attempt {attempt}: KV transfer to {to} started
    TransferStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The decode engine that imports the KV cache.
        to: ServerName,
    },
    /// attempt {attempt}: KV transfer stalled
    TransferStalled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// attempt {attempt}: first token
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// attempt {attempt}: dispatched
    Dispatched {
        /// The attempt.
        attempt: AttemptId,
    },
    /// attempt {attempt}: failed, {cause}
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// What went wrong.
        cause: Box<str>,
    },
    /// attempt {attempt}: a late or crossed frame dropped
    FrameDropped {
        /// The attempt that the frame belonged to.
        attempt: AttemptId,
    },
    /// attempt {attempt}: stream resumed at token {offset}
    Resumed {
        /// The attempt.
        attempt: AttemptId,
        /// The number of tokens that were relayed before.
        offset: u32,
    },
    /// handed over to {to}
    HandedOver {
        /// The instance that goes on with it.
        to: InstanceName,
    },
    /// finished, {outcome}, {tokens} tokens
    Finished {
        /// What became of the request.
        outcome: Outcome,
        /// The number of output tokens; 0 for plain services.
        tokens: u32,
    },
    /// refused, {code}, {outcome}: {message}
    Refused {
        /// The code of the refusal.
        code: RefusalCode,
        /// Whether the request may have run.
        outcome: Outcome,
        /// What the caller was told.
        message: Box<str>,
    },
    /// cancelled, {cause}
    Cancelled {
        /// Why it was cancelled.
        cause: Box<str>,
    },
    /// server {state}, incarnation {incarnation}
    ServerState {
        /// The state that is now known.
        state: ServerState,
        /// The incarnation of the server.
        incarnation: Incarnation,
    },
    /// instance {instance} {state}, incarnation {incarnation}
    InstanceState {
        /// The instance.
        instance: InstanceName,
        /// The state that is now known.
        state: ServerState,
        /// The incarnation of the instance.
        incarnation: Incarnation,
    },
    /// configuration version {version} in force
    ConfigApplied {
        /// The version.
        version: u64,
    },
    /// configuration version {version} refused, {findings} findings
    ConfigRefused {
        /// The version.
        version: u64,
        /// How many findings it has.
        findings: u32,
    },
    /// claim {key} written
    ClaimWritten {
        /// The idempotency key.
        key: IdempotencyKey,
    },
    /// claim {key} settled, {outcome}
    ClaimSettled {
        /// The idempotency key.
        key: IdempotencyKey,
        /// The outcome that was kept.
        outcome: Outcome,
    },
    /// claim {key} found, {outcome}
    ClaimFound {
        /// The idempotency key.
        key: IdempotencyKey,
        /// The outcome that was kept before.
        outcome: Outcome,
    },
    /// claim {key} not written, {cause}
    ClaimFailed {
        /// The idempotency key.
        key: IdempotencyKey,
        /// Why it could not be written.
        cause: Box<str>,
    },
    /// order lease taken, fencing token {fence}
    OrderLeased {
        /// The fencing token of the lease.
        fence: u64,
    },
    /// order sent, fencing token {fence}: {order}
    OrderSent {
        /// The fencing token of the lease.
        fence: u64,
        /// The order.
        order: Box<str>,
    },
    /// order confirmed, fencing token {fence}
    OrderConfirmed {
        /// The fencing token of the lease.
        fence: u64,
    },
    /// order failed, fencing token {fence}: {cause}
    OrderFailed {
        /// The fencing token of the lease.
        fence: u64,
        /// What went wrong.
        cause: Box<str>,
    },
    /// drain started
    DrainStarted,
    /// drain finished, {left} requests left
    DrainFinished {
        /// How many requests were left when the limit had passed.
        left: u32,
    },
    /// drain withdrawn
    DrainWithdrawn,
    /// fingerprint {fingerprint} quarantined
    Quarantined {
        /// The fingerprint of the request.
        fingerprint: Box<str>,
    },
    /// fingerprint {fingerprint} released
    Released {
        /// The fingerprint of the request.
        fingerprint: Box<str>,
    },
    /// orphaned stream {stream} cancelled
    Reaped {
        /// The engine's identifier of the stream.
        stream: Box<str>,
    },
    /// authentication failed on the listener for {listener}, status {status}
    AuthFailed {
        /// The listener.
        listener: Listener,
        /// The HTTP status of the answer.
        status: u16,
    },
    /// command by {operator}: {command}
    CommandGiven {
        /// The name of the operator.
        operator: Box<str>,
        /// The command.
        command: Box<str>,
    },
}

/// The decision for one attempt, with its inputs and what was rejected.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// The attempt.
    pub attempt: AttemptId,
    /// The chosen prefill engine.
    pub prefill_server: ServerName,
    /// The decode engine that holds the reservation.
    pub decode_server: ServerName,
    /// How many prompt tokens are expected in the prefix cache.
    pub cached_tokens: u32,
    /// How many prompt tokens are left to read.
    pub uncached_tokens: u32,
    /// The expected wait in the queue of the prefill engine, in milliseconds.
    pub queue_ms: u64,
    /// The expected time of the prefill, in milliseconds.
    pub prefill_ms: u64,
    /// The expected time of the KV transfer, in milliseconds.
    pub transfer_ms: u64,
    /// The expected time to the first token, in milliseconds.
    pub ttft_ms: u64,
    /// What is left until the target, in milliseconds; negative if the target will be missed.
    pub slack_ms: i64,
    /// The age of the load report that was used, in milliseconds.
    pub report_age_ms: u64,
    /// The route's weight of not wasting prefill work.
    pub wasted_prefill_weight: f64,
    /// The route's weight of answers within both latency targets.
    pub goodput_weight: f64,
    /// The servers that were considered and not taken.
    pub rejected: Box<[RejectedServer]>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt {}: prefill on {}", self.attempt, self.prefill_server)?;
        write!(f, ", decode on {}", self.decode_server)?;
        write!(f, "; {} tokens cached, {} to read", self.cached_tokens, self.uncached_tokens)?;
        write!(f, "; TTFT {} ms (queue {}", self.ttft_ms, self.queue_ms)?;
        write!(f, ", prefill {}, transfer {})", self.prefill_ms, self.transfer_ms)?;
        write!(f, ", slack {} ms; report {} ms old", self.slack_ms, self.report_age_ms)?;
        write!(f, "; weights wasted_prefill {}", self.wasted_prefill_weight)?;
        write!(f, ", goodput {}", self.goodput_weight)?;
        for (index, rejected) in self.rejected.iter().enumerate() {
            let lead = if index == 0 { "; rejected" } else { "," };
            write!(f, "{lead} {rejected}")?;
        }
        Ok(())
    }
}

/// A server that was considered and not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RejectedServer {
    /// The server.
    pub server: ServerName,
    /// Why it was not taken.
    pub reason: Box<str>,
    /// The time to the first token that was expected there, in milliseconds.
    pub ttft_ms: Option<u64>,
}

impl fmt::Display for RejectedServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}", self.server, self.reason)?;
        if let Some(ttft_ms) = self.ttft_ms {
            write!(f, ", TTFT {ttft_ms} ms")?;
        }
        f.write_str(")")
    }
}

/// The state of a backend server or an instance, as others see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// live
    Live,
    /// suspected
    Suspected,
    /// ejected as an outlier
    Ejected,
    /// leaving
    Leaving,
    /// dead
    Dead,
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listener {
    /// callers
    Callers,
    /// other instances
    Peers,
    /// operators
    Operators,
}
