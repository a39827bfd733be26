//! Tests that instances which are frozen, cut off or killed do not make a limited server get more
//! requests than it takes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use magnoliaspar_platform_standin::{
    Caller, GatewayProcess, ServerSpec, StandinServer, StandinStore, write_settings,
};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

const HOST: &str = "site.example";

/// Requests per second that the server accepts from all instances together.
const LIMIT: f64 = 9.0;

/// Time until the instances have noticed that others are silent.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A server with a limit, which all instances know.
struct Deployment {
    gateways: Vec<GatewayProcess>,
    server: StandinServer,
    _store: StandinStore,
}

impl Deployment {
    async fn start(name: &str, count: usize) -> Self {
        let store = StandinStore::start().await;
        store.put("op", "config", &configuration());
        let server = StandinServer::start(&store, ServerSpec::plain("s1", "shop")).await;
        let mut gateways: Vec<GatewayProcess> = Vec::new();
        for index in 0..count {
            let seeds: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.peers).collect();
            gateways.push(start_gateway(name, index, store.address(), seeds).await);
        }
        let deployment = Self { gateways, server, _store: store };
        deployment.server.set_limit(Some(&LIMIT.to_string()));
        // The instances learn how many there are from several reports.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let caller = Caller::post(HOST, "/order/1", "first", b"x");
        drop(caller.fetch(deployment.gateways[0].requests).await);
        deployment
    }

    /// Sends calls to some instances in turn for a while.
    async fn send_calls(&self, instances: &[usize], lasts: Duration) {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < lasts {
            let index = instances[number % instances.len()];
            let id = format!("{index}-{number}-{:?}", started.elapsed());
            let address = self.gateways[index].requests;
            actix_rt::spawn(async move {
                drop(Caller::post(HOST, "/order/1", &id, b"x").fetch(address).await);
            });
            number += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the number of requests that the server got since `from`.
    fn requests_since(&self, from: Instant) -> usize {
        self.server.request_times().iter().filter(|at| **at >= from).count()
    }
}

async fn start_gateway(
    name: &str,
    index: usize,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> GatewayProcess {
    let directory = std::env::temp_dir().join(format!("limits-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let file = directory.join(format!("settings-{index}.json"));
    let started = tokio::task::spawn_blocking(move || {
        write_settings(&file, &format!("instance-{index}"), store, &seeds);
        GatewayProcess::start(Path::new(PROGRAM), &file)
    });
    started.await.expect("the gateway starts")
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "order", "host": HOST, "path_prefix": "/order/", "kind": "non_idempotent",
            "timeout_ms": 2_000, "target_latency_ms": 500, "service": "shop", "max_attempts": 1,
        }],
        "services": [{ "name": "shop" }],
        "limits": {
            "max_body_bytes": 100_000, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}

#[actix_rt::test]
async fn an_instance_that_others_are_cut_off_from_issues_only_its_share_of_a_limit() {
    let deployment = Deployment::start("share", 3).await;
    deployment.gateways[1].signal("-STOP");
    deployment.gateways[2].signal("-STOP");
    tokio::time::sleep(NOTICE_TIME).await;
    let from = Instant::now();
    deployment.send_calls(&[0], WINDOW).await;
    let requests = deployment.requests_since(from);
    let share = LIMIT * WINDOW.as_secs_f64() / 3.0;
    assert!(requests as f64 <= share + 2.0 && requests as f64 >= share / 2.0, "{requests}");
    deployment.gateways[1].signal("-CONT");
    deployment.gateways[2].signal("-CONT");
    tokio::time::sleep(NOTICE_TIME).await;
    let from = Instant::now();
    deployment.send_calls(&[0, 1, 2], WINDOW).await;
    let requests = deployment.requests_since(from);
    let whole = LIMIT * WINDOW.as_secs_f64();
    assert!(requests as f64 <= whole + 3.0 && requests as f64 >= 0.8 * whole, "{requests}");
}

#[actix_rt::test]
async fn the_successor_of_a_coordinator_that_is_killed_or_frozen_keeps_to_a_limit() {
    let mut deployment = Deployment::start("successor", 4).await;
    let from = Instant::now();
    for index in 0..2 {
        deployment.send_calls(&[0, 1, 2, 3], Duration::from_secs(1)).await;
        deployment.gateways[index].signal("-STOP");
        deployment.send_calls(&[2, 3], Duration::from_secs(1)).await;
        deployment.gateways[index].kill();
    }
    deployment.send_calls(&[2, 3], Duration::from_secs(1)).await;
    let requests = deployment.requests_since(from);
    let whole = LIMIT * from.elapsed().as_secs_f64();
    assert!(requests as f64 <= whole + 5.0 && requests as f64 >= whole / 3.0, "{requests}");
}
