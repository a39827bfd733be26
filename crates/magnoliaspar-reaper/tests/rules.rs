//! The single rules of reapers and owners.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{AttemptId, Incarnation, InstanceName, RequestId, ServerName};
use magnoliaspar_engine::{HeldStream, Stage, StreamId};
use magnoliaspar_reaper::{
    HeldKey, OpenError, Ownership, Reaper, ReaperConfig, ReaperId, Renewal, StreamList,
};

const SECOND: Duration = Duration::from_secs(1);

fn name() -> InstanceName {
    InstanceName::try_from("i").unwrap()
}

fn server() -> ServerName {
    ServerName::try_from("s").unwrap()
}

fn key() -> HeldKey {
    let request = RequestId::try_from("r").unwrap();
    HeldKey { server: server(), stream: StreamId { request, attempt: AttemptId(1) } }
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
    StreamList { read_from: at, read_to: at, incarnation: Incarnation(1), streams }
}

/// Lets an instance deny a stream that has been open for 60 s.
fn denied(reaper: &mut Reaper, start: Instant) {
    let mut ownership = Ownership::new(name(), Incarnation(1), ReaperConfig::default(), start);
    assert!(reaper.listed(&server(), &list(start, 60 * SECOND)).is_empty());
    let question = reaper.questions(start).pop().unwrap();
    let answer = ownership.answer(&question);
    reaper.answered(start + SECOND, &answer);
}

#[test]
fn a_list_from_before_the_denial_proves_nothing() {
    let start = Instant::now();
    let mut reaper = reaper();
    denied(&mut reaper, start);
    let soon = start + 5 * SECOND;
    assert!(reaper.listed(&server(), &list(soon, 65 * SECOND)).is_empty());
    let later = start + 7 * SECOND;
    assert!(reaper.confirmations(later).contains(&server()));
    let reaped = reaper.listed(&server(), &list(later, 67 * SECOND));
    assert_eq!(reaped.len(), 1);
    assert_eq!(reaped[0].pieces, 3);
}

#[test]
fn a_denial_says_nothing_of_a_later_stream_with_the_same_identifier() {
    let start = Instant::now();
    let mut reaper = reaper();
    denied(&mut reaper, start);
    let later = start + 100 * SECOND;
    assert!(reaper.listed(&server(), &list(later, 90 * SECOND)).is_empty());
    assert_eq!(reaper.questions(later).len(), 1);
}

#[test]
fn a_restarted_server_starts_anew() {
    let start = Instant::now();
    let mut reaper = reaper();
    denied(&mut reaper, start);
    let later = start + 7 * SECOND;
    let fresh = StreamList { incarnation: Incarnation(2), ..list(later, 67 * SECOND) };
    assert!(reaper.listed(&server(), &fresh).is_empty());
}

#[test]
fn a_late_renewal_does_not_bring_a_released_lease_back() {
    let start = Instant::now();
    let mut reaper = reaper();
    let renewal = |number: u64, is_release: bool| {
        let (servers, released) = match is_release {
            true => (Vec::new(), vec![server()]),
            false => (vec![server()], Vec::new()),
        };
        let to = ReaperId { instance: name(), incarnation: Incarnation(1) };
        Renewal { to, owner: name(), incarnation: Incarnation(1), number, servers, released }
    };
    assert!(reaper.renew(start, &renewal(1, false)).is_some());
    assert!(reaper.renew(start, &renewal(3, true)).is_some());
    assert!(reaper.renew(start, &renewal(2, false)).is_none());
    reaper.listed(&server(), &list(start, 60 * SECOND));
    let later = start + 200 * SECOND;
    assert!(reaper.listed(&server(), &list(later, 260 * SECOND)).is_empty());
}

#[test]
fn a_new_life_takes_over_no_older_stream() {
    let start = Instant::now();
    let mut ownership = Ownership::new(name(), Incarnation(2), ReaperConfig::default(), start);
    let now = start + 20 * SECOND;
    assert_eq!(ownership.adopt(now, key(), 30 * SECOND), Err(OpenError::Older));
    assert_eq!(ownership.adopt(now, key(), 10 * SECOND), Ok(()));
}
