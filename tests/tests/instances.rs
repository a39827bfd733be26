//! Instances that are killed, paused and drained in the middle of streams.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{join, join_all};
use magnoliaspar_policy::rank_by_rendezvous;
use magnoliaspar_standin::{DeploymentSpec, answer_tokens};
use magnoliaspar_tests::{AnswerEnd, Caller, Cluster, StreamedAnswer, wait_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// How many tokens each answer has.
const TOKENS: u32 = 200;

/// How many requests run at the same time.
const REQUESTS: usize = 24;

/// A time at which all streams are running.
const MID_STREAM: Duration = Duration::from_millis(300);

/// The time of one token of an answer that outlasts its test.
const SLOW_TOKEN: Duration = Duration::from_millis(20);

/// The tokens of an answer that outlasts its test.
const MANY_TOKENS: u32 = 30_000;

/// How long the memory of a request that is gone may stay held.
const REAP_TIMEOUT: Duration = Duration::from_secs(90);

/// How long an instance is paused.
const PAUSE: Duration = Duration::from_secs(6);

/// How long engine memory may stay held after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(20);

fn prompt(number: usize) -> String {
    format!("[long] assess pack {number} {}", "with many pages ".repeat(64))
}

async fn ask_all(entries: &[SocketAddr], count: usize) -> Vec<StreamedAnswer> {
    let mut asked = Vec::new();
    for number in 0..count {
        let mut order = entries.to_vec();
        order.rotate_left(number % entries.len());
        asked.push(async move {
            let id = format!("pack-{number}");
            Caller::new().ask(&order, &id, &prompt(number), TOKENS).await
        });
    }
    join_all(asked).await
}

fn assert_complete(answers: &[StreamedAnswer]) {
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.end, AnswerEnd::Complete, "answer {number}: {answer:?}");
        assert_eq!(answer.tokens, answer_tokens(&prompt(number), TOKENS), "answer {number}");
    }
}

async fn start(names: &[&str]) -> Cluster {
    let mut cluster = Cluster::start(PROGRAM, &DeploymentSpec::small(&["zone-a"])).await;
    cluster.start_instances(0, names).await;
    cluster
}

#[actix_rt::test]
async fn all_answers_are_whole_while_nothing_fails() {
    let cluster = start(&["a-1", "a-2", "a-3"]).await;
    let answers = ask_all(&cluster.entries(), REQUESTS).await;
    assert_complete(&answers);
    for answer in &answers {
        assert_eq!(answer.attempts, 1);
    }
    cluster.wait_until_free(FREE_TIMEOUT).await;
}

#[actix_rt::test]
async fn answers_survive_the_death_of_any_instance() {
    for victim in 0..3 {
        let mut cluster = start(&["a-1", "a-2", "a-3"]).await;
        let entries = cluster.entries();
        let killer = async {
            actix_rt::time::sleep(MID_STREAM).await;
            cluster.instances[victim].kill();
        };
        let (answers, ()) = join(ask_all(&entries, REQUESTS), killer).await;
        assert_complete(&answers);
        cluster.wait_until_free(FREE_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn answers_survive_a_pause_of_any_instance() {
    for victim in 0..3 {
        let cluster = start(&["a-1", "a-2", "a-3"]).await;
        let entries = cluster.entries();
        let pauser = async {
            actix_rt::time::sleep(MID_STREAM).await;
            cluster.instances[victim].pause();
            actix_rt::time::sleep(PAUSE).await;
            cluster.instances[victim].resume();
        };
        let (answers, ()) = join(ask_all(&entries, REQUESTS), pauser).await;
        assert_complete(&answers);
        cluster.wait_until_free(FREE_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn engine_memory_of_a_dead_instance_is_freed() {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.decode.token_time = SLOW_TOKEN;
    let names = ["a-1", "a-2"];
    let home = names.iter().position(|name| *name == home_of(&names)).unwrap();
    let mut cluster = Cluster::start(PROGRAM, &spec).await;
    cluster.start_instances(0, &names).await;
    let entry = cluster.instances[home].addresses.callers;
    let asked = actix_rt::spawn(async move {
        let answer = &mut StreamedAnswer::default();
        Caller::new().attempt(entry, "orphan", &prompt(0), MANY_TOKENS, answer).await;
    });
    wait_until(FREE_TIMEOUT, async || cluster.deployment.used_decode_pieces() > 0).await;
    cluster.instances[home].kill();
    asked.await.unwrap();
    // The engine would go on for minutes; the platform notices that the process has ended.
    cluster.deployment.platform.instances.remove(names[home]);
    cluster.wait_until_free(REAP_TIMEOUT).await;
}

/// Returns the instance that is the home of all requests of these tests.
fn home_of<'a>(names: &[&'a str]) -> &'a str {
    let shard = "assessor-prefill/assessor-decode/0";
    rank_by_rendezvous(shard, names.iter().copied())[0]
}
