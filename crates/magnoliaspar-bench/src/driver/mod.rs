//! Drives a policy in virtual time against the simulated engines.

mod action;
mod caller;
mod fault;
mod probe;
mod stage;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, Clock, JobKey, ManualClock, ServerKey};
use magnoliaspar_policy::{LoadReport, Policy, Role, ServerSpec};
use rand::Rng;
use rand::rngs::StdRng;

use crate::arrival::{Arrival, RngStream};
use crate::deployment::Deployment;
use crate::engine::{CacheChange, DecodeEngine, Link, PrefillEngine};
use crate::event::{Event, EventQueue};
use crate::report::Report;
use crate::scenario::{Scenario, WARM_UP, WINDOW};
use crate::state::{Engine, Request, Server};
use crate::stats::{RunStats, Violation};

/// Time between two load reports of a server.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the creation of a load report to its arrival at the policy.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Time from a change of a prefix cache to the arrival of its events at the policy.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(300);

/// Probability that the cache events of a prefill are lost.
const CACHE_EVENT_LOSS_RATE: f64 = 0.02;

/// Minimum delay of a poll that the policy asks for.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum number of consecutive polls at one instant that return actions. More are a violation.
const MAX_POLLS_PER_EVENT: u32 = 1_000;

/// Maximum virtual time that a run may take after the last deadline.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(30);

/// Drives `policy` through the requests of a scenario and returns the report of the run.
pub fn run(
    policy: &mut dyn Policy,
    name: &str,
    deployment: &Deployment,
    scenario: Scenario,
    seed: u64,
    arrivals: &[Arrival],
) -> Report {
    let mut driver = Driver::new(policy, deployment, scenario, seed, arrivals);
    driver.drive();
    driver.check();
    Report::new(name, deployment, scenario, seed, &driver.requests, &driver.stats)
}

/// The state of a run.
struct Driver<'a> {
    policy: &'a mut dyn Policy,
    deployment: &'a Deployment,
    scenario: Scenario,
    start: Instant,
    now: Instant,
    events: EventQueue,
    servers: Vec<Server>,
    /// The indices of the servers by all keys that the policy assigned to them.
    server_keys: BTreeMap<ServerKey, usize>,
    requests: Vec<Request>,
    /// The indices of the requests that have not ended, by the keys of the policy.
    jobs: BTreeMap<JobKey, usize>,
    /// The number of requests that have not ended.
    open_requests: usize,
    /// The time of the next scheduled poll.
    scheduled_poll_at: Option<Instant>,
    cache_event_rng: StdRng,
    stats: RunStats,
}

impl<'a> Driver<'a> {
    fn new(
        policy: &'a mut dyn Policy,
        deployment: &'a Deployment,
        scenario: Scenario,
        seed: u64,
        arrivals: &[Arrival],
    ) -> Self {
        let start = ManualClock::new().now();
        let mut requests = Vec::new();
        for arrival in arrivals {
            requests.push(Request::new(arrival.clone(), start));
        }
        let mut driver = Self {
            policy,
            deployment,
            scenario,
            start,
            now: start,
            events: EventQueue::default(),
            servers: Vec::new(),
            server_keys: BTreeMap::new(),
            open_requests: requests.len(),
            requests,
            jobs: BTreeMap::new(),
            scheduled_poll_at: None,
            cache_event_rng: RngStream::CacheEvent.rng(seed),
            stats: RunStats::new(),
        };
        driver.add_servers();
        driver.schedule_callers();
        driver.schedule_fault();
        driver
    }

    fn add_servers(&mut self) {
        for spec in self.deployment.servers() {
            let server = self.servers.len();
            let new_server = self.new_server(spec);
            self.servers.push(new_server);
            self.register_server(self.start, server);
            // Offsets the load reports of the servers against each other.
            let offset = REPORT_INTERVAL.mul_f64(server as f64 / 16.0);
            self.events.push(self.start + offset, Event::MakeReport { server });
        }
    }

    fn new_server(&self, spec: ServerSpec) -> Server {
        let is_local = spec.zone == self.deployment.zones[0];
        let engine = match spec.role {
            Role::Prefill => Engine::Prefill(PrefillEngine::new(&self.deployment.engine)),
            Role::Decode => Engine::Decode(DecodeEngine::new(&self.deployment.engine)),
        };
        Server {
            key: None,
            is_dead: false,
            is_partitioned: false,
            latency: if is_local { Duration::ZERO } else { self.deployment.zone_latency },
            link: Link::new(self.start, spec.link_tokens_per_second),
            engine,
            has_gap: false,
            spec,
        }
    }

    /// Adds a server to the policy and records its key.
    fn register_server(&mut self, now: Instant, server: usize) {
        let key = self.policy.add_server(now, self.servers[server].spec.clone());
        self.servers[server].key = Some(key);
        self.server_keys.insert(key, server);
    }

    /// Handles events in order of time until none is left.
    fn drive(&mut self) {
        let last_deadline = self.deployment.workload.deferrable_deadline;
        let end = self.start + WARM_UP + WINDOW + last_deadline + MAX_DRAIN_TIME;
        while let Some((now, event)) = self.events.pop() {
            self.now = now;
            if now > end {
                self.stats.violations.push(Violation::RunNotFinished);
                return;
            }
            if self.handle(now, event) {
                self.poll(now);
            }
        }
    }

    /// Handles an event. Returns whether the policy received new information and must be polled.
    fn handle(&mut self, now: Instant, event: Event) -> bool {
        match event {
            Event::Arrival(request) => self.arrive(now, request),
            Event::Cancel(request) => self.cancel(now, request),
            Event::DeadlineExpired(request) => self.expire_deadline(now, request),
            Event::Prefilled { request, tag, cached_tokens, held_until } => {
                self.prefilled(now, request, tag, cached_tokens, held_until)
            }
            Event::Transferred { request, tag } => self.transferred(now, request, tag),
            Event::Finished { request, tag } => self.finished(now, request, tag),
            Event::Failed { request, tag, stage, held_until } => {
                self.failed(now, request, tag, stage, held_until)
            }
            Event::Report { server, report } => self.report(now, server, report),
            Event::Cache { server, stored, evicted, gap } => {
                self.cache_events(now, server, &stored, &evicted, gap)
            }
            Event::FaultDetected => self.detect_fault(now),
            Event::FaultEnd => self.end_fault(now),
            Event::Poll => self.handle_poll(now),
            event => {
                self.handle_on_engine(now, event);
                false
            }
        }
    }

    /// Handles an event that is invisible to the policy.
    fn handle_on_engine(&mut self, now: Instant, event: Event) {
        match event {
            Event::PrefillCommand { server, request, tag } => {
                self.start_prefill(now, server, request, tag);
            }
            Event::PrefillEnd { server, epoch } => self.end_prefill(now, server, epoch),
            Event::HoldExpired { request, tag } => self.end_hold(now, request, tag),
            Event::TransferCommand { request, tag } => self.start_transfer(now, request, tag),
            Event::TransferEnd { server, request, tag } => {
                self.end_transfer(now, server, request, tag);
            }
            Event::StepEnd { server, epoch } => self.end_step(now, server, epoch),
            Event::MakeReport { server } => self.make_report(now, server),
            Event::FaultBegin => self.begin_fault(),
            _ => unreachable!("all other events are visible to the policy"),
        }
    }

    fn report(&mut self, now: Instant, server: usize, report: LoadReport) -> bool {
        let Some(key) = self.servers[server].key else { return false };
        self.policy.report(now, key, report);
        true
    }

    fn cache_events(
        &mut self,
        now: Instant,
        server: usize,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    ) -> bool {
        let Some(key) = self.servers[server].key else { return false };
        self.policy.cache_events(now, key, stored, evicted, gap);
        true
    }

    fn handle_poll(&mut self, now: Instant) -> bool {
        if self.scheduled_poll_at == Some(now) {
            self.scheduled_poll_at = None;
        }
        true
    }

    /// Polls the policy and applies its actions until it returns none.
    fn poll(&mut self, now: Instant) {
        let mut polls = 0;
        loop {
            let actions = self.policy.poll(now);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.apply(now, action);
            }
            polls += 1;
            if polls > MAX_POLLS_PER_EVENT {
                self.stats.violations.push(Violation::EndlessActions);
                break;
            }
        }
        self.schedule_poll(now);
    }

    fn schedule_poll(&mut self, now: Instant) {
        if self.open_requests == 0 {
            return;
        }
        let Some(at) = self.policy.next_poll() else { return };
        let at = at.max(now + MIN_POLL_INTERVAL);
        if self.scheduled_poll_at.is_some_and(|before| before <= at) {
            return;
        }
        self.scheduled_poll_at = Some(at);
        self.events.push(at, Event::Poll);
    }

    fn make_report(&mut self, now: Instant, server: usize) {
        if self.open_requests == 0 {
            return;
        }
        self.events.push(now + REPORT_INTERVAL, Event::MakeReport { server });
        let state = &self.servers[server];
        if !state.is_reachable() {
            return;
        }
        let report = match &state.engine {
            Engine::Prefill(engine) => engine.load_report(now),
            Engine::Decode(engine) => engine.load_report(now),
        };
        self.events.push(now + REPORT_DELAY, Event::Report { server, report });
    }

    /// Sends the events of a cache change. Lost events set the gap flag of the next ones.
    fn publish_cache_events(&mut self, now: Instant, server: usize, change: CacheChange) {
        let is_lost = self.cache_event_rng.random_bool(CACHE_EVENT_LOSS_RATE);
        let state = &mut self.servers[server];
        if is_lost || !state.is_reachable() {
            state.has_gap = true;
            return;
        }
        let gap = std::mem::take(&mut state.has_gap);
        let stored = change.stored.into();
        let evicted = change.evicted.into();
        self.events.push(now + CACHE_EVENT_DELAY, Event::Cache { server, stored, evicted, gap });
    }

    /// Checks that each request ended exactly once and that no engine or policy still holds one.
    fn check(&mut self) {
        self.check_policy_slots();
        for server in &self.servers {
            let remaining = match &server.engine {
                Engine::Prefill(engine) => engine.request_count(),
                Engine::Decode(engine) => engine.requests().len(),
            };
            if remaining > 0 {
                let name = server.spec.name.as_str().into();
                self.stats.violations.push(Violation::LeftOnServer(name, remaining));
            }
        }
        for (index, request) in self.requests.iter().enumerate() {
            if request.outcome_count != 1 {
                self.stats
                    .violations
                    .push(Violation::WrongOutcomeCount(index, request.outcome_count));
            }
        }
    }

    /// Checks that the policy holds no slot after the run: it must be able to fill all decode slots
    /// with new jobs.
    fn check_policy_slots(&mut self) {
        let mut decode_engines = 0;
        for server in &self.servers {
            let Some(key) = server.key else { continue };
            let report = match &server.engine {
                Engine::Prefill(engine) => engine.load_report(self.now),
                Engine::Decode(engine) => engine.load_report(self.now),
            };
            decode_engines += u32::from(server.spec.role == Role::Decode);
            self.policy.report(self.now, key, report);
        }
        let slots = decode_engines * self.deployment.engine.decode_slots;
        let filled = probe::count_started_jobs(&mut *self.policy, self.now, slots);
        if filled < slots {
            self.stats.violations.push(Violation::LeakedSlots(slots - filled, slots));
        }
    }
}
