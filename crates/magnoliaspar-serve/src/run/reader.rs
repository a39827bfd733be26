//! Opens runs on home instances and reads their answers, with failover to other instances.

use std::collections::BTreeSet;
use std::pin::Pin;
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
        let tried = TriedHomes::default();
        Ok(AnswerReader { chooser, req, link, opening: None, skip_until, tried })
    }
}

/// Reads one answer and reopens the run elsewhere if its home instance is lost.
pub struct AnswerReader {
    chooser: Rc<dyn HomeChooser>,
    req: CompletionRequest,
    link: Box<dyn RunLink>,
    /// The search for another home, if there is one.
    opening: Option<Opening>,
    /// The index of the first token to return; earlier ones are skipped.
    skip_until: u32,
    tried: TriedHomes,
}

/// The home instances that cannot run a request.
#[derive(Debug, Default)]
struct TriedHomes {
    /// Those to which a link broke.
    lost: BTreeSet<InstanceName>,
    /// Those that refused the run, or that were tried after a refusal.
    declined: BTreeSet<InstanceName>,
    /// Number of attempts to reopen the run.
    reopen_attempts: u32,
}

/// The result of a search for another home.
struct Opened {
    tried: TriedHomes,
    link: Result<Box<dyn RunLink>, Refusal>,
}

/// A search for another home, which goes on over several waits for an update.
type Opening = Pin<Box<dyn Future<Output = Opened>>>;

impl AnswerReader {
    /// Waits for the next update. [`RunUpdate::Ended`] is the last one. Nothing is lost if the wait is given up.
    pub async fn next(&mut self) -> RunUpdate {
        loop {
            if let Some(opening) = &mut self.opening {
                let Opened { tried, link } = opening.await;
                self.opening = None;
                self.tried = tried;
                match link {
                    Ok(link) => self.link = link,
                    Err(refusal) => return RunUpdate::Ended(RunResult::Refused(refusal)),
                }
            }
            let update = match self.link.next().await {
                Ok(update) => update,
                Err(broken) => {
                    self.opening = Some(self.reopen(broken.message));
                    continue;
                }
            };
            if let RunUpdate::Ended(RunResult::Refused(refusal)) = &update
                && let Some(opening) = self.open_elsewhere(refusal)
            {
                self.opening = Some(opening);
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
        self.opening = None;
        self.link.cancel();
    }

    /// Reports that the caller has received the whole answer.
    pub fn set_delivered(&mut self) {
        self.link.set_delivered();
    }

    /// Starts to open the run on another home if the one that refused it has certainly not run it.
    fn open_elsewhere(&mut self, refusal: &Refusal) -> Option<Opening> {
        let is_not_run = refusal.outcome == Outcome::NotRun && self.req.emitted.is_empty();
        let scope = RetryScope::for_refusal(refusal.code).filter(|_| is_not_run)?;
        let mut tried = std::mem::take(&mut self.tried);
        tried.declined.insert(self.link.home().clone());
        let (chooser, req) = (self.chooser.clone(), self.req.clone());
        Some(Box::pin(open_elsewhere(chooser, req, scope, refusal.clone(), tried)))
    }

    /// Starts to reopen the run on another home, from the first missing token on.
    fn reopen(&mut self, cause: Box<str>) -> Opening {
        let mut tried = std::mem::take(&mut self.tried);
        tried.lost.insert(self.link.home().clone());
        Box::pin(reopen(self.chooser.clone(), self.req.clone(), cause, tried))
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
}

/// Opens a run on the first home that has not been tried and accepts it.
async fn open_elsewhere(
    chooser: Rc<dyn HomeChooser>,
    req: CompletionRequest,
    scope: RetryScope,
    refusal: Refusal,
    mut tried: TriedHomes,
) -> Opened {
    for home in chooser.choose(&req) {
        let is_tried = tried.declined.contains(home.name()) || tried.lost.contains(home.name());
        if is_tried || scope == RetryScope::OtherZones && !home.is_in_other_zone() {
            continue;
        }
        tried.declined.insert(home.name().clone());
        let Ok(link) = home.open(&req).await else { continue };
        info!(request = req.id.request.as_str(), home = home.name().as_str();
            "retrying the request on another home instance: {}", refusal.message);
        return Opened { tried, link: Ok(link) };
    }
    Opened { tried, link: Err(refusal) }
}

/// Reopens a run after the link to its home broke.
async fn reopen(
    chooser: Rc<dyn HomeChooser>,
    req: CompletionRequest,
    cause: Box<str>,
    mut tried: TriedHomes,
) -> Opened {
    while tried.reopen_attempts < MAX_REOPEN_ATTEMPTS {
        info!(request = req.id.request.as_str(); "reopening the run: {cause}");
        tokio::time::sleep(REOPEN_BACKOFF * 2u32.pow(tried.reopen_attempts)).await;
        tried.reopen_attempts += 1;
        match open(&*chooser, &req, &tried.lost).await {
            Ok(link) => return Opened { tried, link: Ok(link) },
            Err(failure) if !failure.is_final => {}
            Err(mut failure) => {
                failure.refusal.outcome = Outcome::MayHaveRun;
                return Opened { tried, link: Err(failure.refusal) };
            }
        }
    }
    let message = "the home instance of the request was lost";
    let refusal = Refusal::may_have_run(RefusalCode::ServerFailed, message);
    Opened { tried, link: Err(refusal) }
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

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;
    use std::rc::Rc;
    use std::time::{Duration, Instant};

    use async_trait::async_trait;
    use magnoliaspar_core::{
        InstanceName, Refusal, RefusalCode, RequestId, RouteName, WorkspaceName,
    };
    use magnoliaspar_engine::EndReason;

    use super::{HomeChooser, RunOpener};
    use crate::run::link::{Home, LinkBroken, OpenError, RunLink};
    use crate::run::running::{RunResult, RunUpdate};
    use crate::run::{Completed, CompletionRequest, ScopedId};

    /// Time that a home in another zone takes to open a run.
    const OPEN_TIME: Duration = Duration::from_millis(30);

    /// Time for which a caller waits for an update before it does something else.
    const WAIT: Duration = Duration::from_millis(10);

    /// Timeout of an answer.
    const READ_TIMEOUT: Duration = Duration::from_secs(5);

    /// A home whose runs have these updates; its links break after them.
    #[derive(Clone)]
    struct FakeHome {
        name: InstanceName,
        is_in_other_zone: bool,
        open_time: Duration,
        updates: Vec<RunUpdate>,
    }

    #[async_trait(?Send)]
    impl Home for FakeHome {
        fn name(&self) -> &InstanceName {
            &self.name
        }

        fn is_in_other_zone(&self) -> bool {
            self.is_in_other_zone
        }

        async fn open(&self, _: &CompletionRequest) -> Result<Box<dyn RunLink>, OpenError> {
            tokio::time::sleep(self.open_time).await;
            let (home, updates) = (self.name.clone(), self.updates.clone().into());
            Ok(Box::new(FakeLink { home, updates }))
        }
    }

    struct FakeLink {
        home: InstanceName,
        updates: VecDeque<RunUpdate>,
    }

    #[async_trait(?Send)]
    impl RunLink for FakeLink {
        fn is_new(&self) -> bool {
            true
        }

        fn home(&self) -> &InstanceName {
            &self.home
        }

        async fn next(&mut self) -> Result<RunUpdate, LinkBroken> {
            match self.updates.front().cloned() {
                // The end is repeated, as it is for a subscription to a run.
                Some(end @ RunUpdate::Ended(_)) => Ok(end),
                Some(_) => Ok(self.updates.pop_front().expect("there is an update")),
                None => Err(LinkBroken { message: "lost".into() }),
            }
        }

        fn cancel(&mut self) {}

        fn set_delivered(&mut self) {}
    }

    struct Homes(Vec<FakeHome>);

    impl HomeChooser for Homes {
        fn choose(&self, _: &CompletionRequest) -> Vec<Rc<dyn Home>> {
            self.0.iter().cloned().map(|home| Rc::new(home) as Rc<dyn Home>).collect()
        }
    }

    fn home(name: &str, open_time: Duration, updates: Vec<RunUpdate>) -> FakeHome {
        let is_in_other_zone = name.starts_with('b');
        let name = InstanceName::try_from(name).unwrap();
        FakeHome { name, is_in_other_zone, open_time, updates }
    }

    fn completed() -> RunUpdate {
        let completed =
            Completed { tokens: 0, reason: EndReason::Length, prompt_tokens: 1, cached_tokens: 0 };
        RunUpdate::Ended(RunResult::Completed(completed))
    }

    fn refused() -> RunUpdate {
        let refusal = Refusal::not_run(RefusalCode::NoServer, "no server");
        RunUpdate::Ended(RunResult::Refused(refusal))
    }

    /// Reads the end of an answer by waits that are given up again and again.
    async fn read_end(homes: Vec<FakeHome>) -> RunUpdate {
        let now = Instant::now();
        let req = CompletionRequest {
            id: ScopedId {
                workspace: WorkspaceName::try_from("w").unwrap(),
                request: RequestId::random(),
            },
            route: RouteName::try_from("r").unwrap(),
            prompt: "p".into(),
            max_tokens: 1,
            accepted_at: now,
            deadline: now + Duration::from_secs(10),
            from: 0,
            emitted: Vec::new(),
            placement: None,
        };
        let mut reader = RunOpener::new(Rc::new(Homes(homes))).open(req).await.ok().unwrap();
        let read = async {
            loop {
                let Ok(update) = tokio::time::timeout(WAIT, reader.next()).await else { continue };
                return update;
            }
        };
        tokio::time::timeout(READ_TIMEOUT, read).await.expect("the answer ends")
    }

    #[actix_rt::test]
    async fn a_refused_request_reaches_another_zone_though_the_wait_for_it_is_interrupted() {
        let own = home("a-1", Duration::ZERO, vec![refused()]);
        let other = home("b-1", OPEN_TIME, vec![completed()]);
        assert_eq!(read_end(vec![own, other]).await, completed());
    }

    #[actix_rt::test]
    async fn a_lost_run_is_reopened_though_the_wait_for_it_is_interrupted() {
        let lost = home("a-1", Duration::ZERO, Vec::new());
        let next = home("a-2", OPEN_TIME, vec![completed()]);
        assert_eq!(read_end(vec![lost, next]).await, completed());
    }
}
