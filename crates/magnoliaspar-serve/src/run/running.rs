use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use magnoliaspar_core::{Refusal, RouteName, ServerName};
use magnoliaspar_event::EventKind;
use tokio::sync::Notify;

use super::completion::{Completed, Placement, ScopedId};
use super::stage::RunStage;
use super::waiting::{JobHandle, Waiting};

/// A completion that runs or has ended, with all tokens produced so far.
#[derive(Debug)]
pub struct Run {
    /// The request.
    pub id: ScopedId,
    /// Tells whether another request with the same identifier asks for the same.
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

/// Where a run comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOrigin {
    /// The route.
    pub route: RouteName,
    /// When the request was accepted.
    pub accepted_at: Instant,
}

/// What a run ended with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// The answer is complete.
    Completed(Completed),
    /// There is no complete answer.
    Refused(Refusal),
}

/// Why a token was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGap {
    /// The index of the token that is missing.
    pub expected: u32,
}

impl Run {
    /// Creates a run that already has the tokens of earlier attempts.
    pub fn new(id: ScopedId, fingerprint: u64, emitted: Vec<Box<str>>) -> Self {
        let may_have_run = !emitted.is_empty();
        let state = RunState { tokens: emitted, may_have_run, ..RunState::default() };
        Self { id, fingerprint, state: RefCell::new(state), changed: Notify::new() }
    }

    /// Adds a token; one that is already there is dropped.
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

    /// Notes where the run is now.
    pub fn set_placement(&self, placement: Placement) {
        self.state.borrow_mut().placement = Some(placement);
        self.changed.notify_waiters();
    }

    /// Notes where the run comes from.
    pub fn set_origin(&self, origin: RunOrigin) {
        self.state.borrow_mut().origin = Some(origin);
    }

    /// Returns where the run comes from, if it was noted.
    pub fn origin(&self) -> Option<RunOrigin> {
        self.state.borrow().origin.clone()
    }

    /// Notes the job that the run waits for or runs as.
    pub fn set_job(&self, job: JobHandle) {
        self.state.borrow_mut().job = Some(job);
    }

    /// Returns why the run waits for a decision, if it does.
    pub fn waiting(&self) -> Option<Waiting> {
        let job = self.state.borrow().job.clone()?;
        job.waiting()
    }

    /// Takes in what happened to the run.
    pub fn observe(&self, server: Option<&ServerName>, kind: &EventKind) {
        self.state.borrow_mut().stage.observe(server, kind);
    }

    /// Returns how far the run has come.
    pub fn stage(&self) -> RunStage {
        self.state.borrow().stage.clone()
    }

    /// Whether an engine may have worked on the request.
    pub fn may_have_run(&self) -> bool {
        self.state.borrow().may_have_run
    }

    /// Notes whether an engine may have worked on the request.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.state.borrow_mut().may_have_run = may_have_run;
    }

    /// Ends the run; only the first result counts.
    pub fn finish(&self, result: RunResult) {
        let mut state = self.state.borrow_mut();
        if state.result.is_some() {
            return;
        }
        state.result = Some(result);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Whether the run has ended.
    pub fn is_finished(&self) -> bool {
        self.state.borrow().result.is_some()
    }

    /// Returns what the run ended with.
    pub fn result(&self) -> Option<RunResult> {
        self.state.borrow().result.clone()
    }

    /// Whether the caller has received the whole answer.
    pub fn is_delivered(&self) -> bool {
        self.state.borrow().is_delivered
    }

    /// Notes that the caller has received the whole answer.
    pub fn set_delivered(&self) {
        self.state.borrow_mut().is_delivered = true;
    }

    /// Asks the driver to stop, since the caller is gone.
    pub fn cancel(&self) {
        self.state.borrow_mut().is_cancelled = true;
        self.changed.notify_waiters();
    }

    /// Ends a run that no engine has worked on, so that another home can run it.
    pub fn hand_over(&self, refusal: Refusal) {
        self.finish(RunResult::Refused(refusal));
        self.cancel();
    }

    /// Whether nobody reads the answer.
    pub fn is_abandoned(&self) -> bool {
        self.state.borrow().open_subscriptions == 0
    }

    /// Waits until the run is cancelled.
    pub async fn cancelled(&self) {
        self.wait(|state| state.is_cancelled).await;
    }

    /// Reads the answer from the token with index `from` on, in place of earlier readers.
    pub fn subscribe(self: &Rc<Self>, from: u32) -> Subscription {
        let mut state = self.state.borrow_mut();
        state.latest_subscription += 1;
        state.open_subscriptions += 1;
        let number = state.latest_subscription;
        drop(state);
        self.changed.notify_waiters();
        Subscription { run: self.clone(), number, next: from, has_placed: None }
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

/// One reader of a run's answer.
#[derive(Debug)]
pub struct Subscription {
    run: Rc<Run>,
    number: u64,
    next: u32,
    has_placed: Option<Placement>,
}

impl Subscription {
    /// Returns the run.
    pub fn run(&self) -> &Rc<Run> {
        &self.run
    }

    /// Whether no other reader has taken this one's place.
    pub fn is_latest(&self) -> bool {
        self.run.state.borrow().latest_subscription == self.number
    }

    /// Waits for what comes next.
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
        if state.placement != self.has_placed {
            self.has_placed = state.placement.clone();
            return self.has_placed.clone().map(RunUpdate::Placed);
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

/// What a reader of an answer learns next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunUpdate {
    /// The run is on this engine now.
    Placed(Placement),
    /// One token.
    Token {
        /// The index of the token in the whole answer.
        index: u32,
        /// The text of the token.
        text: Box<str>,
    },
    /// The run has ended, and all tokens were read.
    Ended(RunResult),
    /// Another reader has taken this one's place.
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
    fn repeated_tokens_are_dropped_and_gaps_are_noticed() {
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
