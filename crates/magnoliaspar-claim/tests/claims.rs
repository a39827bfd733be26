//! Tests of single guarantees of claims.

mod common;

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use common::{controller, outcome, request, settings};
use magnoliaspar_claim::{ClaimController, ClaimSettings, ClaimVerdict, NotRunReason, StoredBody};
use magnoliaspar_core::ManualClock;
use magnoliaspar_fake::{Fault, MemoryTable};
use magnoliaspar_store::{Backoff, Sleep};
use tokio::task::yield_now;

fn setup() -> (Rc<ManualClock>, MemoryTable) {
    let clock = Rc::new(ManualClock::new());
    let table = MemoryTable::new(clock.clone());
    (clock, table)
}

#[actix_rt::test]
async fn a_resend_gets_the_stored_outcome_and_another_request_does_not() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let other = controller(Rc::new(table), &clock, "other", 1);
    let ClaimVerdict::Dispatch(ticket) = one.claim(&request("a", "10 pounds")).await else {
        panic!("a new key is dispatched");
    };
    let own = one.claim(&request("a", "10 pounds")).await;
    assert!(matches!(own, ClaimVerdict::MayHaveRun { is_in_progress: true, .. }));
    let foreign = other.claim(&request("a", "10 pounds")).await;
    assert!(matches!(foreign, ClaimVerdict::MayHaveRun { is_in_progress: false, .. }));
    assert!(one.complete(ticket, outcome("paid")).await);
    let resend = other.claim(&request("a", "10 pounds")).await;
    assert_eq!(resend, ClaimVerdict::Replay(outcome("paid")));
    assert_eq!(other.claim(&request("a", "20 pounds")).await, ClaimVerdict::Mismatch);
}

/// Makes a claim whose result stays unknown, releases it, and then applies its late write.
async fn make_late_claim(one: &ClaimController, table: &MemoryTable) {
    table.faults().on_next_write(Fault::LateEffect);
    for _ in 0..4 {
        table.faults().on_next_read(Fault::Unavailable);
    }
    let verdict = one.claim(&request("a", "")).await;
    let ClaimVerdict::NotRun { reason: NotRunReason::Ambiguous, .. } = verdict else {
        panic!("a claim with unknown result must not be dispatched: {verdict:?}");
    };
    assert_eq!(one.pending_writes(), 1);
    assert_eq!(one.retry_pending().await, 0);
    table.apply_late_writes();
}

#[actix_rt::test]
async fn a_claim_with_unknown_result_is_not_run_and_leaves_the_key_free() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let other = controller(Rc::new(table.clone()), &clock, "other", 1);
    make_late_claim(&one, &table).await;
    assert!(matches!(other.claim(&request("a", "")).await, ClaimVerdict::Dispatch(_)));
}

#[actix_rt::test]
async fn a_claim_with_unknown_result_on_an_abandoned_one_leaves_the_key_free() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let other = controller(Rc::new(table.clone()), &clock, "other", 1);
    let ClaimVerdict::Dispatch(ticket) = other.claim(&request("a", "")).await else {
        panic!("a new key is dispatched");
    };
    assert!(other.abandon(ticket).await);
    // The first write of the claim conflicts with the abandoned row; its second write is late.
    table.faults().on_next_write(Fault::None);
    make_late_claim(&one, &table).await;
    assert!(matches!(other.claim(&request("a", "")).await, ClaimVerdict::Dispatch(_)));
}

#[actix_rt::test]
async fn an_outage_refuses_new_keys_and_reports_dispatched_ones_as_possibly_run() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let ClaimVerdict::Dispatch(_ticket) = one.claim(&request("a", "")).await else {
        panic!("a new key is dispatched");
    };
    table.faults().set_outage(true);
    let new = one.claim(&request("b", "")).await;
    assert!(matches!(new, ClaimVerdict::NotRun { reason: NotRunReason::StoreUnavailable(_), .. }));
    assert!(matches!(one.claim(&request("a", "")).await, ClaimVerdict::MayHaveRun { .. }));
}

#[actix_rt::test]
async fn bodies_of_outcomes_pending_during_an_outage_are_bounded() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let body = "x".repeat(StoredBody::MAX_BYTES);
    let mut completions = Vec::new();
    for number in 0..300 {
        let key = format!("key-{number}");
        let ClaimVerdict::Dispatch(ticket) = one.claim(&request(&key, "")).await else {
            panic!("a new key is dispatched");
        };
        completions.push(one.complete(ticket, outcome(&body)));
    }
    table.faults().set_outage(true);
    for is_stored in futures_util::future::join_all(completions).await {
        assert!(!is_stored);
    }
    table.faults().set_outage(false);
    assert_eq!(one.retry_pending().await, 0);
    let mut stored = 0;
    for number in 0..300 {
        match one.claim(&request(&format!("key-{number}"), "")).await {
            ClaimVerdict::Replay(outcome) => stored += u32::from(outcome.body.as_bytes().is_some()),
            verdict => panic!("an outcome is lost: {verdict:?}"),
        }
    }
    // 8 MiB of pending bodies at 32 KiB each.
    assert_eq!(stored, 256);
}

#[actix_rt::test]
async fn an_expired_claim_is_never_free_again() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let mut abandoned = None;
    for key in ["finished", "claimed", "abandoned"] {
        let ClaimVerdict::Dispatch(ticket) = one.claim(&request(key, "")).await else {
            panic!("a new key is dispatched");
        };
        match key {
            "finished" => assert!(one.complete(ticket, outcome("paid")).await),
            "abandoned" => abandoned = Some(ticket),
            _ => drop(ticket),
        }
    }
    assert!(one.abandon(abandoned.unwrap()).await);
    clock.advance(ClaimSettings::RETENTION + Duration::from_secs(1));
    let mut after = None;
    loop {
        after = one.expire(after.as_ref(), 2).await.unwrap();
        if after.is_none() {
            break;
        }
    }
    assert_eq!(table.rows("claim/").len(), 2);
    for key in ["finished", "claimed"] {
        let verdict = one.claim(&request(key, "")).await;
        assert!(matches!(verdict, ClaimVerdict::MayHaveRun { .. }), "{key}: {verdict:?}");
    }
    assert!(matches!(one.claim(&request("abandoned", "")).await, ClaimVerdict::Dispatch(_)));
}

/// Claims and completes `claims` keys concurrently, of which `used` are claimed already.
///
/// Returns the number of writes to the table.
async fn count_writes(claims: usize, used: usize) -> u64 {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    let other = controller(Rc::new(table.clone()), &clock, "other", 1);
    for key in 0..used {
        let verdict = other.claim(&request(&format!("key-{key}"), "")).await;
        assert!(matches!(verdict, ClaimVerdict::Dispatch(_)));
    }
    let before = table.faults().counts().writes;
    let mut attempts = Vec::new();
    for key in 0..claims {
        let one = one.clone();
        attempts.push(async move {
            let verdict = one.claim(&request(&format!("key-{key}"), "")).await;
            let ClaimVerdict::Dispatch(ticket) = verdict else { return 0 };
            assert!(one.complete(ticket, outcome("done")).await);
            1
        });
    }
    let dispatched: usize = futures_util::future::join_all(attempts).await.into_iter().sum();
    assert_eq!(dispatched, claims - used);
    table.faults().counts().writes - before
}

#[actix_rt::test]
async fn claims_of_one_moment_share_their_writes() {
    for (claims, used, writes) in [(1, 0, 2), (100, 0, 2), (1000, 0, 16), (100, 3, 5)] {
        assert_eq!(count_writes(claims, used).await, writes, "{claims} claims, {used} used");
    }
}

/// Sleeps until a manual clock, which others advance, reaches the end of the duration.
struct PollingSleep(Rc<ManualClock>);

#[async_trait(?Send)]
impl Sleep for PollingSleep {
    async fn sleep(&self, duration: Duration) {
        let end = self.0.elapsed() + duration;
        while self.0.elapsed() < end {
            yield_now().await;
        }
    }
}

/// Advances the clock in steps of at most 1 ms and lets all tasks run after each step.
async fn run(clock: &ManualClock, time: Duration) {
    let mut left = time;
    while !left.is_zero() {
        let step = left.min(Duration::from_millis(1));
        clock.advance(step);
        left -= step;
        for _ in 0..4 {
            yield_now().await;
        }
    }
}

/// Claims and completes keys at a rate for one second while each call of the table takes 20 ms.
///
/// Returns the number of writes to the table.
async fn count_writes_at(claims_per_second: u32) -> u64 {
    let (clock, table) = setup();
    let timer = Rc::new(PollingSleep(clock.clone()));
    let sleep = timer.clone();
    let sleeper = move |delay| {
        let sleep = sleep.clone();
        let future: Pin<Box<dyn Future<Output = ()>>> =
            Box::pin(async move { sleep.sleep(delay).await });
        future
    };
    table.faults().set_delay(Duration::from_millis(20), Rc::new(sleeper));
    let settings = settings(Rc::new(table.clone()), &clock, "one", 1);
    let one = ClaimController::new(ClaimSettings { backoff: Backoff::new(timer), ..settings });
    let interval = Duration::from_secs(1) / claims_per_second;
    for number in 0..claims_per_second {
        let one = one.clone();
        actix_rt::spawn(async move {
            let verdict = one.claim(&request(&format!("key-{number}"), "")).await;
            let ClaimVerdict::Dispatch(ticket) = verdict else { return };
            one.complete(ticket, outcome("done")).await;
        });
        run(&clock, interval).await;
    }
    run(&clock, Duration::from_millis(500)).await;
    let mut finished = 0;
    for row in table.rows("claim/") {
        finished += u32::from(row.value["state"].get("finished").is_some());
    }
    assert_eq!(finished, claims_per_second);
    table.faults().counts().writes
}

#[actix_rt::test]
async fn writes_grow_with_time_and_not_with_claims() {
    let mut writes = Vec::new();
    for rate in [10, 100, 1000, 4000] {
        writes.push(count_writes_at(rate).await);
    }
    assert_eq!(writes, [20, 53, 53, 65]);
}

#[actix_rt::test]
async fn a_claim_beyond_the_rate_limit_is_not_run() {
    let (clock, table) = setup();
    let one = controller(Rc::new(table.clone()), &clock, "one", 1);
    table.faults().set_rates(10.0, 0.01);
    assert!(matches!(one.claim(&request("a", "")).await, ClaimVerdict::Dispatch(_)));
    let verdict = one.claim(&request("b", "")).await;
    let ClaimVerdict::NotRun { reason, retry_after } = verdict else {
        panic!("a claim beyond the rate limit must not be dispatched: {verdict:?}");
    };
    assert_eq!(reason, NotRunReason::RateLimited);
    clock.advance(retry_after.unwrap());
    assert!(matches!(one.claim(&request("b", "")).await, ClaimVerdict::Dispatch(_)));
}
