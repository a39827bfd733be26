//! The state of a run and the subscriptions to its answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use magnoliaspar_core::{Refusal, RouteName, ServerName};
use magnoliaspar_event::EventKind;
use tokio::sync::Notify;

use super::completion::{Completed, Placement, ScopedId};
use super::job::{JobHandle, WaitExplanation};
use super::stage::RunStage;

/// A completion that is running or has ended, with all tokens produced so far.
#[derive(Debug)]
pub struct Run {
    /// The identifier of the request.
    pub id: ScopedId,
    /// The fingerprint of the request's content, which detects reuse of an identifier.
    pub fingerprint: u64,
    state: RefCell<RunState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct RunState {
    tokens: Vec<Box<str>>,
    result: Option<RunResult>,
    placement: Option<Placement>,
    origin: Option<RunOrigin>,
    stage: RunStage,
    job: Option<JobHandle>,
    latest_subscription: u64,
    open_subscriptions: u32,
    is_delivered: bool,
    is_cancelled: bool,
    may_have_run: bool,
}

/// The route and the acceptance time of a run's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOrigin {
    /// The route.
    pub route: RouteName,
    /// The time at which the request was accepted.
    pub accepted_at: Instant,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// The answer is complete.
    Completed(Completed),
    /// The run ended without a complete answer.
    Refused(Refusal),
}

/// Error for a token whose predecessor is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGap {
    /// The index of the first missing token.
    pub expected: u32,
}

impl Run {
    /// Creates a run that starts with the tokens of earlier attempts.
    pub fn new(id: ScopedId, fingerprint: u64, emitted: Vec<Box<str>>) -> Self {
        let may_have_run = !emitted.is_empty();
        let state = RunState { tokens: emitted, may_have_run, ..RunState::default() };
        Self { id, fingerprint, state: RefCell::new(state), changed: Notify::new() }
    }

    /// Appends a token. Repeated tokens are ignored; a gap is an error.
    pub fn push_token(&self, index: u32, text: Box<str>) -> Result<(), TokenGap> {
        let mut state = self.state.borrow_mut();
        let expected = state.tokens.len() as u32;
        if index > expected {
            return Err(TokenGap { expected });
        }
        if index == expected && state.result.is_none() {
            state.tokens.push(text);
            drop(state);
            self.changed.notify_waiters();
        }
        Ok(())
    }

    /// Returns the tokens so far.
    pub fn tokens(&self) -> Vec<Box<str>> {
        self.state.borrow().tokens.clone()
    }

    /// Returns the number of tokens so far.
    pub fn token_count(&self) -> u32 {
        self.state.borrow().tokens.len() as u32
    }

    /// Sets the decode engine and the attempt that now run.
    pub fn set_placement(&self, placement: Placement) {
        self.state.borrow_mut().placement = Some(placement);
        self.changed.notify_waiters();
    }

    /// Sets the origin of the run.
    pub fn set_origin(&self, origin: RunOrigin) {
        self.state.borrow_mut().origin = Some(origin);
    }

    /// Returns the origin of the run, if it was set.
    pub fn origin(&self) -> Option<RunOrigin> {
        self.state.borrow().origin.clone()
    }

    /// Sets the scheduling job of the run.
    pub fn set_job(&self, job: JobHandle) {
        self.state.borrow_mut().job = Some(job);
    }

    /// Returns the reason why the run waits for a decision, or `None` if it does not wait.
    pub fn waiting(&self) -> Option<WaitExplanation> {
        let job = self.state.borrow().job.clone()?;
        job.waiting()
    }

    /// Updates the stage from an event of the run.
    pub fn observe(&self, server: Option<&ServerName>, kind: &EventKind) {
        self.state.borrow_mut().stage.observe(server, kind);
    }

    /// Returns the stage of the run.
    pub fn stage(&self) -> RunStage {
        self.state.borrow().stage.clone()
    }

    /// Returns whether an engine may have worked on the request.
    pub fn may_have_run(&self) -> bool {
        self.state.borrow().may_have_run
    }

    /// Sets whether an engine may have worked on the request.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.state.borrow_mut().may_have_run = may_have_run;
    }

    /// Ends the run. Later calls have no effect.
    pub fn finish(&self, result: RunResult) {
        let mut state = self.state.borrow_mut();
        if state.result.is_some() {
            return;
        }
        state.result = Some(result);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns whether the run has ended.
    pub fn is_finished(&self) -> bool {
        self.state.borrow().result.is_some()
    }

    /// Returns the result, if the run has ended.
    pub fn result(&self) -> Option<RunResult> {
        self.state.borrow().result.clone()
    }

    /// Returns whether the caller has received the whole answer.
    pub fn is_delivered(&self) -> bool {
        self.state.borrow().is_delivered
    }

    /// Marks the answer as completely received by the caller.
    pub fn set_delivered(&self) {
        self.state.borrow_mut().is_delivered = true;
    }

    /// Cancels the run, which makes its driver stop.
    pub fn cancel(&self) {
        self.state.borrow_mut().is_cancelled = true;
        self.changed.notify_waiters();
    }

    /// Refuses and cancels a run that no engine has worked on, so that another home can run it.
    pub fn hand_over(&self, refusal: Refusal) {
        self.finish(RunResult::Refused(refusal));
        self.cancel();
    }

    /// Returns whether there are no subscriptions.
    pub fn is_abandoned(&self) -> bool {
        self.state.borrow().open_subscriptions == 0
    }

    /// Waits until the run is cancelled.
    pub async fn cancelled(&self) {
        self.wait(|state| state.is_cancelled).await;
    }

    /// Subscribes to the answer from the token with index `from` on, and supersedes all earlier
    /// subscriptions.
    pub fn subscribe(self: &Rc<Self>, from: u32) -> Subscription {
        let mut state = self.state.borrow_mut();
        state.latest_subscription += 1;
        state.open_subscriptions += 1;
        let number = state.latest_subscription;
        drop(state);
        self.changed.notify_waiters();
        Subscription { run: self.clone(), number, next: from, sent_placement: None }
    }

    async fn wait(&self, condition: impl Fn(&RunState) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.state.borrow()) {
                return;
            }
            changed.await;
        }
    }
}

/// A subscription to the answer of a run.
#[derive(Debug)]
pub struct Subscription {
    run: Rc<Run>,
    number: u64,
    next: u32,
    sent_placement: Option<Placement>,
}

impl Subscription {
    /// Returns the run.
    pub fn run(&self) -> &Rc<Run> {
        &self.run
    }

    /// Returns whether no later subscription has superseded this one.
    pub fn is_latest(&self) -> bool {
        self.run.state.borrow().latest_subscription == self.number
    }

    /// Waits for the next update.
    pub async fn next(&mut self) -> RunUpdate {
        loop {
            let run = self.run.clone();
            let changed = run.changed.notified();
            if let Some(update) = self.poll_update() {
                return update;
            }
            changed.await;
        }
    }

    fn poll_update(&mut self) -> Option<RunUpdate> {
        let state = self.run.state.borrow();
        if state.latest_subscription != self.number {
            return Some(RunUpdate::Superseded);
        }
        if state.placement != self.sent_placement {
            self.sent_placement = state.placement.clone();
            return self.sent_placement.clone().map(RunUpdate::Placed);
        }
        if let Some(text) = state.tokens.get(self.next as usize) {
            let index = self.next;
            self.next += 1;
            return Some(RunUpdate::Token { index, text: text.clone() });
        }
        state.result.clone().map(RunUpdate::Ended)
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.run.state.borrow_mut().open_subscriptions -= 1;
        self.run.changed.notify_waiters();
    }
}

/// An update that a reader of an answer receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunUpdate {
    /// The run is now decoded on this engine.
    Placed(Placement),
    /// One token.
    Token {
        /// The index of the token in the whole answer.
        index: u32,
        /// The text of the token.
        text: Box<str>,
    },
    /// The run has ended, and the reader has received all tokens.
    Ended(RunResult),
    /// A later subscription has superseded this one.
    Superseded,
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use magnoliaspar_core::{RequestId, WorkspaceName};

    use super::{Run, RunUpdate, TokenGap};
    use crate::run::ScopedId;

    fn run() -> Rc<Run> {
        let workspace = WorkspaceName::try_from("w").unwrap();
        let id = ScopedId { workspace, request: RequestId::random() };
        Rc::new(Run::new(id, 0, Vec::new()))
    }

    #[test]
    fn repeated_tokens_are_dropped_and_gaps_are_errors() {
        let run = run();
        run.push_token(0, "a".into()).unwrap();
        run.push_token(0, "x".into()).unwrap();
        assert_eq!(run.push_token(2, "c".into()), Err(TokenGap { expected: 1 }));
        assert_eq!(run.tokens(), ["a".into()]);
    }

    #[actix_rt::test]
    async fn a_later_reader_supersedes_an_earlier_one() {
        let run = run();
        let mut first = run.subscribe(0);
        run.push_token(0, "a".into()).unwrap();
        let mut second = run.subscribe(0);
        assert_eq!(first.next().await, RunUpdate::Superseded);
        assert_eq!(second.next().await, RunUpdate::Token { index: 0, text: "a".into() });
    }
}
