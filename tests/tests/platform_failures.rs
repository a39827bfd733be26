//! Tests that outages of the platform, lost answers, and a zone cut off from the platform stop at
//! most the calls that need a claim, and that these never run twice.

use std::time::{Duration, Instant};

use magnoliaspar_fake::Fault;
use magnoliaspar_standin::{Deployment, DeploymentSpec, PlainService, answer_tokens};
use magnoliaspar_tests::{AnswerEnd, Call, Caller, LocalCluster, Reply, wait_until};

/// Length of each answer.
const TOKENS: u32 = 40;

/// Timeout for conditions that instances reach eventually.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Duration of an outage, longer than any timeout of the router for calls to the platform.
const OUTAGE_DURATION: Duration = Duration::from_secs(12);

/// Maximum time until the newest configuration is active on all instances.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(19);

/// Time for which an instance without a configuration must remain not ready.
const NOT_READY_OBSERVATION: Duration = Duration::from_secs(8);

async fn start(zones: &[&str], instances: &[(usize, &str)]) -> LocalCluster {
    let cluster = LocalCluster::start(&DeploymentSpec::small(zones), instances).await;
    for entry in cluster.entries() {
        let call = Call::get("/grants/status/warm-up");
        wait_until(SETTLE_TIMEOUT, async || call.send(entry).await.is_answer()).await;
    }
    cluster
}

fn set_outage(deployment: &Deployment, is_out: bool) {
    deployment.platform.table.faults().set_outage(is_out);
    deployment.platform.objects.faults().set_outage(is_out);
    deployment.platform.instances.faults().set_outage(is_out);
}

fn payout(key: &str) -> Call {
    Call::post("/grants/payouts/7", "{\"pence\": 12500}").with_key(key)
}

fn runs_of(deployment: &Deployment, key: &str) -> usize {
    let mut runs = 0;
    for service in deployment.zones.iter().flat_map(|zone| &zone.services) {
        runs += service.calls().iter().filter(|call| call.key.as_deref() == Some(key)).count();
    }
    runs
}

fn total_runs(services: &[PlainService]) -> usize {
    services.iter().map(|service| service.calls().len()).sum()
}

async fn assert_completion(cluster: &LocalCluster, index: usize, id: &str) {
    let prompt = format!("[long] assess {id}");
    let answer =
        Caller::new().request_completion(&[cluster.entry(index)], id, &prompt, TOKENS).await;
    assert_eq!(answer.end, AnswerEnd::Complete, "{answer:?}");
    assert_eq!(answer.tokens, answer_tokens(&prompt, TOKENS));
}

fn assert_not_run(reply: &Reply) {
    assert!(reply.is_refusal("store_unavailable", "not_run"), "{reply:?}");
    assert_eq!(reply.status, 503);
}

#[actix_rt::test]
async fn an_outage_stops_only_calls_that_need_a_claim() {
    let cluster = start(&["zone-a"], &[(0, "a-1"), (0, "a-2")]).await;
    set_outage(&cluster.deployment, true);
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < OUTAGE_DURATION {
        for index in 0..cluster.instances.len() {
            assert_completion(&cluster, index, &format!("outage-{index}-{round}")).await;
            let lookup = Call::get("/grants/status/17").send(cluster.entry(index)).await;
            assert!(lookup.is_answer(), "{lookup:?}");
        }
        round += 1;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
    let before = total_runs(&cluster.deployment.zones[0].services);
    assert_not_run(&payout("outage").send(cluster.entry(0)).await);
    assert_eq!(total_runs(&cluster.deployment.zones[0].services), before);
    set_outage(&cluster.deployment, false);
    let call = payout("outage");
    wait_until(SETTLE_TIMEOUT, async || call.send(cluster.entry(1)).await.is_answer()).await;
    assert_eq!(runs_of(&cluster.deployment, "outage"), 1);
}

#[actix_rt::test]
async fn a_lost_answer_to_a_claim_is_resolved_by_reading_the_claim() {
    let cluster = start(&["zone-a"], &[(0, "a-1"), (0, "a-2")]).await;
    cluster.deployment.platform.table.faults().on_next_write(Fault::LostAnswer);
    let reply = payout("settled").send(cluster.entry(0)).await;
    assert!(reply.is_answer(), "{reply:?}");
    let again = payout("settled").send(cluster.entry(1)).await;
    assert!(again.is_replayed, "{again:?}");
    assert_eq!(runs_of(&cluster.deployment, "settled"), 1);
}

/// A claim write that may still take effect cannot be distinguished from one that is lost.
#[actix_rt::test]
async fn a_claim_that_may_take_effect_late_is_refused_as_not_run_and_runs_on_resend() {
    let cluster = start(&["zone-a"], &[(0, "a-1"), (0, "a-2")]).await;
    for fault in [Fault::LostRequest, Fault::LateEffect] {
        let key = format!("{fault:?}");
        cluster.deployment.platform.table.faults().on_next_write(fault);
        let reply = payout(&key).send(cluster.entry(0)).await;
        let expected = usize::from(reply.is_answer());
        assert!(reply.is_answer() || &*reply.outcome == "not_run", "{reply:?}");
        assert_eq!(runs_of(&cluster.deployment, &key), expected, "{reply:?}");
        let call = payout(&key);
        let entry = cluster.entry(0);
        wait_until(SETTLE_TIMEOUT, async || call.send(entry).await.is_answer()).await;
        let again = payout(&key).send(cluster.entry(1)).await;
        assert!(again.is_replayed, "{again:?}");
        assert_eq!(runs_of(&cluster.deployment, &key), 1);
    }
}

#[actix_rt::test]
async fn an_instance_without_platform_and_peers_is_not_ready() {
    let deployment = Deployment::start(&DeploymentSpec::small(&["zone-a"])).await.unwrap();
    set_outage(&deployment, true);
    let mut cluster = LocalCluster { deployment, instances: Vec::new() };
    cluster.start_instance(0, "a-1").await;
    let start = Instant::now();
    while start.elapsed() < NOT_READY_OBSERVATION {
        assert!(!cluster.is_ready(0).await);
        let reply = Call::get("/grants/status/17").send(cluster.entry(0)).await;
        assert!(reply.is_refusal("not_ready", "not_run"), "{reply:?}");
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
    set_outage(&cluster.deployment, false);
    cluster.wait_until_ready().await;
}

#[actix_rt::test]
async fn an_instance_that_starts_in_an_outage_learns_from_its_peers() {
    let mut cluster = start(&["zone-a"], &[(0, "a-1")]).await;
    cluster.deployment.platform.table.faults().set_outage(true);
    cluster.deployment.platform.objects.faults().set_outage(true);
    let index = cluster.start_instance(0, "a-2").await;
    cluster.wait_until_ready().await;
    assert_completion(&cluster, index, "from-peers").await;
}

#[actix_rt::test]
async fn a_zone_cut_off_from_the_platform_serves_and_then_catches_up() {
    let cluster = start(&["zone-a", "zone-b"], &[(0, "a-1"), (1, "b-1")]).await;
    cluster.deployment.zones[1].platform_endpoint.disconnect();
    assert_completion(&cluster, 1, "cut-off").await;
    assert!(Call::get("/grants/status/17").send(cluster.entry(1)).await.is_answer());
    assert_not_run(&payout("cut-off").send(cluster.entry(1)).await);
    assert_eq!(runs_of(&cluster.deployment, "cut-off"), 0);
    let mut document = magnoliaspar_standin::declarations().unwrap();
    let entities = document.entities.len();
    document.entities.retain(|id, _| id.name() != "status");
    assert_eq!(document.entities.len(), entities - 1);
    cluster.deployment.accept_configuration(&document).await;
    cluster.deployment.zones[1].platform_endpoint.restore().await.unwrap();
    let restored_at = Instant::now();
    for entry in cluster.entries() {
        wait_until(CONFIGURATION_TIMEOUT, async || {
            let reply = Call::get("/grants/status/17").send(entry).await;
            reply.is_refusal("not_found", "not_run")
        })
        .await;
    }
    println!("the newest configuration is in force after {:?}", restored_at.elapsed());
    assert!(restored_at.elapsed() < CONFIGURATION_TIMEOUT);
}
