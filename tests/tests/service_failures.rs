//! Tests that calls of plain services survive failures of servers and instances, but that a call
//! with an idempotency key never runs twice, even if its answer is lost or its caller disconnects.

use std::time::Duration;

use futures_util::future::{join, join_all};
use magnoliaspar_standin::{DeploymentSpec, PlainService};
use magnoliaspar_tests::{Call, Cluster, LocalCluster, Reply, wait_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// Number of calls in tests that need calls on both servers.
const CALLS: usize = 6;

/// Number of keys that are sent through all instances at the same time.
const ROUNDS: usize = 10;

/// Timeout for conditions that instances and services reach eventually.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Duration of a slow call.
const SLOW_CALL_DURATION: Duration = Duration::from_millis(500);

async fn start(instances: &[(usize, &str)]) -> LocalCluster {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.services = 2;
    let cluster = LocalCluster::start(&spec, instances).await;
    wait_for_service(&cluster).await;
    cluster
}

/// Waits until every instance can reach the service.
async fn wait_for_service(cluster: &LocalCluster) {
    for entry in cluster.entries() {
        let call = Call::get("/grants/status/warm-up");
        wait_until(SETTLE_TIMEOUT, async || call.send(entry).await.is_answer()).await;
    }
}

fn services(cluster: &LocalCluster) -> &[PlainService] {
    &cluster.deployment.zones[0].services
}

/// Returns the number of calls with this idempotency key that the servers have run.
fn runs_of(services: &[PlainService], key: &str) -> usize {
    let mut runs = 0;
    for service in services {
        runs += service.calls().iter().filter(|call| call.key.as_deref() == Some(key)).count();
    }
    runs
}

fn payout(key: &str) -> Call {
    Call::post("/grants/payouts/7", "{\"pence\": 12500}").with_key(key)
}

#[actix_rt::test]
async fn lookups_are_answered_when_a_server_crashes() {
    let cluster = start(&[(0, "a-1")]).await;
    services(&cluster)[0].crash();
    for number in 0..CALLS {
        let reply = Call::get(&format!("/grants/status/{number}")).send(cluster.entry(0)).await;
        assert!(reply.is_answer(), "{reply:?}");
    }
}

#[actix_rt::test]
async fn lookups_are_answered_when_a_server_goes_silent() {
    let cluster = start(&[(0, "a-1")]).await;
    services(&cluster)[0].drop_answers(u32::MAX);
    let mut requests = Vec::new();
    for number in 0..CALLS {
        let entry = cluster.entry(0);
        requests
            .push(async move { Call::get(&format!("/grants/status/{number}")).send(entry).await });
    }
    for reply in join_all(requests).await {
        assert!(reply.is_answer(), "{reply:?}");
    }
}

#[actix_rt::test]
async fn idempotent_calls_are_retried_when_a_server_crashes_or_goes_silent() {
    let cluster = start(&[(0, "a-1")]).await;
    services(&cluster)[0].drop_answers(1);
    let first = Call::post("/grants/notes/1", "a").send(cluster.entry(0)).await;
    let second = Call::post("/grants/notes/2", "b").send(cluster.entry(0)).await;
    services(&cluster)[0].crash();
    let third = Call::post("/grants/notes/3", "c").send(cluster.entry(0)).await;
    for reply in [first, second, third] {
        assert!(reply.is_answer(), "{reply:?}");
    }
}

#[actix_rt::test]
async fn a_call_without_an_idempotency_key_is_refused_as_not_run() {
    let cluster = start(&[(0, "a-1")]).await;
    let reply = Call::post("/grants/payouts/7", "{}").send(cluster.entry(0)).await;
    assert_eq!(reply.status, 400);
    assert!(reply.is_refusal("missing_idempotency_key", "not_run"), "{reply:?}");
    let calls: usize = services(&cluster).iter().map(|service| service.calls().len()).sum();
    assert_eq!(calls, 1, "a server ran more than the warm-up call");
}

#[actix_rt::test]
async fn a_claimed_call_whose_answer_is_lost_is_never_run_again() {
    let cluster = start(&[(0, "a-1"), (0, "a-2")]).await;
    for service in services(&cluster) {
        service.drop_answers(1);
    }
    let first = payout("lost-answer").send(cluster.entry(0)).await;
    assert_eq!(&*first.outcome, "may_have_run", "{first:?}");
    for entry in cluster.entries() {
        let again = payout("lost-answer").send(entry).await;
        assert!(again.is_refusal("server_failed", "may_have_run"), "{again:?}");
    }
    assert_eq!(runs_of(services(&cluster), "lost-answer"), 1);
}

#[actix_rt::test]
async fn a_claimed_call_is_not_sent_to_another_server_after_a_crash() {
    let cluster = start(&[(0, "a-1")]).await;
    for service in services(&cluster) {
        service.set_delay(SLOW_CALL_DURATION);
    }
    let kill = async {
        wait_until(SETTLE_TIMEOUT, async || runs_of(services(&cluster), "dies") > 0).await;
        for service in services(&cluster) {
            if runs_of(std::slice::from_ref(service), "dies") > 0 {
                service.crash();
            }
        }
    };
    let call = payout("dies");
    let (reply, ()) = join(call.send(cluster.entry(0)), kill).await;
    assert_eq!(&*reply.outcome, "may_have_run", "{reply:?}");
    let again = call.send(cluster.entry(0)).await;
    assert_eq!(&*again.outcome, "may_have_run", "{again:?}");
    assert_eq!(runs_of(services(&cluster), "dies"), 1);
}

#[actix_rt::test]
async fn a_resend_through_another_instance_gets_the_stored_answer() {
    let cluster = start(&[(0, "a-1"), (0, "a-2"), (0, "a-3")]).await;
    let first = payout("kept").send(cluster.entry(0)).await;
    assert!(first.is_answer() && !first.is_replayed, "{first:?}");
    for entry in cluster.entries() {
        let again = payout("kept").send(entry).await;
        assert!(again.is_answer() && again.is_replayed, "{again:?}");
        assert_eq!(again.body, first.body);
    }
    assert_eq!(runs_of(services(&cluster), "kept"), 1);
}

#[actix_rt::test]
async fn concurrent_calls_with_one_key_through_three_instances_run_once() {
    let cluster = start(&[(0, "a-1"), (0, "a-2"), (0, "a-3")]).await;
    for round in 0..ROUNDS {
        let key = format!("race-{round}");
        let call = payout(&key);
        let mut concurrent = Vec::new();
        for entry in cluster.entries() {
            concurrent.push(call.send(entry));
        }
        let replies = join_all(concurrent).await;
        assert_eq!(runs_of(services(&cluster), &key), 1, "{replies:?}");
        assert!(replies.iter().any(Reply::is_answer), "{replies:?}");
        for reply in &replies {
            assert!(reply.is_answer() || &*reply.outcome == "may_have_run", "{reply:?}");
        }
    }
}

#[actix_rt::test]
async fn a_key_that_is_reused_for_another_call_is_refused() {
    let cluster = start(&[(0, "a-1")]).await;
    assert!(payout("reused").send(cluster.entry(0)).await.is_answer());
    let other = Call::post("/grants/payouts/7", "{\"pence\": 99}").with_key("reused");
    let reply = other.send(cluster.entry(0)).await;
    assert_eq!(reply.status, 400, "{reply:?}");
    assert!(reply.is_refusal("bad_request", "not_run"), "{reply:?}");
    assert_eq!(runs_of(services(&cluster), "reused"), 1);
}

#[actix_rt::test]
async fn a_call_killed_with_its_instance_is_never_run_again() {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.services = 2;
    let mut cluster = Cluster::start(PROGRAM, &spec).await;
    cluster.start_instances(0, &["a-1", "a-2"]).await;
    let entries = cluster.entries();
    for entry in &entries {
        let call = Call::get("/grants/status/warm-up");
        wait_until(SETTLE_TIMEOUT, async || call.send(*entry).await.is_answer()).await;
    }
    let services = cluster.deployment.zones[0].services.clone();
    for service in &services {
        service.set_delay(SLOW_CALL_DURATION);
    }
    let kill = async {
        wait_until(SETTLE_TIMEOUT, async || runs_of(&services, "killed") > 0).await;
        cluster.instances[0].kill();
    };
    let call = payout("killed");
    let (broken, ()) = join(call.send(entries[0]), kill).await;
    assert_eq!(broken.status, 0, "{broken:?}");
    let again = call.send(entries[1]).await;
    assert_eq!(&*again.outcome, "may_have_run", "{again:?}");
    assert_eq!(runs_of(&services, "killed"), 1);
}

#[actix_rt::test]
async fn the_outcome_of_a_call_is_stored_although_its_caller_disconnected() {
    let cluster = start(&[(0, "a-1"), (0, "a-2")]).await;
    for service in services(&cluster) {
        service.set_delay(SLOW_CALL_DURATION);
    }
    let call = payout("gone");
    let abandoned =
        actix_rt::time::timeout(SLOW_CALL_DURATION / 2, call.send(cluster.entry(0))).await;
    assert!(abandoned.is_err(), "{abandoned:?}");
    let entry = cluster.entry(1);
    wait_until(SETTLE_TIMEOUT, async || call.send(entry).await.is_replayed).await;
    assert_eq!(runs_of(services(&cluster), "gone"), 1);
}
