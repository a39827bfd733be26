//! Tests that all answers are completed, and all engine memory is freed, when an instance is killed
//! or paused in the middle of streams.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{join, join_all};
use magnoliaspar_policy::rank_by_rendezvous;
use magnoliaspar_standin::{DeploymentSpec, answer_tokens};
use magnoliaspar_tests::{AnswerEnd, Caller, Cluster, StreamedAnswer, wait_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// Length of each answer.
const TOKENS: u32 = 200;

/// Number of concurrent requests.
const REQUESTS: usize = 24;

/// Delay after which all streams are running.
const MID_STREAM_DELAY: Duration = Duration::from_millis(300);

/// Decode time of a token, for an answer that runs longer than its test.
const SLOW_TOKEN_TIME: Duration = Duration::from_millis(20);

/// Length of an answer that runs longer than its test.
const MANY_TOKENS: u32 = 30_000;

/// Timeout for engine memory of orphaned requests to be freed.
const REAP_TIMEOUT: Duration = Duration::from_secs(90);

/// Time for which an instance is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(6);

/// Timeout for all engine memory to be freed after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(20);

fn prompt(number: usize) -> String {
    format!("[long] assess pack {number} {}", "with many pages ".repeat(64))
}

async fn request_all(entries: &[SocketAddr], count: usize) -> Vec<StreamedAnswer> {
    let mut requests = Vec::new();
    for number in 0..count {
        let mut rotated_entries = entries.to_vec();
        rotated_entries.rotate_left(number % entries.len());
        requests.push(async move {
            let id = format!("pack-{number}");
            Caller::new().request_completion(&rotated_entries, &id, &prompt(number), TOKENS).await
        });
    }
    join_all(requests).await
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
    let answers = request_all(&cluster.entries(), REQUESTS).await;
    assert_complete(&answers);
    for answer in &answers {
        assert_eq!(answer.attempts, 1);
    }
    cluster.wait_until_memory_free(FREE_TIMEOUT).await;
}

#[actix_rt::test]
async fn answers_survive_a_crash_of_any_instance() {
    for victim in 0..3 {
        let mut cluster = start(&["a-1", "a-2", "a-3"]).await;
        let entries = cluster.entries();
        let kill = async {
            actix_rt::time::sleep(MID_STREAM_DELAY).await;
            cluster.instances[victim].kill();
        };
        let (answers, ()) = join(request_all(&entries, REQUESTS), kill).await;
        assert_complete(&answers);
        cluster.wait_until_memory_free(FREE_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn answers_survive_a_pause_of_any_instance() {
    for victim in 0..3 {
        let cluster = start(&["a-1", "a-2", "a-3"]).await;
        let entries = cluster.entries();
        let pause = async {
            actix_rt::time::sleep(MID_STREAM_DELAY).await;
            cluster.instances[victim].pause();
            actix_rt::time::sleep(PAUSE_DURATION).await;
            cluster.instances[victim].resume();
        };
        let (answers, ()) = join(request_all(&entries, REQUESTS), pause).await;
        assert_complete(&answers);
        cluster.wait_until_memory_free(FREE_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn engine_memory_of_a_crashed_instance_is_freed() {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.decode.token_time = SLOW_TOKEN_TIME;
    let names = ["a-1", "a-2"];
    let home = names.iter().position(|name| *name == home_of(&names)).unwrap();
    let mut cluster = Cluster::start(PROGRAM, &spec).await;
    cluster.start_instances(0, &names).await;
    let entry = cluster.instances[home].addresses.callers;
    let request = actix_rt::spawn(async move {
        let answer = &mut StreamedAnswer::default();
        Caller::new().attempt(entry, "orphan", &prompt(0), MANY_TOKENS, answer).await;
    });
    wait_until(FREE_TIMEOUT, async || cluster.deployment.used_decode_pieces() > 0).await;
    cluster.instances[home].kill();
    request.await.unwrap();
    // The engine would decode for minutes; the platform learns that the process has ended.
    cluster.deployment.platform.instances.remove(names[home]);
    cluster.wait_until_memory_free(REAP_TIMEOUT).await;
}

/// Returns the home of all requests of these tests, which is the instance that coordinates them.
fn home_of<'a>(names: &[&'a str]) -> &'a str {
    let shard = "assessor-prefill/assessor-decode/0";
    rank_by_rendezvous(shard, names.iter().copied())[0]
}
