//! Asks the home of completions for engines, and waits for them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use tokio::sync::mpsc;

use crate::call::Incoming;
use crate::directory::EngineRole;
use crate::gateway::Gateway;
use crate::home::{Grant, START_TIME, Verdict, Want, decide};
use crate::ledger::{Booking, BookingId};
use crate::peers::{BookingEntry, Home, News};
use crate::place::{DEFAULT_READING_SPEED, Plan};
use crate::refusal::Refusal;

/// The longest wait of a completion, as a multiple of its latency target.
///
/// Callers leave a stream whose first event has not come after four times the target.
const LONGEST_WAIT_TARGETS: f64 = 3.3;

/// How long the home may take to answer; some ten times the way there and back.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);

/// How often a home is asked that does not answer, before the next one is.
const ASK_TRIES: u32 = 2;

/// How often a home is asked again that has said that the completion waits.
const REASK_INTERVAL: Duration = Duration::from_millis(200);

/// How much later than expected a prompt may be read before its engine counts as failed.
const PREFILL_CAUTION: f64 = 2.5;

/// The least time that a prefill engine has for a prompt.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(300);

/// A completion that may start, and its booking.
pub struct Placement {
    gateway: Rc<Gateway>,
    id: BookingId,
    /// Which engines run it.
    pub plan: Plan,
    /// How long the prefill engine may take.
    pub prefill_patience: Duration,
}

impl Placement {
    /// Takes in that the prompt was read.
    pub fn prompt_read(&self) {
        self.gateway.tell_homes(News::PromptRead(self.id));
    }
}

impl Placement {
    /// Takes in how many tokens have come.
    pub fn took_tokens(&self, tokens: u64) {
        let now = self.gateway.clock.now();
        let instance = self.gateway.settings().instance.clone();
        self.gateway.ledger.borrow_mut().took_tokens(&instance, self.id, tokens, now);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.gateway.tell_homes(News::Freed(self.id));
    }
}

/// Gets engines for a completion, and waits for memory if there is none.
pub async fn admit(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    tried: &[ServerKey],
    is_resumption: bool,
) -> Result<Placement, Refusal> {
    let longest = req.route.target_latency.mul_f64(LONGEST_WAIT_TARGETS);
    let start = if is_resumption { gateway.clock.now() } else { req.received };
    let until = (start + longest).min(req.deadline);
    let mut excluded = gateway.unusable(&req.service, tried);
    loop {
        let mut ask = Ask::new(gateway, req, excluded.clone(), is_resumption, until);
        let verdict = ask.wait_for_verdict().await;
        let Some(Verdict::Granted(grant)) = &verdict else {
            return ask.take(verdict, req);
        };
        let Some(engine) = unusable_engine(gateway, grant) else {
            return ask.take(verdict, req);
        };
        // The home is behind, or this instance; either way the engine cannot be used from here.
        let request = &*req.facts.id;
        let home = ask.home_name();
        let servers_revision = gateway.servers_mark.changed();
        log::warn!(request, home = &*home, engine = &*engine, servers_revision; "grant_unusable");
        gateway.tell_homes(News::EngineUnusable(engine.clone()));
        excluded.push(engine);
    }
}

/// Returns the engine of a grant that this instance does not know in that role, if there is one.
fn unusable_engine(gateway: &Gateway, grant: &Grant) -> Option<Box<str>> {
    if !gateway.can_use_engine(&grant.decode, EngineRole::Decode) {
        return Some(grant.decode.clone());
    }
    let prefill = grant.prefill.as_ref()?;
    (!gateway.can_use_engine(prefill, EngineRole::Prefill)).then(|| prefill.clone())
}

/// A question to the home, which is withdrawn unless it leads to a placement.
struct Ask<'a> {
    gateway: &'a Rc<Gateway>,
    id: BookingId,
    want: Want,
    received: Instant,
    until: Instant,
    /// The home that was asked last; none for this instance.
    home: Option<Home>,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    is_accepted: bool,
}

impl<'a> Ask<'a> {
    fn new(
        gateway: &'a Rc<Gateway>,
        req: &Incoming,
        excluded: Vec<Box<str>>,
        is_resumption: bool,
        until: Instant,
    ) -> Self {
        let id = gateway.next_booking();
        let (tx, verdicts) = mpsc::unbounded_channel();
        gateway.asks.borrow_mut().insert(id, tx);
        let want = Want {
            service: req.service.clone(),
            zone: gateway.settings().zone.clone(),
            prompt_tokens: req.facts.prompt_tokens,
            expected_tokens: req.facts.expected_tokens,
            most_tokens: req.facts.most_tokens,
            is_resumption,
            waited_ms: 0,
            target_ms: req.route.target_latency.as_millis() as u64,
            limit_ms: 0,
            excluded,
        };
        let received = req.received;
        Self { gateway, id, want, received, until, home: None, verdicts, is_accepted: false }
    }

    /// Asks homes until one has decided; none if the time is up.
    async fn wait_for_verdict(&mut self) -> Option<Verdict> {
        let mut tries = 0;
        let mut is_queued = false;
        loop {
            let now = self.gateway.clock.now();
            if now >= self.until {
                return None;
            }
            self.want.waited_ms = (now - self.received).as_millis() as u64;
            self.want.limit_ms = (self.until - now).as_millis() as u64;
            self.send();
            let patience = if is_queued { REASK_INTERVAL } else { ASK_TIMEOUT };
            match self.wait_for_answer(patience.min(self.until - now), &mut is_queued).await {
                Some(verdict) => return Some(verdict),
                None if is_queued => tries = 0,
                None => tries += 1,
            }
            if tries < ASK_TRIES {
                continue;
            }
            if let Some(home) = &self.home {
                log::warn!(home = &*home.instance, id = self.id; "home_silent");
                self.gateway.suspect_home(&home.instance);
            }
            tries = 0;
        }
    }

    /// Waits for a decision; that the completion waits is noted.
    async fn wait_for_answer(
        &mut self,
        patience: Duration,
        is_queued: &mut bool,
    ) -> Option<Verdict> {
        *is_queued = false;
        let mut rest = patience;
        loop {
            match tokio::time::timeout(rest, self.verdicts.recv()).await {
                Ok(Some(Verdict::Queued)) => {
                    *is_queued = true;
                    rest = REASK_INTERVAL.min(self.until - self.gateway.clock.now());
                }
                Ok(verdict) => return verdict,
                Err(_) => return None,
            }
        }
    }

    fn send(&mut self) {
        self.home = self.gateway.home();
        match &self.home {
            Some(home) => {
                let news = News::Ask(self.id, Box::new(self.want.clone()));
                self.gateway.tell(home.address, news);
            }
            None => {
                let instance = self.gateway.settings().instance.clone();
                let verdict = decide(self.gateway, &instance, self.id, self.want.clone());
                self.gateway.answer_ask(&instance, self.id, verdict);
            }
        }
    }

    /// Logs what was decided, and takes the engines that were granted.
    fn take(&mut self, verdict: Option<Verdict>, req: &Incoming) -> Result<Placement, Refusal> {
        let request = &*req.facts.id;
        let home = self.home_name();
        let waited_ms = (self.gateway.clock.now() - req.received).as_millis() as u64;
        match verdict {
            Some(Verdict::Granted(grant)) => {
                let Grant { decode, prefill, tokens_ahead } = &grant;
                log::info!(request, home = &*home, waited_ms, decode = &**decode, prefill = prefill.as_deref().unwrap_or("none"), tokens_ahead; "placed");
                self.accept(grant, req)
            }
            Some(Verdict::NoEngine) => {
                log::warn!(request, home = &*home, waited_ms, reason = "no engine"; "not_placed");
                Err(Refusal::NoServer)
            }
            Some(Verdict::Queued | Verdict::Hopeless) => {
                log::warn!(request, home = &*home, waited_ms, reason = "too many wait"; "not_placed");
                Err(Refusal::NoCapacity)
            }
            None => {
                log::warn!(request, home = &*home, waited_ms, reason = "no memory in time"; "not_placed");
                Err(Refusal::NoCapacity)
            }
        }
    }

    fn home_name(&self) -> Box<str> {
        self.home.as_ref().map_or("self".into(), |home| home.instance.clone())
    }

    fn accept(&mut self, grant: Grant, req: &Incoming) -> Result<Placement, Refusal> {
        let now = self.gateway.clock.now();
        let directory = self.gateway.directory.borrow();
        let decode = directory.key(&grant.decode).ok_or(Refusal::NoServer)?;
        let prefill = grant.prefill.as_ref().and_then(|prefill| directory.key(prefill));
        let plan = match prefill {
            Some(prefill) => Plan::Split { prefill, decode },
            None => Plan::Decode(decode),
        };
        let booking = Booking {
            decode: grant.decode,
            prefill: grant.prefill,
            prompt_tokens: req.facts.prompt_tokens,
            expected_tokens: req.facts.expected_tokens,
            most_tokens: req.facts.most_tokens,
            starts_at: now + START_TIME,
            booked_at: now,
            progress: None,
        };
        let news = News::Booked(self.id, BookingEntry::new(&booking, now));
        let instance = self.gateway.settings().instance.clone();
        self.gateway.ledger.borrow_mut().book(&instance, self.id, booking);
        self.gateway.tell_other_homes(news, self.home.as_ref());
        self.is_accepted = true;
        let tokens = grant.tokens_ahead + req.facts.prompt_tokens;
        let reading = Duration::from_secs_f64(tokens as f64 / DEFAULT_READING_SPEED / 1_000.0);
        let prefill_patience = MIN_PREFILL_TIME + reading.mul_f64(PREFILL_CAUTION);
        Ok(Placement { gateway: self.gateway.clone(), id: self.id, plan, prefill_patience })
    }
}

impl Drop for Ask<'_> {
    fn drop(&mut self) {
        self.gateway.asks.borrow_mut().remove(&self.id);
        if !self.is_accepted {
            // The caller may have left while the home decided.
            self.gateway.tell_homes(News::Freed(self.id));
        }
    }
}
