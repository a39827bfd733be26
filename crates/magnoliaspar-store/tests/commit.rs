//! Tests that the reported outcome of a commit matches its effect, also under lost answers and late
//! writes.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_core::ManualClock;
use magnoliaspar_fake::{FaultProbabilities, MemoryTable};
use magnoliaspar_store::{
    Backoff, CommitOutcome, Condition, RowKey, Sleep, TableService, Transaction, Write, WriteToken,
    commit_idempotent,
};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// Sleeps by advancing a manual clock.
struct ClockSleep(Rc<ManualClock>);

#[async_trait(?Send)]
impl Sleep for ClockSleep {
    async fn sleep(&self, duration: Duration) {
        self.0.advance(duration);
    }
}

fn key() -> RowKey {
    RowKey("journal".into())
}

/// Reads the journal, which is one row, and appends the token to it; `None` if the read failed.
async fn append(
    table: &MemoryTable,
    backoff: &Backoff,
    token: &WriteToken,
) -> Option<CommitOutcome> {
    let row = table.read(&key()).await.ok()?;
    let (condition, mut journal) = match row {
        Some(row) => (Condition::Version(row.version), row.value["journal"].clone()),
        None => (Condition::Absent, json!([])),
    };
    journal.as_array_mut().unwrap().push(Value::from(&*token.0));
    let value = Some(json!({ "journal": journal }));
    let transaction = Transaction { writes: vec![Write { key: key(), condition, value }] };
    Some(commit_idempotent(table, backoff, &transaction, token).await)
}

fn times_in_journal(table: &MemoryTable, token: &WriteToken) -> usize {
    let rows = table.rows("journal");
    let Some(row) = rows.first() else { return 0 };
    let journal = row.value["journal"].as_array().unwrap();
    journal.iter().filter(|entry| entry.as_str() == Some(&*token.0)).count()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn reported_outcomes_match_the_journal(seed in any::<u64>(), max_attempts in 1_u32..6) {
        actix_rt::System::new().block_on(async {
            let clock = Rc::new(ManualClock::new());
            let table = MemoryTable::new(clock.clone());
            let probabilities =
                FaultProbabilities { unavailable: 0.1, lost_request: 0.1, lost_answer: 0.2, late_effect: 0.2 };
            table.faults().set_probabilities(probabilities, seed);
            let backoff = Backoff { max_attempts, ..Backoff::new(Rc::new(ClockSleep(clock))) };
            let mut outcomes = Vec::new();
            for number in 0..20 {
                let token = WriteToken(format!("write-{number}").into());
                let outcome = append(&table, &backoff, &token).await;
                outcomes.push((token, outcome));
            }
            table.apply_late_writes();
            for (token, outcome) in outcomes {
                let times = times_in_journal(&table, &token);
                assert!(times <= 1, "{token:?} applied {times} times");
                match outcome {
                    Some(CommitOutcome::Applied(_)) => assert_eq!(times, 1, "{token:?}"),
                    Some(CommitOutcome::Conflict { may_have_applied: false, .. })
                    | Some(CommitOutcome::NotApplied(_))
                    | None => assert_eq!(times, 0, "{token:?}"),
                    Some(CommitOutcome::Conflict { .. } | CommitOutcome::Unknown) => {}
                }
            }
        });
    }
}

#[actix_rt::test]
async fn a_lost_answer_is_resolved_by_one_read() {
    let clock = Rc::new(ManualClock::new());
    let table = MemoryTable::new(clock.clone());
    table.faults().on_next_write(magnoliaspar_fake::Fault::LostAnswer);
    let backoff = Backoff::new(Rc::new(ClockSleep(clock)));
    let write = Write { key: key(), condition: Condition::Absent, value: Some(json!({})) };
    let transaction = Transaction { writes: vec![write] };
    let token = WriteToken("own".into());
    let outcome = commit_idempotent(&table, &backoff, &transaction, &token).await;
    assert_eq!(outcome, CommitOutcome::Applied(vec![table.rows("journal")[0].version]));
    assert_eq!(table.faults().counts().writes, 1);
}
