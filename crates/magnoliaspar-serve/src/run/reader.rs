//! Opens runs on home instances and reads their answers, with failover to other instances.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use magnoliaspar_core::{InstanceName, Outcome, Refusal, RefusalCode};

use super::completion::CompletionRequest;
use super::link::{Home, OpenError, RunLink};
use super::running::{RunResult, RunUpdate};

/// Maximum attempts to reopen a run after the link to its home instance broke.
const MAX_REOPEN_ATTEMPTS: u32 = 4;

/// Delay before the first attempt to reopen a run; it doubles with each attempt.
const REOPEN_BACKOFF: Duration = Duration::from_millis(50);

/// Chooses the home instance of a request.
pub trait HomeChooser {
    /// Returns the candidate homes in order of preference.
    fn choose(&self, req: &CompletionRequest) -> Vec<Rc<dyn Home>>;
}

/// Opens runs on their home instances.
pub struct RunOpener {
    chooser: Rc<dyn HomeChooser>,
}

impl RunOpener {
    /// Creates an opener that selects home instances with `chooser`.
    pub fn new(chooser: Rc<dyn HomeChooser>) -> Self {
        Self { chooser }
    }

    /// Opens a run on its home instance and reads its answer.
    pub async fn open(&self, req: CompletionRequest) -> Result<AnswerReader, Refusal> {
        let requested_from = req.from;
        let req = CompletionRequest { from: 0, ..req };
        let lost = BTreeSet::new();
        let opened = open(&*self.chooser, &req, &lost).await;
        let link = opened.map_err(|failure| failure.refusal)?;
        // A new run produces its answer from the first token, so that two answers are never mixed.
        let skip_until = if link.is_new() { 0 } else { requested_from };
        let chooser = self.chooser.clone();
        let declined = BTreeSet::new();
        Ok(AnswerReader { chooser, req, link, skip_until, lost, declined, reopen_attempts: 0 })
    }
}

/// Reads one answer and reopens the run elsewhere if its home instance is lost.
pub struct AnswerReader {
    chooser: Rc<dyn HomeChooser>,
    req: CompletionRequest,
    link: Box<dyn RunLink>,
    /// The index of the first token to return; earlier ones are skipped.
    skip_until: u32,
    /// Home instances to which a link broke.
    lost: BTreeSet<InstanceName>,
    /// Home instances that refused the run, or that were tried after a refusal.
    declined: BTreeSet<InstanceName>,
    /// Number of attempts to reopen the run.
    reopen_attempts: u32,
}

impl AnswerReader {
    /// Waits for the next update. [`RunUpdate::Ended`] is the last one.
    pub async fn next(&mut self) -> RunUpdate {
        loop {
            let update = match self.link.next().await {
                Ok(update) => update,
                Err(broken) => match self.reopen(&broken.message).await {
                    Ok(()) => continue,
                    Err(refusal) => return RunUpdate::Ended(RunResult::Refused(refusal)),
                },
            };
            if let RunUpdate::Ended(RunResult::Refused(refusal)) = &update
                && self.open_elsewhere(refusal).await
            {
                continue;
            }
            self.track(&update);
            if self.is_skipped(&update) {
                continue;
            }
            return update;
        }
    }

    /// Cancels the run, which frees its resources, after the caller has disconnected.
    pub fn cancel(&mut self) {
        self.link.cancel();
    }

    /// Reports that the caller has received the whole answer.
    pub fn set_delivered(&mut self) {
        self.link.set_delivered();
    }

    /// Opens the run on another home if the one that refused it has certainly not run it.
    async fn open_elsewhere(&mut self, refusal: &Refusal) -> bool {
        let is_not_run = refusal.outcome == Outcome::NotRun && self.req.emitted.is_empty();
        let Some(scope) = RetryScope::for_refusal(refusal.code).filter(|_| is_not_run) else {
            return false;
        };
        self.declined.insert(self.link.home().clone());
        for home in self.chooser.choose(&self.req) {
            let is_tried = self.declined.contains(home.name()) || self.lost.contains(home.name());
            if is_tried || scope == RetryScope::OtherZones && !home.is_in_other_zone() {
                continue;
            }
            self.declined.insert(home.name().clone());
            let Ok(link) = home.open(&self.req).await else { continue };
            info!(request = self.req.id.request.as_str(), home = home.name().as_str();
                "retrying the request on another home instance: {}", refusal.message);
            self.link = link;
            return true;
        }
        false
    }

    fn is_skipped(&self, update: &RunUpdate) -> bool {
        matches!(update, RunUpdate::Token { index, .. } if *index < self.skip_until)
    }

    fn track(&mut self, update: &RunUpdate) {
        match update {
            RunUpdate::Placed(placement) => self.req.placement = Some(placement.clone()),
            RunUpdate::Token { index, text } => {
                self.req.from = index + 1;
                if *index == self.req.emitted.len() as u32 {
                    self.req.emitted.push(text.clone());
                }
            }
            RunUpdate::Ended(_) | RunUpdate::Superseded => {}
        }
    }

    /// Reopens the run on another home, from the first missing token on.
    async fn reopen(&mut self, cause: &str) -> Result<(), Refusal> {
        self.lost.insert(self.link.home().clone());
        while self.reopen_attempts < MAX_REOPEN_ATTEMPTS {
            info!(request = self.req.id.request.as_str(); "reopening the run: {cause}");
            tokio::time::sleep(REOPEN_BACKOFF * 2u32.pow(self.reopen_attempts)).await;
            self.reopen_attempts += 1;
            match open(&*self.chooser, &self.req, &self.lost).await {
                Ok(link) => {
                    self.link = link;
                    return Ok(());
                }
                Err(failure) if !failure.is_final => {}
                Err(mut failure) => {
                    failure.refusal.outcome = Outcome::MayHaveRun;
                    return Err(failure.refusal);
                }
            }
        }
        let message = "the home instance of the request was lost";
        Err(Refusal::may_have_run(RefusalCode::ServerFailed, message))
    }
}

/// The homes on which a refused request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryScope {
    /// Any other instance.
    AllZones,
    /// Only instances of other availability zones, since the own zone has no capacity.
    OtherZones,
}

impl RetryScope {
    fn for_refusal(code: RefusalCode) -> Option<Self> {
        match code {
            RefusalCode::Draining | RefusalCode::NotReady => Some(Self::AllZones),
            RefusalCode::NoServer | RefusalCode::Overloaded => Some(Self::OtherZones),
            _ => None,
        }
    }
}

/// Opens a run on the first reachable home; those in `lost` are tried last.
async fn open(
    chooser: &dyn HomeChooser,
    req: &CompletionRequest,
    lost: &BTreeSet<InstanceName>,
) -> Result<Box<dyn RunLink>, OpenFailure> {
    let mut homes = chooser.choose(req);
    homes.sort_by_key(|home| lost.contains(home.name()));
    let mut failure = OpenFailure::unreachable("no instance serves the pool");
    let mut may_have_run = false;
    for home in homes {
        match home.open(req).await {
            Ok(link) => return Ok(link),
            Err(OpenError::Refused(refusal)) if RetryScope::for_refusal(refusal.code).is_some() => {
                failure = OpenFailure { refusal, is_final: false };
            }
            Err(OpenError::Refused(mut refusal)) => {
                if may_have_run && refusal.outcome == Outcome::NotRun {
                    refusal.outcome = Outcome::MayHaveRun;
                }
                return Err(OpenFailure { refusal, is_final: true });
            }
            Err(OpenError::Unreachable(message)) => failure = OpenFailure::unreachable(&message),
            Err(OpenError::Lost(message)) => {
                may_have_run = true;
                failure = OpenFailure::unreachable(&message);
            }
        }
    }
    if may_have_run {
        failure.refusal.outcome = Outcome::MayHaveRun;
    }
    Err(failure)
}

/// The reason why no home opened a run, and whether retrying is pointless.
struct OpenFailure {
    refusal: Refusal,
    is_final: bool,
}

impl OpenFailure {
    fn unreachable(message: &str) -> Self {
        Self { refusal: Refusal::not_run(RefusalCode::NoServer, message), is_final: false }
    }
}
