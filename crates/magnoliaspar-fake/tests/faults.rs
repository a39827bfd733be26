//! Tests that each fault that the fakes inject has exactly its documented effect.

use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::{Incarnation, ManualClock, ZoneName};
use magnoliaspar_fake::{Fault, MemoryInstances, MemoryTable, MemoryWeights};
use magnoliaspar_store::{
    Condition, InstanceList, ListEntry, ListState, ListedKind, PlatformError, RowKey, ServerRole,
    TableService, Transaction, WeightStore, Write, WriteOutcome,
};

fn key() -> RowKey {
    RowKey("row/1".into())
}

fn write(condition: Condition, value: Option<u32>) -> Transaction {
    Transaction { writes: vec![Write { key: key(), condition, value: value.map(Into::into) }] }
}

#[actix_rt::test]
async fn a_write_applies_if_its_answer_is_lost_but_not_if_its_request_is_lost() {
    let table = MemoryTable::new(Rc::new(ManualClock::new()));
    table.faults().on_next_write(Fault::LostRequest);
    table.faults().on_next_write(Fault::LostAnswer);
    let create = write(Condition::Absent, Some(1));
    assert!(matches!(table.commit(&create).await, Err(PlatformError::Ambiguous(_))));
    assert_eq!(table.rows("row/").len(), 0);
    assert!(matches!(table.commit(&create).await, Err(PlatformError::Ambiguous(_))));
    assert_eq!(table.rows("row/").len(), 1);
    assert!(matches!(table.commit(&create).await, Ok(WriteOutcome::Conflict { .. })));
    assert_eq!(table.faults().counts().writes, 3);
}

#[actix_rt::test]
async fn a_late_write_takes_effect_after_a_read_that_missed_it() {
    let table = MemoryTable::new(Rc::new(ManualClock::new()));
    table.faults().on_next_write(Fault::LateEffect);
    assert!(table.commit(&write(Condition::Absent, Some(1))).await.is_err());
    assert_eq!(table.read(&key()).await, Ok(None));
    assert_eq!(table.read(&key()).await, Ok(None));
    assert!(table.read(&key()).await.unwrap().is_some());
}

#[actix_rt::test]
async fn versions_never_repeat_even_after_a_delete() {
    let table = MemoryTable::new(Rc::new(ManualClock::new()));
    let mut last = None;
    for _ in 0..3 {
        let Ok(WriteOutcome::Applied(versions)) =
            table.commit(&write(Condition::Absent, Some(1))).await
        else {
            panic!("a write to an unused key must succeed");
        };
        assert!(Some(versions[0]) > last);
        last = Some(versions[0]);
        table.commit(&write(Condition::Version(versions[0]), None)).await.unwrap();
    }
}

#[actix_rt::test]
async fn outages_and_rate_limits_refuse_calls_without_effect() {
    let clock = Rc::new(ManualClock::new());
    let table = MemoryTable::new(clock.clone());
    table.faults().set_outage(true);
    let always = write(Condition::Always, Some(1));
    assert!(matches!(table.commit(&always).await, Err(PlatformError::Unavailable(_))));
    table.faults().set_outage(false);
    table.faults().set_rates(2.0, 1.0);
    assert!(table.commit(&always).await.is_ok());
    let refused = table.commit(&always).await;
    assert_eq!(refused, Err(PlatformError::RateLimited { retry_after: Duration::from_secs(1) }));
    clock.advance(Duration::from_secs(1));
    assert!(table.commit(&always).await.is_ok());
}

#[actix_rt::test]
async fn the_list_is_delayed_by_the_lag() {
    let clock = Rc::new(ManualClock::new());
    let list = MemoryInstances::new(clock.clone());
    list.set_lag(Duration::from_secs(5));
    list.put(ListEntry {
        name: "decode-1".into(),
        kind: ListedKind::Server {
            pool: "decode".try_into().unwrap(),
            role: ServerRole::Decode,
            model: None,
            is_fencing: true,
        },
        zone: "mid-a".try_into().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(1),
        state: ListState::Live,
    });
    clock.advance(Duration::from_secs(4));
    assert_eq!(list.list(None).await.unwrap().len(), 0);
    list.leave("decode-1");
    clock.advance(Duration::from_secs(1));
    assert_eq!(list.list(None).await.unwrap()[0].state, ListState::Live);
    clock.advance(Duration::from_secs(4));
    assert_eq!(list.list(None).await.unwrap()[0].state, ListState::Leaving);
    let other = ZoneName::try_from("mid-b").unwrap();
    assert_eq!(list.list(Some(&other)).await.unwrap().len(), 0);
}

#[actix_rt::test]
async fn weight_downloads_share_one_rate_limit() {
    let clock = Rc::new(ManualClock::new());
    let weights = MemoryWeights::new(clock.clone());
    weights.set_rate(100.0);
    assert_eq!(weights.acquire("m", 300).await, Ok(()));
    let retry_after = Duration::from_secs(3);
    assert_eq!(weights.acquire("m", 300).await, Err(PlatformError::RateLimited { retry_after }));
    clock.advance(retry_after);
    assert_eq!(weights.acquire("m", 300).await, Ok(()));
    assert_eq!(weights.granted().len(), 2);
}
