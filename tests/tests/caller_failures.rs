//! Tests of callers that disconnect, reconnect, read slowly, or send a request twice: engine memory
//! is freed, and a caller gets each token of its answer exactly once.

use std::time::Duration;

use futures_util::future::{join, join_all};
use magnoliaspar_engine::Stage;
use magnoliaspar_standin::{DeploymentSpec, answer_tokens};
use magnoliaspar_tests::{
    AnswerEnd, Caller, Cluster, LocalCluster, RawConnection, StreamedAnswer, wait_until,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// Timeout for all engine memory to be freed after a caller disconnected.
const FREE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which memory must then stay free; a request that still ran would reserve it again.
const FREE_OBSERVATION: Duration = Duration::from_millis(1_500);

/// Timeout for conditions that instances reach eventually.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Length of an answer that takes far longer to decode than `FREE_TIMEOUT`.
const ENDLESS_TOKENS: u32 = 20_000;

/// Length of an answer that is read to its end.
const TOKENS: u32 = 300;

/// Number of concurrent requests or of rounds.
const REQUESTS: usize = 6;

/// Delay after which all streams are running.
const MID_STREAM_DELAY: Duration = Duration::from_millis(300);

fn prompt(name: &str) -> String {
    format!("[long] {name} {}", "with many pages ".repeat(1_000))
}

/// Starts one instance and engines on which each stage lasts about a second.
async fn start_slow() -> LocalCluster {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.prefills = 1;
    spec.prefill.prefill_tokens_per_second = 4_000.0;
    spec.prefill.link_tokens_per_second = 8_000.0;
    spec.decode.link_tokens_per_second = 8_000.0;
    LocalCluster::start(&spec, &[(0, "a-1")]).await
}

async fn start() -> LocalCluster {
    LocalCluster::start(&DeploymentSpec::small(&["zone-a"]), &[(0, "a-1")]).await
}

/// Disconnects a caller in `stage`, and checks that all memory is freed in time and stays free.
async fn disconnect_in(stage: Stage, id: Option<&str>) {
    let cluster = start_slow().await;
    let connection =
        RawConnection::request_completion(cluster.entry(0), id, &prompt("leave"), ENDLESS_TOKENS)
            .await;
    cluster.wait_for_stage(stage).await;
    drop(connection);
    cluster.wait_until_memory_free(FREE_TIMEOUT).await;
    actix_rt::time::sleep(FREE_OBSERVATION).await;
    assert_eq!(cluster.deployment.used_pieces(), 0);
}

#[actix_rt::test]
async fn memory_is_freed_after_a_caller_disconnects_in_its_prefill() {
    disconnect_in(Stage::Prefill, None).await;
    disconnect_in(Stage::Prefill, Some("own-id")).await;
}

#[actix_rt::test]
async fn nothing_is_decoded_for_a_caller_that_disconnected_in_its_prefill() {
    for id in [None, Some("own-id")] {
        let cluster = start_slow().await;
        let connection = RawConnection::request_completion(
            cluster.entry(0),
            id,
            &prompt("left"),
            ENDLESS_TOKENS,
        )
        .await;
        cluster.wait_for_stage(Stage::Prefill).await;
        drop(connection);
        let decoded = cluster.wait_for_stage(Stage::Import);
        let decoded = actix_rt::time::timeout(FREE_OBSERVATION * 2, decoded).await;
        assert!(decoded.is_err(), "a decode engine was used for a caller with id {id:?}");
    }
}

#[actix_rt::test]
async fn memory_is_freed_after_a_caller_disconnects_in_its_transfer() {
    disconnect_in(Stage::Import, None).await;
    disconnect_in(Stage::Import, Some("own-id")).await;
}

#[actix_rt::test]
async fn memory_is_freed_after_a_caller_disconnects_in_its_decode() {
    disconnect_in(Stage::Decode, None).await;
    disconnect_in(Stage::Decode, Some("own-id")).await;
}

#[actix_rt::test]
async fn a_queued_request_is_not_prefilled_after_its_caller_disconnects() {
    let cluster = start_slow().await;
    let entry = cluster.entry(0);
    let mut queued = Vec::new();
    for number in 0..REQUESTS {
        let prompt = prompt(&format!("queued {number}"));
        queued.push(RawConnection::request_completion(entry, None, &prompt, ENDLESS_TOKENS).await);
    }
    cluster.wait_for_stage(Stage::Prefill).await;
    let started_before = cluster.started_prefills();
    drop(queued);
    cluster.wait_until_memory_free(FREE_TIMEOUT).await;
    actix_rt::time::sleep(FREE_OBSERVATION).await;
    assert_eq!(cluster.deployment.used_pieces(), 0);
    let wasted = cluster.started_prefills() - started_before;
    assert!(wasted <= 1, "{wasted} prefills were started for callers that had disconnected");
}

#[actix_rt::test]
async fn a_half_closed_connection_still_gets_its_whole_answer() {
    let cluster = start().await;
    let mut connection =
        RawConnection::request_completion(cluster.entry(0), None, &prompt("half"), TOKENS).await;
    connection.shutdown_write().await;
    let text = connection.read_all().await;
    assert_complete_text(&text, &prompt("half"));
}

#[actix_rt::test]
async fn a_caller_that_reads_slowly_gets_its_whole_answer() {
    let cluster = start().await;
    let mut connection =
        RawConnection::request_completion(cluster.entry(0), None, &prompt("slow"), TOKENS).await;
    let mut text = String::new();
    for _ in 0..20 {
        text.push_str(&connection.read_some(100).await);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    text.push_str(&connection.read_all().await);
    assert_complete_text(&text, &prompt("slow"));
    cluster.wait_until_memory_free(FREE_TIMEOUT).await;
}

#[actix_rt::test]
async fn a_delivered_answer_is_not_sent_again() {
    let cluster = start().await;
    let caller = Caller::new();
    let first =
        caller.request_completion(&cluster.entries(), "twice", &prompt("twice"), TOKENS).await;
    assert_eq!(first.end, AnswerEnd::Complete, "{first:?}");
    let second =
        caller.request_completion(&cluster.entries(), "twice", &prompt("twice"), TOKENS).await;
    assert_eq!(second.end, refused("already_answered", "answered"));
    assert!(second.tokens.is_empty());
    let other =
        caller.request_completion(&cluster.entries(), "twice", &prompt("other"), TOKENS).await;
    assert_eq!(other.end, refused("bad_request", "not_run"));
}

#[actix_rt::test]
async fn concurrent_copies_of_a_request_are_answered_once() {
    let instances = [(0, "a-1"), (0, "a-2"), (0, "a-3")];
    let cluster = LocalCluster::start(&DeploymentSpec::small(&["zone-a"]), &instances).await;
    for round in 0..REQUESTS {
        let id = format!("race-{round}");
        let prompt = prompt(&id);
        let mut concurrent = Vec::new();
        for entry in cluster.entries() {
            let (id, prompt) = (&id, &prompt);
            concurrent.push(async move {
                let mut answer = StreamedAnswer::default();
                Caller::new().attempt(entry, id, prompt, TOKENS, &mut answer).await;
                answer
            });
        }
        let answers = join_all(concurrent).await;
        let mut complete = 0;
        for answer in &answers {
            if answer.end == AnswerEnd::Complete {
                complete += 1;
                assert_eq!(answer.tokens, answer_tokens(&prompt, TOKENS));
                continue;
            }
            assert_eq!(answer.end, refused("in_progress", "may_have_run"));
        }
        assert_eq!(complete, 1, "{answers:?}");
    }
    cluster.wait_until_memory_free(SETTLE_TIMEOUT).await;
}

/// Kills the entry instance of running streams, whose callers then resume them through other
/// instances; returns the number of answers that restarted.
async fn kill_entry(victim: usize) -> usize {
    let mut cluster = Cluster::start(PROGRAM, &DeploymentSpec::small(&["zone-a"])).await;
    cluster.start_instances(0, &["a-1", "a-2", "a-3"]).await;
    let mut entries = cluster.entries();
    entries.rotate_left(victim);
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let entries = entries.clone();
        requests.push(async move {
            let name = format!("taken-{number}");
            Caller::new().request_completion(&entries, &name, &prompt(&name), TOKENS).await
        });
    }
    let kill = async {
        actix_rt::time::sleep(MID_STREAM_DELAY).await;
        cluster.instances[victim].kill();
    };
    let (answers, ()) = join(join_all(requests), kill).await;
    let mut restarts = 0;
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.end, AnswerEnd::Complete, "{answer:?}");
        assert_eq!(answer.tokens, answer_tokens(&prompt(&format!("taken-{number}")), TOKENS));
        assert!(answer.attempts > 1, "answer {number} was complete before its entry was killed");
        restarts += answer.restarts;
    }
    let engines = &cluster.deployment.zones[0].prefills;
    let prefills: u32 = engines.iter().map(|engine| engine.started_prefills()).sum();
    assert!(prefills as usize <= REQUESTS + restarts, "{prefills} prefills, {restarts} restarts");
    cluster.wait_until_memory_free(SETTLE_TIMEOUT).await;
    println!("victim {victim}: {prefills} prefills, {restarts} of {REQUESTS} answers restarted");
    restarts
}

#[actix_rt::test]
async fn a_stream_whose_entry_crashed_resumes_elsewhere_without_a_second_prefill() {
    let mut restarts = 0;
    for victim in 0..3 {
        restarts += kill_entry(victim).await;
    }
    assert!(restarts < 3 * REQUESTS, "no stream was resumed: {restarts} restarts");
}

#[actix_rt::test]
async fn a_stream_serves_only_the_latest_connection_of_its_caller() {
    let cluster = start().await;
    let caller = Caller::new();
    let mut first = StreamedAnswer::default();
    let mut second = StreamedAnswer::default();
    let prompt = prompt("back");
    let reconnect = async {
        let decodes = &cluster.deployment.zones[0].decodes;
        wait_until(SETTLE_TIMEOUT, async || decodes.iter().any(|e| e.used_pieces() > 0)).await;
        actix_rt::time::sleep(MID_STREAM_DELAY / 2).await;
        caller.attempt(cluster.entry(0), "back", &prompt, TOKENS, &mut second).await;
    };
    let first_attempt = caller.attempt(cluster.entry(0), "back", &prompt, TOKENS, &mut first);
    join(first_attempt, reconnect).await;
    assert_eq!(first.end, refused("in_progress", "may_have_run"));
    assert_eq!(second.end, AnswerEnd::Complete);
    assert_eq!(second.tokens, answer_tokens(&prompt, TOKENS));
    assert_eq!(cluster.started_prefills(), 1);
}

fn refused(code: &str, outcome: &str) -> AnswerEnd {
    AnswerEnd::Refused { code: code.into(), outcome: outcome.into() }
}

/// Checks that a streamed response contains each token of the answer once and its end.
fn assert_complete_text(text: &str, prompt: &str) {
    let mut tokens: Vec<Box<str>> = Vec::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let Ok(value) = serde_json::from_str::<serde_json::Value>(data) else { continue };
        let token = value["choices"][0]["text"].as_str().unwrap_or_default();
        if !token.is_empty() {
            tokens.push(token.into());
        }
    }
    assert!(text.contains("[DONE]"), "the answer has no end: {text}");
    assert_eq!(tokens, answer_tokens(prompt, TOKENS));
}
