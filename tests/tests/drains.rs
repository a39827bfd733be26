//! Tests that requests in flight finish when an instance drains or a backend server leaves, and
//! that a leaving server gets no new ones.

use std::time::Duration;

use futures_util::future::{join, join_all};
use magnoliaspar_engine::Stage;
use magnoliaspar_standin::{DeploymentSpec, answer_tokens};
use magnoliaspar_tests::{
    AnswerEnd, Call, Caller, Cluster, LocalCluster, StreamedAnswer, run_unless_known_red,
    wait_until,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// Length of each answer.
const TOKENS: u32 = 300;

/// Number of concurrent requests.
const REQUESTS: usize = 8;

/// Delay after which all streams are running.
const MID_STREAM_DELAY: Duration = Duration::from_millis(300);

/// Timeout for conditions that instances reach eventually.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time until one instance learns of a change of the platform's instance list.
const MAX_LIST_DELAY: Duration = Duration::from_millis(2_500);

/// Maximum time until all instances act on a change that one instance has learned of.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(3);

/// Duration of a slow call, which is below the progress limit of its route.
const SLOW_CALL_DURATION: Duration = Duration::from_millis(800);

fn prompt(number: usize) -> String {
    format!("[long] drained {number} {}", "with many pages ".repeat(64))
}

async fn request_completion(entry: std::net::SocketAddr, number: usize) -> StreamedAnswer {
    let mut answer = StreamedAnswer::default();
    let id = format!("drained-{number}");
    Caller::new().attempt(entry, &id, &prompt(number), TOKENS, &mut answer).await;
    answer
}

fn assert_complete(number: usize, answer: &StreamedAnswer) {
    assert_eq!(answer.end, AnswerEnd::Complete, "answer {number}: {answer:?}");
    assert_eq!(answer.tokens, answer_tokens(&prompt(number), TOKENS), "answer {number}");
}

async fn start_processes() -> Cluster {
    let mut cluster = Cluster::start(PROGRAM, &DeploymentSpec::small(&["zone-a"])).await;
    cluster.start_instances(0, &["a-1", "a-2", "a-3"]).await;
    for entry in cluster.entries() {
        let call = Call::get("/grants/status/warm-up");
        wait_until(SETTLE_TIMEOUT, async || call.send(entry).await.is_answer()).await;
    }
    cluster
}

/// Drains an instance while streams run through it and through other instances. As their home it
/// may also coordinate the streams of the others.
async fn drain_mid_stream(victim: usize) {
    let mut cluster = start_processes().await;
    let entries = cluster.entries();
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        // Every second stream enters through the drained instance.
        let through = if number % 2 == 0 { victim } else { number };
        requests.push(request_completion(entries[through % entries.len()], number));
    }
    let terminate = async {
        actix_rt::time::sleep(MID_STREAM_DELAY).await;
        cluster.instances[victim].terminate();
        actix_rt::time::sleep(MID_STREAM_DELAY).await;
        let other = entries[(victim + 1) % entries.len()];
        request_completion(other, REQUESTS).await
    };
    let (answers, later) = join(join_all(requests), terminate).await;
    let status = cluster.instances[victim].wait();
    for (number, answer) in answers.iter().enumerate() {
        assert_complete(number, answer);
    }
    assert_complete(REQUESTS, &later);
    assert_eq!(status.code(), Some(0));
    cluster.wait_until_memory_free(SETTLE_TIMEOUT).await;
}

#[actix_rt::test]
async fn a_drain_cuts_no_stream_of_any_instance() {
    run_unless_known_red("a_drain_cuts_no_stream_of_any_instance", async {
        for victim in 0..3 {
            drain_mid_stream(victim).await;
        }
    })
    .await;
}

#[actix_rt::test]
async fn a_drain_cuts_no_call_of_a_service() {
    run_unless_known_red("a_drain_cuts_no_call_of_a_service", drain_mid_call()).await;
}

/// Drains an instance while it waits for the answers of a service.
async fn drain_mid_call() {
    let mut cluster = start_processes().await;
    let entry = cluster.entries()[0];
    let service = cluster.deployment.zones[0].services[0].clone();
    service.set_delay(SLOW_CALL_DURATION);
    let before = service.calls().len();
    let terminate = async {
        wait_until(SETTLE_TIMEOUT, async || service.calls().len() > before + 1).await;
        cluster.instances[0].terminate();
    };
    let lookup = Call::get("/grants/status/slow");
    let payout = Call::post("/grants/payouts/slow", "{}").with_key("slow");
    let calls = join(payout.send(entry), lookup.send(entry));
    let ((payout, lookup), ()) = join(calls, terminate).await;
    let status = cluster.instances[0].wait();
    assert!(payout.is_answer(), "{payout:?}");
    assert!(lookup.is_answer(), "{lookup:?}");
    assert_eq!(status.code(), Some(0));
}

#[actix_rt::test]
async fn leaving_engines_finish_their_streams_and_get_no_new_work() {
    let spec = DeploymentSpec::small(&["zone-a"]);
    let cluster = LocalCluster::start(&spec, &[(0, "a-1"), (0, "a-2")]).await;
    let entries = cluster.entries();
    let list = &cluster.deployment.platform.instances;
    let zone = &cluster.deployment.zones[0];
    let leave = async {
        let busy = cluster.wait_for_stage(Stage::Decode).await;
        for (index, decode) in zone.decodes.iter().enumerate() {
            if decode.address() == busy.address() {
                list.leave(&format!("zone-a-decode-{}", index + 1));
            }
        }
        list.leave("zone-a-prefill-1");
        busy
    };
    let (running, busy) = join(request_completion(entries[0], 0), leave).await;
    assert_complete(0, &running);
    actix_rt::time::sleep(MAX_LIST_DELAY + MAX_PROPAGATION_DELAY).await;
    let prefills = zone.prefills[0].started_prefills();
    let mut requests = Vec::new();
    for number in 1..=REQUESTS {
        requests.push(request_completion(entries[number % entries.len()], number));
    }
    let watch = async {
        for _ in 0..50 {
            assert_eq!(busy.used_pieces(), 0, "a leaving decode engine got new work");
            actix_rt::time::sleep(MID_STREAM_DELAY / 30).await;
        }
    };
    let (answers, ()) = join(join_all(requests), watch).await;
    for (index, answer) in answers.iter().enumerate() {
        assert_complete(index + 1, answer);
    }
    assert_eq!(
        zone.prefills[0].started_prefills(),
        prefills,
        "a leaving prefill engine got new work"
    );
    assert!(zone.prefills[1].started_prefills() as usize >= REQUESTS);
}

#[actix_rt::test]
async fn leaving_services_finish_their_calls_and_get_no_new_ones() {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.services = 2;
    let cluster = LocalCluster::start(&spec, &[(0, "a-1")]).await;
    let entry = cluster.entry(0);
    let services = cluster.deployment.zones[0].services.clone();
    let lookup = Call::get("/grants/status/17");
    wait_until(SETTLE_TIMEOUT, async || lookup.send(entry).await.is_answer()).await;
    cluster.deployment.platform.instances.leave("zone-a-grants-1");
    actix_rt::time::sleep(MAX_LIST_DELAY + MAX_PROPAGATION_DELAY).await;
    let before = services[0].calls().len();
    for _ in 0..REQUESTS {
        assert!(lookup.send(entry).await.is_answer());
    }
    assert_eq!(services[0].calls().len(), before);
    assert!(services[1].calls().len() >= REQUESTS);
}
