//! Tests of individual rules of reapers and owners.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{AttemptId, Incarnation, InstanceName, RequestId, ServerName};
use magnoliaspar_engine::{HeldStream, Stage, StreamId};
use magnoliaspar_reaper::{
    Acknowledgement, OpenError, Ownership, Reaper, ReaperConfig, ReaperId, StreamKey, StreamList,
};

const SECOND: Duration = Duration::from_secs(1);

fn name() -> InstanceName {
    InstanceName::try_from("i").unwrap()
}

fn server() -> ServerName {
    ServerName::try_from("s").unwrap()
}

fn key() -> StreamKey {
    let request = RequestId::try_from("r").unwrap();
    StreamKey { server: server(), stream: StreamId { request, attempt: AttemptId(1) } }
}

fn reaper() -> Reaper {
    let id = ReaperId { instance: name(), incarnation: Incarnation(1) };
    let mut reaper = Reaper::new(id, ReaperConfig::default());
    reaper.set_instances(BTreeMap::from([(name(), Incarnation(1))]));
    reaper
}

fn list(at: Instant, age: Duration) -> StreamList {
    let held = HeldStream {
        stream: key().stream,
        owner: "i@1".into(),
        stage: Stage::Decode,
        pieces: 3,
        age_ms: age.as_millis() as u64,
    };
    let streams = vec![held];
    StreamList { read_started_at: at, read_ended_at: at, incarnation: Incarnation(1), streams }
}

/// Lets an instance disown a stream that has been open for 60 s.
fn deny_stream(reaper: &mut Reaper, start: Instant) {
    let mut ownership = Ownership::new(name(), Incarnation(1), ReaperConfig::default(), start);
    assert!(reaper.merge_list(&server(), &list(start, 60 * SECOND)).is_empty());
    let question = reaper.questions(start).pop().unwrap();
    let answer = ownership.answer(&question);
    reaper.answered(start + SECOND, &answer);
}

#[test]
fn a_list_that_may_predate_the_denial_orphans_no_stream() {
    let start = Instant::now();
    let mut reaper = reaper();
    deny_stream(&mut reaper, start);
    let soon = start + 5 * SECOND;
    assert!(reaper.merge_list(&server(), &list(soon, 65 * SECOND)).is_empty());
    let later = start + 7 * SECOND;
    assert!(reaper.servers_to_list_again(later).contains(&server()));
    let reaped = reaper.merge_list(&server(), &list(later, 67 * SECOND));
    assert_eq!(reaped.len(), 1);
    assert_eq!(reaped[0].pieces, 3);
}

#[test]
fn a_denial_does_not_apply_to_a_later_stream_with_the_same_identifier() {
    let start = Instant::now();
    let mut reaper = reaper();
    deny_stream(&mut reaper, start);
    let later = start + 100 * SECOND;
    assert!(reaper.merge_list(&server(), &list(later, 90 * SECOND)).is_empty());
    assert_eq!(reaper.questions(later).len(), 1);
}

#[test]
fn a_restart_of_the_server_drops_earlier_denials() {
    let start = Instant::now();
    let mut reaper = reaper();
    deny_stream(&mut reaper, start);
    let later = start + 7 * SECOND;
    let fresh = StreamList { incarnation: Incarnation(2), ..list(later, 67 * SECOND) };
    assert!(reaper.merge_list(&server(), &fresh).is_empty());
}

#[test]
fn an_expired_lease_does_not_apply_to_later_streams() {
    let start = Instant::now();
    let mut reaper = reaper();
    let cfg = ReaperConfig::default();
    let mut ownership = Ownership::new(name(), Incarnation(1), cfg, start);
    let id = ReaperId { instance: name(), incarnation: Incarnation(1) };
    ownership.set_reaper(&server(), id);
    ownership.open(start, key()).unwrap();
    let owner = ownership.owner();
    for renewal in ownership.renewals(start) {
        // The acknowledgement is lost.
        assert!(reaper.renew(start, &renewal).is_some());
    }
    let later = start + cfg.lease;
    assert_eq!(ownership.take_expired(later), vec![key()]);
    let request = RequestId::try_from("next").unwrap();
    let next = StreamKey { stream: StreamId { request, attempt: AttemptId(2) }, ..key() };
    ownership.open(later, next.clone()).unwrap();
    let at = later + 100 * SECOND;
    let mut both = list(at, 160 * SECOND);
    both.streams[0].owner = owner;
    let fresh = HeldStream {
        stream: next.stream.clone(),
        owner: ownership.owner(),
        age_ms: 100_000,
        ..both.streams[0].clone()
    };
    both.streams.push(fresh);
    let reaped = reaper.merge_list(&server(), &both);
    assert_eq!(reaped.len(), 1);
    assert_eq!(reaped[0].key, key());
}

#[test]
fn a_late_renewal_of_a_released_lease_does_not_apply_to_later_streams() {
    let start = Instant::now();
    let mut reaper = reaper();
    let cfg = ReaperConfig::default();
    let mut ownership = Ownership::new(name(), Incarnation(1), cfg, start);
    let id =
        |incarnation: u64| ReaperId { instance: name(), incarnation: Incarnation(incarnation) };
    ownership.set_reaper(&server(), id(1));
    ownership.open(start, key()).unwrap();
    let late = ownership.renewals(start).pop().unwrap();
    ownership.close(&key());
    let elsewhere = InstanceName::try_from("elsewhere").unwrap();
    ownership.set_reaper(&server(), ReaperId { instance: elsewhere, incarnation: Incarnation(1) });
    let later = start + cfg.renewal_interval;
    for renewal in ownership.renewals(later) {
        reaper.renew(later, &renewal);
    }
    let request = RequestId::try_from("next").unwrap();
    let next = StreamKey { stream: StreamId { request, attempt: AttemptId(2) }, ..key() };
    ownership.open(later, next.clone()).unwrap();
    assert!(reaper.renew(later, &late).is_some());
    let at = later + 200 * SECOND;
    let mut fresh = list(at, 200 * SECOND);
    fresh.streams[0].stream = next.stream;
    fresh.streams[0].owner = ownership.owner();
    assert!(reaper.merge_list(&server(), &fresh).is_empty());
}

#[test]
fn streams_opened_after_a_reaper_was_lost_outlive_its_lease() {
    let start = Instant::now();
    let cfg = ReaperConfig::default();
    let mut ownership = Ownership::new(name(), Incarnation(1), cfg, start);
    let id = |instance: &str| {
        let instance = InstanceName::try_from(instance).unwrap();
        ReaperId { instance, incarnation: Incarnation(1) }
    };
    ownership.set_reaper(&server(), id("lost"));
    ownership.open(start, key()).unwrap();
    ownership.renewals(start);
    ownership.set_reaper(&server(), id("next"));
    let request = RequestId::try_from("next").unwrap();
    let next = StreamKey { stream: StreamId { request, attempt: AttemptId(2) }, ..key() };
    ownership.open(start, next.clone()).unwrap();
    for step in 1..30 {
        let now = start + step * cfg.renewal_interval;
        for renewal in ownership.renewals(now) {
            let ack = Acknowledgement { from: id("next"), number: renewal.number };
            ownership.acknowledged(&ack);
        }
        let expired = ownership.take_expired(now);
        assert_eq!(expired.contains(&key()), now == start + cfg.lease);
        assert!(ownership.owns(&next));
    }
}

#[test]
fn an_incarnation_takes_over_neither_older_streams_nor_its_own() {
    let start = Instant::now();
    let mut ownership = Ownership::new(name(), Incarnation(2), ReaperConfig::default(), start);
    let now = start + 20 * SECOND;
    assert_eq!(ownership.adopt(now, key(), 30 * SECOND), Err(OpenError::Older));
    assert_eq!(ownership.adopt(now, key(), 10 * SECOND), Ok(()));
    // The leases of the instance may expire while engines still list it as the owner.
    ownership.open(now, key()).unwrap();
    ownership.close(&key());
    assert_eq!(ownership.adopt(now, key(), SECOND), Err(OpenError::Closed));
}
