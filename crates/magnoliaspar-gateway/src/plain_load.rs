//! Load of the servers of plain services, as all instances observe it together.
//!
//! Each of many instances sees a few calls a second, too few to tell which server is slow or full. Once an instance
//! sees a sign of load, instances report with their heartbeats what they have observed of the servers of that service.
//! The coordinator adds the reports up, estimates the capacity of each server, and returns the share of the calls that
//! each server should get. Nothing is reported of services without signs of load.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::gateway::Gateway;
use crate::route::ServiceName;

/// Time over which the rates of a server are averaged; one heartbeat, so that each report is mostly new.
const AVERAGING_TIME: Duration = Duration::from_millis(800);

/// Multiple of the usual latency of a server from which an answer is slow.
const SLOW_FACTOR: f64 = 2.0;

/// Number of slow answers in a row that are a sign of load. Single calls that take several times as long as usual are
/// part of ordinary load.
const SLOW_STREAK: u32 = 2;

/// Weight of a new sample in the usual latency of a server.
const USUAL_SMOOTHING: f64 = 0.1;

/// Minimum age of an unanswered call that counts as a slow answer.
const MIN_OVERDUE: Duration = Duration::from_millis(20);

/// Time for which a sign of load holds; nearly four heartbeats, so that a lost one ends nothing.
const SIGN_DURATION: Duration = Duration::from_secs(3);

/// Maximum age of the report of an instance: two heartbeats and a delay.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_800);

/// Time for which the answer of a coordinator holds: two heartbeats and a delay.
const ANSWER_DURATION: Duration = Duration::from_millis(1_800);

/// Interval at which a coordinator adds reports up.
const SUM_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests in a server, per slot, from which it is loaded. Fewer wait rarely.
const LOADED_FILL: f64 = 0.6;

/// Refusals a second of a server from which it is loaded.
const LOADED_REFUSALS: f64 = 0.5;

/// Ratio of the latencies of two servers from which calls are shared out by speed.
const UNEQUAL_LATENCIES: f64 = 2.0;

/// Minimum difference of such latencies, in seconds; greater than what the distance to another zone adds.
const MIN_LATENCY_DIFFERENCE_S: f64 = 0.01;

/// Minimum number of answers a second of all servers of a service for an estimate of their capacities.
const MIN_ANSWERS: f64 = 5.0;

/// Time within which a queue is to be worked off, in seconds.
const DRAIN_TIME_S: f64 = 1.0;

/// Minimum share of the capacity of a server that is used while its queue is long or it refuses calls. Without calls its recovery would not
/// be seen.
const MIN_SPARE_SHARE: f64 = 0.1;

/// Minimum calls of a slow server, as a part of its share by speed.
const MIN_SPEED_SHARE: f64 = 0.5;

/// Minimum utilization for which calls are shared out. Below it small errors of the estimates would send all calls to few
/// servers, and in the first second after a sign of load only a few instances report their calls.
const MIN_UTILIZATION: f64 = 0.7;

/// Maximum number of servers of a service whose load is exchanged. With more, each gets few calls of one instance, and
/// a report would not fit a heartbeat.
const MAX_SERVERS: usize = 128;

/// Maximum number of services in a message. With the maximum number of servers each takes some 4 kB.
const MAX_SERVICES: usize = 8;

/// Rates of the calls of one instance, or of all, to one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "[u32; 3]", into = "[u32; 3]")]
pub struct LoadSample {
    /// Answers a second.
    pub answered: f64,
    /// Mean number of calls in progress: the sum of the latencies of the answers of a second, in seconds.
    pub in_progress: f64,
    /// Refusals a second.
    pub refused: f64,
}

/// Rates are sent in thousandths.
const PARTS: f64 = 1_000.0;

impl From<LoadSample> for [u32; 3] {
    fn from(sample: LoadSample) -> Self {
        [sample.answered, sample.in_progress, sample.refused].map(|rate| (rate * PARTS) as u32)
    }
}

impl From<[u32; 3]> for LoadSample {
    fn from(parts: [u32; 3]) -> Self {
        let [answered, in_progress, refused] = parts.map(|rate| f64::from(rate) / PARTS);
        Self { answered, in_progress, refused }
    }
}

impl LoadSample {
    fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.in_progress += other.in_progress;
        self.refused += other.refused;
    }

    fn is_zero(self) -> bool {
        <[u32; 3]>::from(self) == [0; 3]
    }

    /// Returns the mean latency in seconds, if there are answers.
    fn latency(self) -> Option<f64> {
        (self.answered > 0.0 && self.in_progress > 0.0).then(|| self.in_progress / self.answered)
    }
}

/// What this instance has observed of the load of one server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    rates: LoadSample,
    averaged_at: Option<Instant>,
    /// The usual latency, in seconds.
    usual: Option<f64>,
    slow_streak: u32,
    signed_at: Option<Instant>,
    /// The times at which the calls without an answer were sent.
    pending: Vec<Instant>,
    /// The share of the calls that the coordinator assigns, and since when.
    share: Option<(u16, Instant)>,
}

impl ServerLoad {
    /// Records that a call begins.
    pub fn start(&mut self, now: Instant) {
        self.pending.push(now);
    }

    /// Records that a call that began at `started` is over.
    pub fn end(&mut self, started: Instant) {
        let position = self.pending.iter().position(|pending| *pending == started);
        if let Some(position) = position {
            self.pending.swap_remove(position);
        }
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, latency: Duration, now: Instant) {
        let seconds = latency.as_secs_f64();
        self.average(now);
        self.rates.answered += 1.0 / AVERAGING_TIME.as_secs_f64();
        self.rates.in_progress += seconds / AVERAGING_TIME.as_secs_f64();
        let usual = self.usual.unwrap_or(seconds);
        self.slow_streak = if seconds > usual * SLOW_FACTOR { self.slow_streak + 1 } else { 0 };
        self.usual = Some(usual + (seconds - usual) * USUAL_SMOOTHING);
        if self.slow_streak >= SLOW_STREAK {
            self.signed_at = Some(now);
        }
    }

    /// Records that the server has refused a call as full.
    pub fn record_refusal(&mut self, now: Instant) {
        self.average(now);
        self.rates.refused += 1.0 / AVERAGING_TIME.as_secs_f64();
        self.signed_at = Some(now);
    }

    fn average(&mut self, now: Instant) {
        self.rates = self.rates_at(now);
        self.averaged_at = Some(now);
    }

    fn rates_at(&self, now: Instant) -> LoadSample {
        let Some(averaged_at) = self.averaged_at else { return LoadSample::default() };
        let elapsed = now.saturating_duration_since(averaged_at);
        let left = (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        let LoadSample { answered, in_progress, refused } = self.rates;
        let (answered, in_progress) = (answered * left, in_progress * left);
        LoadSample { answered, in_progress, refused: refused * left }
    }

    /// Returns the ages of the calls that are without an answer for longer than usual, in seconds.
    fn overdue(&self, now: Instant) -> impl Iterator<Item = f64> {
        let usual = self.usual.unwrap_or_default() * SLOW_FACTOR;
        let limit = usual.max(MIN_OVERDUE.as_secs_f64());
        let ages = self.pending.iter().map(move |at| now.saturating_duration_since(*at));
        ages.map(|age| age.as_secs_f64()).filter(move |age| *age > limit)
    }

    /// Returns whether there is a recent sign of load. Calls without an answer count like slow answers.
    fn has_sign(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SIGN_DURATION;
        self.signed_at.is_some_and(is_recent)
            || self.slow_streak + self.overdue(now).count() as u32 >= SLOW_STREAK
    }

    /// Returns the present rates. A call without an answer counts as one that is answered now.
    fn sample(&self, now: Instant) -> LoadSample {
        let mut sample = self.rates_at(now);
        for age in self.overdue(now) {
            sample.answered += 1.0 / AVERAGING_TIME.as_secs_f64();
            sample.in_progress += age / AVERAGING_TIME.as_secs_f64();
        }
        sample
    }

    /// Returns the share of the calls that the coordinator assigns, if that is recent.
    pub fn share(&self, now: Instant) -> Option<u16> {
        let (share, at) = self.share?;
        (now.saturating_duration_since(at) < ANSWER_DURATION).then_some(share)
    }
}

/// What one instance reports of a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Whether the instance has seen a sign of load itself.
    pub has_sign: bool,
    /// The servers that it has called recently, by identifier.
    pub servers: Vec<(Box<str>, LoadSample)>,
}

/// How the calls to a service are to be shared out among its servers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceShares {
    /// The service.
    pub service: ServiceName,
    /// Calls in a second per 1,000 that the servers can run.
    pub utilization: u16,
    /// Relative shares of the servers, by identifier; empty while there is no load, but reports are wanted.
    pub shares: Vec<(Box<str>, u16)>,
}

/// The load of plain services, as an instance and a coordinator know it.
#[derive(Debug, Default)]
pub struct PlainLoads {
    /// The services of which the coordinator wants reports, since when, and their utilization.
    observed: RefCell<BTreeMap<ServiceName, (Instant, u16)>>,
    table: RefCell<Table>,
}

/// The reports that a coordinator has received.
#[derive(Debug, Default)]
struct Table {
    reports: BTreeMap<Box<str>, (Instant, Vec<ServiceReport>)>,
    /// The services with a sign of load, and when it was seen last.
    signed_at: BTreeMap<ServiceName, Instant>,
    /// The services whose calls are shared out, and when that was necessary last.
    shared_at: BTreeMap<ServiceName, Instant>,
    sums: Vec<ServiceShares>,
    summed_at: Option<Instant>,
}

impl PlainLoads {
    /// Returns what an instance reports: the services with a sign of load, and those that the coordinator observes.
    pub fn report(&self, directory: &Directory, now: Instant) -> Vec<ServiceReport> {
        let mut reports: BTreeMap<&str, ServiceReport> = BTreeMap::new();
        for (_, server) in directory.iter() {
            let record = &server.record;
            if record.role.is_some() {
                continue;
            }
            let report = reports.entry(&record.service).or_insert_with(|| ServiceReport {
                service: record.service.clone(),
                has_sign: false,
                servers: Vec::new(),
            });
            report.has_sign |= server.load.has_sign(now);
            let sample = server.load.sample(now);
            if !sample.is_zero() {
                report.servers.push((record.id.clone(), sample));
            }
        }
        let mut reports: Vec<ServiceReport> = reports.into_values().collect();
        reports.retain(|report| {
            let is_reported = report.has_sign || self.is_observed(&report.service, now);
            is_reported && !report.servers.is_empty() && report.servers.len() <= MAX_SERVERS
        });
        reports.truncate(MAX_SERVICES);
        reports
    }

    fn is_observed(&self, service: &str, now: Instant) -> bool {
        let observed = self.observed.borrow();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWER_DURATION;
        observed.get(service).is_some_and(|(at, _)| is_recent(*at))
    }

    /// Returns the part of the capacity of a service that all instances use, if that is known.
    pub fn utilization(&self, service: &str, now: Instant) -> Option<f64> {
        if !self.is_observed(service, now) {
            return None;
        }
        let (_, utilization) = self.observed.borrow().get(service).copied()?;
        (utilization > 0).then(|| f64::from(utilization) / PARTS)
    }

    /// Records the report of an instance, which replaces its last one.
    pub fn receive(&self, instance: &str, reports: Vec<ServiceReport>, now: Instant) {
        let mut table = self.table.borrow_mut();
        for report in &reports {
            if report.has_sign {
                table.signed_at.insert(report.service.clone(), now);
            }
        }
        match reports.is_empty() {
            true => drop(table.reports.remove(instance)),
            false => drop(table.reports.insert(instance.into(), (now, reports))),
        }
    }

    /// Forgets an instance that is gone.
    pub fn forget(&self, instance: &str) {
        self.table.borrow_mut().reports.remove(instance);
    }

    /// Returns how calls are to be shared out by the reports of all instances.
    pub fn shares(&self, directory: &Directory, now: Instant) -> Vec<ServiceShares> {
        let mut table = self.table.borrow_mut();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SUM_INTERVAL;
        if !table.summed_at.is_some_and(is_recent) {
            table.sum(directory, now);
        }
        table.sums.clone()
    }

    /// Applies the answer of a coordinator; returns the services whose calls are shared out from now on, or no longer.
    pub fn apply(
        &self,
        directory: &mut Directory,
        answer: &[ServiceShares],
        now: Instant,
    ) -> Vec<Change> {
        let mut observed = self.observed.borrow_mut();
        let mut changes = Vec::new();
        for ServiceShares { service, utilization, shares } in answer {
            let previous = observed.insert(service.clone(), (now, *utilization));
            let was_shared = previous.is_some_and(|(_, utilization)| utilization > 0);
            let utilization = Some(*utilization).filter(|utilization| *utilization > 0);
            if was_shared != utilization.is_some() {
                changes.push(Change { service: service.clone(), utilization });
            }
            for (id, share) in shares {
                let Some(key) = directory.key(id) else { continue };
                let Some(server) = directory.get_mut(key) else { continue };
                if server.record.service == *service {
                    server.load.share = Some((*share, now));
                }
            }
        }
        observed.retain(|service, (at, utilization)| {
            let is_recent = now.saturating_duration_since(*at) < ANSWER_DURATION;
            if !is_recent && *utilization > 0 {
                changes.push(Change { service: service.clone(), utilization: None });
            }
            is_recent
        });
        changes
    }

    /// Returns the number of services whose calls are shared out.
    pub fn shared_services(&self) -> usize {
        self.observed.borrow().values().filter(|(_, utilization)| *utilization > 0).count()
    }
}

/// A service whose calls are shared out from now on, or no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: ServiceName,
    /// Calls in a second per 1,000 that the servers can run; `None` if the calls are no longer shared out.
    pub utilization: Option<u16>,
}

impl Table {
    /// Adds the reports up.
    fn sum(&mut self, directory: &Directory, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.summed_at = Some(now);
        self.reports.retain(|_, (at, _)| age(*at) < REPORT_MAX_AGE);
        self.signed_at.retain(|_, at| age(*at) < SIGN_DURATION);
        self.shared_at.retain(|_, at| age(*at) < SIGN_DURATION);
        let mut services: BTreeMap<ServiceName, BTreeMap<Box<str>, LoadSample>> = BTreeMap::new();
        for (_, reports) in self.reports.values() {
            for report in reports {
                let servers = services.entry(report.service.clone()).or_default();
                for (id, sample) in &report.servers {
                    servers.entry(id.clone()).or_default().add(*sample);
                }
            }
        }
        self.sums.clear();
        for (service, samples) in services {
            if self.sums.len() == MAX_SERVICES {
                break;
            }
            let mut ids = Vec::new();
            let mut servers = Vec::new();
            for (_, server) in directory.iter() {
                let record = &server.record;
                if record.service != service || record.is_draining || record.role.is_some() {
                    continue;
                }
                let sample = samples.get(&record.id).copied().unwrap_or_default();
                ids.push(record.id.clone());
                servers.push(ReportedServer { slots: record.slots, sample });
            }
            if servers.len() > MAX_SERVERS {
                continue;
            }
            let is_shared = self.shared_at.contains_key(&service);
            if is_loaded(&servers) || (is_shared && are_unequal(&servers)) {
                self.shared_at.insert(service.clone(), now);
            }
            let is_shared = self.shared_at.contains_key(&service);
            if !is_shared && !self.signed_at.contains_key(&service) {
                continue;
            }
            let split = if is_shared { split(&servers) } else { None };
            let (utilization, weights) = split.unwrap_or_default();
            let shares = ids.into_iter().zip(weights).collect();
            self.sums.push(ServiceShares { service, utilization, shares });
        }
    }
}

/// What all instances report of one server.
#[derive(Debug, Clone, Copy)]
struct ReportedServer {
    slots: u32,
    sample: LoadSample,
}

impl ReportedServer {
    /// Returns the calls a second that the server can run, if there are answers.
    ///
    /// A server whose slots are in use answers as fast as it can. Another one could run as many calls of its present
    /// latency at once as it has slots.
    fn capacity(&self) -> Option<f64> {
        let in_progress = self.sample.in_progress.max(f64::from(self.slots.max(1)));
        Some(in_progress / self.sample.latency()?)
    }

    /// Returns the calls a second that the server of this capacity can run besides those that wait there. A server that
    /// refuses calls has less capacity than its answers show.
    fn spare(&self, capacity: f64) -> f64 {
        let LoadSample { answered, in_progress, refused } = self.sample;
        let waiting = (in_progress - f64::from(self.slots)).max(0.0);
        let accepted = if refused > 0.0 { answered / (answered + refused) } else { 1.0 };
        let spare = (capacity - waiting / DRAIN_TIME_S) * accepted;
        spare.max(capacity * MIN_SPARE_SHARE)
    }
}

/// Returns whether a server has refused calls or has so many in progress that calls wait there.
fn is_loaded(servers: &[ReportedServer]) -> bool {
    servers.iter().any(|server| {
        let fill = server.sample.in_progress / f64::from(server.slots.max(1));
        fill > LOADED_FILL || server.sample.refused > LOADED_REFUSALS
    })
}

/// Returns whether some servers are far slower than others.
fn are_unequal(servers: &[ReportedServer]) -> bool {
    let (mut lowest, mut highest) = (f64::INFINITY, 0.0_f64);
    for server in servers {
        let Some(latency) = server.sample.latency() else { continue };
        (lowest, highest) = (lowest.min(latency), highest.max(latency));
    }
    highest > lowest * UNEQUAL_LATENCIES && highest - lowest > MIN_LATENCY_DIFFERENCE_S
}

/// Returns the utilization of all servers per 1,000, and the share of each; `None` with too few answers.
///
/// Calls at servers of equal utilization wait longest at the slowest one. The mean time is shortest if the capacity that
/// stays free is shared out by the square root of the servers' capacities, so that a slow server is used fully only when
/// the others are. It gets half of its share by speed at least, so that its speed stays known.
fn split(servers: &[ReportedServer]) -> Option<(u16, Vec<u16>)> {
    let (mut answered, mut known, mut count) = (0.0, 0.0, 0.0);
    for server in servers {
        let Some(capacity) = server.capacity() else { continue };
        answered += server.sample.answered;
        known += capacity;
        count += 1.0;
    }
    if answered < MIN_ANSWERS {
        return None;
    }
    let mean = known / count;
    let (mut total, mut spare_total, mut roots) = (0.0, 0.0, 0.0);
    let mut spares = Vec::new();
    for server in servers {
        let capacity = server.capacity().unwrap_or(mean);
        let spare = server.spare(capacity);
        total += capacity;
        spare_total += spare;
        roots += spare.sqrt();
        spares.push(spare);
    }
    let utilization = (answered / spare_total).clamp(MIN_UTILIZATION, 1.0);
    let free_per_root = spare_total * (1.0 - utilization) / roots;
    let mut weights = Vec::new();
    let mut highest = 0.0_f64;
    for spare in spares {
        let least = spare * utilization * MIN_SPEED_SHARE;
        let weight = (spare - spare.sqrt() * free_per_root).max(least);
        highest = highest.max(weight);
        weights.push(weight);
    }
    let mut shares = Vec::new();
    for weight in weights {
        shares.push((weight / highest * PARTS).max(1.0) as u16);
    }
    let used = (answered / total * PARTS).clamp(1.0, f64::from(u16::MAX));
    Some((used as u16, shares))
}

/// Returns what this instance reports with its heartbeat.
pub(crate) fn report(gateway: &Gateway) -> Vec<ServiceReport> {
    gateway.plain_loads.report(&gateway.directory.borrow(), gateway.clock.now())
}

/// Records the report of another instance.
pub(crate) fn receive_report(gateway: &Gateway, instance: &str, reports: Vec<ServiceReport>) {
    gateway.plain_loads.receive(instance, reports, gateway.clock.now());
}

/// Returns how calls are to be shared out, for the answer to a heartbeat.
pub(crate) fn answer(gateway: &Gateway) -> Vec<ServiceShares> {
    gateway.plain_loads.shares(&gateway.directory.borrow(), gateway.clock.now())
}

/// Applies the answer of another instance, if that is the coordinator.
pub(crate) fn receive_answer(gateway: &Gateway, instance: &str, answer: &[ServiceShares]) {
    if gateway.coordinator().is_some_and(|coordinator| &*coordinator.instance == instance) {
        apply(gateway, answer);
    }
}

/// Adds the own report, with each heartbeat, and applies the own answer if this instance is the coordinator.
pub(crate) fn observe(gateway: &Gateway) {
    let own = &gateway.settings().instance;
    receive_report(gateway, own, report(gateway));
    if gateway.coordinator().is_none() {
        apply(gateway, &answer(gateway));
    }
}

fn apply(gateway: &Gateway, answer: &[ServiceShares]) {
    let now = gateway.clock.now();
    let changed = gateway.plain_loads.apply(&mut gateway.directory.borrow_mut(), answer, now);
    for Change { service, utilization } in changed {
        match utilization {
            Some(utilization) => log::info!(service = &*service, utilization; "calls_shared_out"),
            None => log::info!(service = &*service; "calls_not_shared_out"),
        }
    }
    gateway.metrics.shared_services.set(gateway.plain_loads.shared_services() as i64);
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{LoadSample, ReportedServer, ServerLoad, ServiceReport, split};

    const MS: Duration = Duration::from_millis(1);

    /// Guards against a server that answers nothing and so looks as fast as before.
    #[test]
    fn calls_without_an_answer_count_as_slow_ones() {
        let mut load = ServerLoad::default();
        let start = Instant::now();
        load.record_answer(30 * MS, start);
        load.start(start);
        load.start(start + MS);
        assert!(!load.has_sign(start + 50 * MS));
        let later = start + 500 * MS;
        assert!(load.has_sign(later));
        assert!(load.sample(later).latency().unwrap() > 0.3);
        load.end(start);
        load.end(start + MS);
        assert!(!load.has_sign(later));
    }

    /// Guards against a single call that takes long, which is ordinary, being taken for load.
    #[test]
    fn one_slow_answer_is_no_sign_of_load() {
        let mut load = ServerLoad::default();
        let now = Instant::now();
        for latency in [30, 30, 150, 30, 150, 30] {
            load.record_answer(latency * MS, now);
            assert!(!load.has_sign(now));
        }
        load.record_refusal(now);
        assert!(load.has_sign(now));
    }

    /// Guards against a slow or full server getting nothing, by which its recovery would stay unknown.
    #[test]
    fn slow_and_full_servers_get_a_part_by_their_speed() {
        let server = |answered, latency_s: f64| {
            let sample = LoadSample { answered, in_progress: answered * latency_s, refused: 0.0 };
            ReportedServer { slots: 6, sample }
        };
        let (utilization, shares) =
            split(&[server(80.0, 0.06), server(80.0, 0.06), server(15.0, 0.24)]).unwrap();
        assert_eq!(utilization, 777);
        assert_eq!(shares[0], shares[1]);
        assert!((100..=250).contains(&shares[2]), "{shares:?}");
        let (_, shares) = split(&[server(80.0, 0.06), server(25.0, 1.2)]).unwrap();
        assert!((10..=100).contains(&shares[1]), "{shares:?}");
        assert_eq!(split(&[server(1.0, 0.06), server(1.0, 0.06)]), None);
        let sample = LoadSample { answered: 0.0, in_progress: 0.0, refused: 10.0 };
        let refusing = ReportedServer { slots: 6, sample };
        let (_, shares) = split(&[server(80.0, 0.06), refusing]).unwrap();
        assert!((10..=100).contains(&shares[1]), "{shares:?}");
    }

    #[test]
    fn a_report_takes_a_few_bytes_for_each_server() {
        let sample = LoadSample { answered: 1.25, in_progress: 0.0375, refused: 0.0 };
        let servers = vec![("s-1".into(), sample)];
        let report = ServiceReport { service: "plain".into(), has_sign: true, servers };
        let text = serde_json::to_string(&report).unwrap();
        assert_eq!(text, r#"{"service":"plain","has_sign":true,"servers":[["s-1",[1250,37,0]]]}"#);
        let parsed: ServiceReport = serde_json::from_str(&text).unwrap();
        assert_eq!(parsed.servers[0].1.answered, 1.25);
    }
}
