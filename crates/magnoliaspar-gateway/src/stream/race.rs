//! The race between an engine that is silent and a successor that is started beside it.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use tokio::sync::watch;

use super::{Attempts, Context, Opened};
use crate::call::{can_connect, record_silence};
use crate::gateway::Gateway;
use crate::hedge::{Course, Patience};
use crate::refusal::Refusal;

/// Result of a wait for an engine beside which a successor may have been started.
pub(super) enum Raced<T> {
    /// The engine has responded or failed.
    First(T),
    /// The successor has responded, and the engine was given up.
    Successor(Opened),
    /// The engine was given up for a successor that has failed since.
    Lost(Refusal),
}

impl Attempts {
    /// Waits for `first`, and starts a successor beside it when it is silent for too long. `first` is given up
    /// once the successor has sent events.
    pub(super) async fn race<F: Future>(
        &mut self,
        cx: Context<'_>,
        watched: &Watched,
        resume_after: Option<u64>,
        first: F,
        is_failure: fn(&F::Output) -> bool,
    ) -> Raced<F::Output> {
        let mut first = Box::pin(first);
        let mut patience = Patience::new(watched.limit);
        loop {
            let route = &cx.req.route;
            let may_hedge = self.tally.allows_attempt(route) || self.tally.allows_return(route);
            let reason = tokio::select! {
                biased;
                out = &mut first => return Raced::First(out),
                reason = watched.wait(cx, patience), if may_hedge => reason,
            };
            if !self.allows_attempt(route) {
                // Another engine may be given up later, to which the completion can return.
                patience.back_off(cx.gateway.clock.now());
                continue;
            }
            let silent = cx.gateway.clock.now() - watched.silent_since.get();
            record_silence(cx.gateway, watched.server, silent);
            let server = cx.gateway.server_name(watched.server);
            let silent_ms = silent.as_millis() as u64;
            log::info!(request = &*cx.req.facts.id, server = &*server, reason, silent_ms; "hedge_started");
            // The successor reports to this race; the attempt itself may be the successor in another one.
            let course = watch::Sender::new(Course::default());
            let outer = std::mem::replace(&mut self.course, course);
            let raced = self.race_successor(cx, watched, resume_after, first, is_failure).await;
            self.course = outer;
            match raced {
                Ok(raced) => return raced,
                Err(alone) => first = alone,
            }
            patience.back_off(cx.gateway.clock.now());
        }
    }

    /// Waits for a silent engine and a successor; returns `first` if it is the one that is kept.
    async fn race_successor<F: Future>(
        &mut self,
        cx: Context<'_>,
        watched: &Watched,
        resume_after: Option<u64>,
        mut first: Pin<Box<F>>,
        is_failure: fn(&F::Output) -> bool,
    ) -> Result<Raced<F::Output>, Pin<Box<F>>> {
        let request = &*cx.req.facts.id;
        let mut course = self.course.subscribe();
        let in_hand = InHand::new(&self.in_hand);
        let mut successor = self.open_successor(cx, resume_after);
        let end = tokio::select! {
            biased;
            out = &mut first => HedgeEnd::First(out),
            opened = &mut successor => HedgeEnd::Successor(opened),
            () = wait_for_overlap(cx, &mut course) => HedgeEnd::Overlap,
        };
        match end {
            HedgeEnd::First(out) if is_failure(&out) => {
                log::info!(request, won = "second", reason = "the first failed"; "hedge_ended");
                drop(in_hand);
                Ok(successor.await.map_or(Raced::First(out), Raced::Successor))
            }
            HedgeEnd::First(out) => {
                log::info!(request, won = "first", reason = "it went on"; "hedge_ended");
                Ok(Raced::First(out))
            }
            HedgeEnd::Successor(Ok(opened)) => {
                log::info!(request, won = "second", reason = "it was sooner"; "hedge_ended");
                Ok(Raced::Successor(opened))
            }
            HedgeEnd::Successor(Err(refusal)) => {
                log::info!(request, won = "first", reason:% = refusal; "hedge_ended");
                Err(first)
            }
            HedgeEnd::Overlap if course.borrow().keeps_first(watched.is_alive(cx)) => {
                let is_return = course.borrow().is_return;
                let reason = if is_return { "the second returned" } else { "its engine lives" };
                log::info!(request, won = "first", reason; "hedge_ended");
                Err(first)
            }
            HedgeEnd::Overlap => {
                log::info!(request, won = "second", reason = "one engine must stop"; "hedge_ended");
                drop(first);
                drop(in_hand);
                Ok(successor.await.map_or_else(Raced::Lost, Raced::Successor))
            }
        }
    }
}

/// Counts a silent attempt as in hand until dropped.
struct InHand(Rc<Cell<u32>>);

impl InHand {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The first end in a race between a silent engine and its successor.
enum HedgeEnd<T> {
    /// The engine has responded or failed.
    First(T),
    /// The successor has sent events, or no further attempt is allowed.
    Successor(Result<Opened, Refusal>),
    /// Both run the completion for as long as they may.
    Overlap,
}

/// An engine that is watched for silence.
pub(super) struct Watched {
    /// The engine.
    pub server: ServerKey,
    /// The time of its last sign of life.
    pub silent_since: Rc<Cell<Instant>>,
    /// The time for which the engine may be silent.
    pub limit: Duration,
    /// Interval at which it is checked that a silent engine still accepts connections, if it is.
    pub check_interval: Option<Duration>,
}

impl Watched {
    /// Waits until a successor is due, and returns the reason.
    async fn wait(&self, cx: Context<'_>, patience: Patience) -> &'static str {
        loop {
            let now = cx.gateway.clock.now();
            let left = patience.left(self.silent_since.get(), now);
            if left.is_zero() {
                return "silent";
            }
            let Some(interval) = self.check_interval else {
                tokio::time::sleep(left).await;
                continue;
            };
            let is_due = now - self.silent_since.get() >= interval && !patience.has_asked();
            if is_due && is_lost(cx.gateway, self.server).await {
                return "unreachable";
            }
            tokio::time::sleep(interval.min(left)).await;
        }
    }

    /// Returns whether the engine has responded to another call since it fell silent.
    fn is_alive(&self, cx: Context<'_>) -> bool {
        let directory = cx.gateway.directory.borrow();
        let server = directory.get(self.server);
        server.is_some_and(|server| server.has_answered_since(self.silent_since.get()))
    }
}

/// Waits until two engines have run a completion for as long as they may.
async fn wait_for_overlap(cx: Context<'_>, course: &mut watch::Receiver<Course>) {
    loop {
        let left = course.borrow_and_update().overlap_left(cx.gateway.clock.now());
        let changed = course.changed();
        match left {
            Some(left) if left.is_zero() => return,
            // Without a sender the attempt has ended.
            Some(left) => {
                if let Ok(Err(_)) = tokio::time::timeout(left, changed).await {
                    return tokio::time::sleep(left).await;
                }
            }
            None if changed.await.is_err() => std::future::pending().await,
            None => {}
        }
    }
}

/// Returns whether a silent server refuses new connections. One without an entry may have left, and ends its streams
/// in order.
async fn is_lost(gateway: &Rc<Gateway>, server: ServerKey) -> bool {
    let is_unreachable = {
        let directory = gateway.directory.borrow();
        directory.get(server).map(|server| server.is_unreachable)
    };
    match is_unreachable {
        Some(is_unreachable) => is_unreachable || !can_connect(gateway, server).await,
        None => false,
    }
}
