//! The kinds of events and their details.

use std::fmt;

use displaydoc::Display;
use magnoliaspar_core::{
    AttemptId, IdempotencyKey, Incarnation, InstanceName, Outcome, RefusalCode, RouteName,
    ServerName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

/// The kinds of events, with their details.
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
        /// Number of requests ahead in the queue.
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
        /// Number of prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// attempt {attempt}: KV transfer to {to} started
    TransferStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The decode server that receives the KV cache.
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
        /// The cause of the failure.
        cause: Box<str>,
    },
    /// attempt {attempt}: dropped a late frame or a frame of another stream
    FrameDropped {
        /// The attempt that the frame belonged to.
        attempt: AttemptId,
    },
    /// attempt {attempt}: stream resumed at token {offset}
    Resumed {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens relayed to the caller before the stream was resumed.
        offset: u32,
    },
    /// handed over to {to}
    HandedOver {
        /// The instance that continues the request.
        to: InstanceName,
    },
    /// finished, {outcome}, {tokens} tokens
    Finished {
        /// The outcome of the request.
        outcome: Outcome,
        /// Number of output tokens; 0 for calls of services that are not model engines.
        tokens: u32,
    },
    /// refused, {code}, {outcome}: {message}
    Refused {
        /// The code of the refusal, as the caller received it.
        code: RefusalCode,
        /// The outcome, which says whether the request may have run.
        outcome: Outcome,
        /// The message that the caller received.
        message: Box<str>,
    },
    /// cancelled, {cause}
    Cancelled {
        /// The cause of the cancellation.
        cause: Box<str>,
    },
    /// server {state}, incarnation {incarnation}
    ServerState {
        /// The new state.
        state: ServerState,
        /// The incarnation of the server.
        incarnation: Incarnation,
    },
    /// instance {instance} {state}, incarnation {incarnation}
    InstanceState {
        /// The instance.
        instance: InstanceName,
        /// The new state.
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
        /// Number of findings in the refused version.
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
        /// The outcome stored with the claim.
        outcome: Outcome,
    },
    /// claim {key} found, {outcome}
    ClaimFound {
        /// The idempotency key.
        key: IdempotencyKey,
        /// The outcome already stored with the claim.
        outcome: Outcome,
    },
    /// claim {key} not written, {cause}
    ClaimFailed {
        /// The idempotency key.
        key: IdempotencyKey,
        /// The cause of the failed write.
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
        /// The text of the order.
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
        /// The cause of the failure.
        cause: Box<str>,
    },
    /// drain started
    DrainStarted,
    /// drain finished, {left} requests left
    DrainFinished {
        /// Number of requests still in flight when the drain limit had passed.
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
        /// The engine's identifier for the stream.
        stream: Box<str>,
    },
    /// authentication failed on the listener for {listener}, status {status}
    AuthFailed {
        /// The listener on which authentication failed.
        listener: Listener,
        /// The HTTP status of the response.
        status: u16,
    },
    /// command by {operator}: {command}
    CommandGiven {
        /// The name of the operator.
        operator: Box<str>,
        /// The text of the command.
        command: Box<str>,
    },
}

/// The placement decision for one attempt, with its inputs and the rejected candidates.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// The attempt.
    pub attempt: AttemptId,
    /// The chosen prefill server.
    pub prefill_server: ServerName,
    /// The decode server that holds the reservation.
    pub decode_server: ServerName,
    /// Number of prompt tokens expected in the prefix cache.
    pub cached_tokens: u32,
    /// Number of prompt tokens that remain to be prefilled.
    pub uncached_tokens: u32,
    /// Expected queueing time at the prefill server, in milliseconds.
    pub queue_ms: u64,
    /// Expected prefill time, in milliseconds.
    pub prefill_ms: u64,
    /// Expected KV transfer time, in milliseconds.
    pub transfer_ms: u64,
    /// Expected TTFT, in milliseconds.
    pub ttft_ms: u64,
    /// Time from the expected first token to the TTFT target, in milliseconds; negative if the
    /// target is expected to be missed.
    pub slack_ms: i64,
    /// Age of the load report used for the decision, in milliseconds.
    pub report_age_ms: u64,
    /// The route's weight for avoiding wasted prefill work.
    pub wasted_prefill_weight: f64,
    /// The route's weight for goodput: answers that meet both latency targets.
    pub goodput_weight: f64,
    /// The candidates that were not chosen.
    pub rejected: Box<[RejectedServer]>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt {}: prefill on {}", self.attempt, self.prefill_server)?;
        write!(f, ", decode on {}", self.decode_server)?;
        write!(f, "; {} tokens cached, {} to prefill", self.cached_tokens, self.uncached_tokens)?;
        write!(f, "; TTFT {} ms (queue {}", self.ttft_ms, self.queue_ms)?;
        write!(f, ", prefill {}, transfer {})", self.prefill_ms, self.transfer_ms)?;
        write!(f, ", slack {} ms; report {} ms old", self.slack_ms, self.report_age_ms)?;
        write!(f, "; weights wasted_prefill {}", self.wasted_prefill_weight)?;
        write!(f, ", goodput {}", self.goodput_weight)?;
        for (index, rejected) in self.rejected.iter().enumerate() {
            let separator = if index == 0 { "; rejected" } else { "," };
            write!(f, "{separator} {rejected}")?;
        }
        Ok(())
    }
}

/// A candidate server that was not chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RejectedServer {
    /// The server.
    pub server: ServerName,
    /// The reason for the rejection.
    pub reason: Box<str>,
    /// Expected TTFT on this server, in milliseconds, if it was computed.
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

/// The state of a backend server or an instance, as seen by other instances.
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

/// The listeners of an instance, named after those who connect to them.
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
