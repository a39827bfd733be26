//! Tests that logs and metrics alone show the cause of a failed request: the `explain` command
//! finds it by the request's id in the log of the gateway, and the metrics count the failure.

use std::path::{Path, PathBuf};
use std::time::Duration;

use magnoliaspar_cli::run_with;
use magnoliaspar_platform_standin::{
    Caller, Fault, GatewayProcess, Role, ServerSpec, StandinServer, StandinStore, write_settings,
};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

const HOST: &str = "site.example";

/// A gateway process, its servers, and the directory of its settings and log.
struct Deployment {
    gateway: GatewayProcess,
    servers: Vec<StandinServer>,
    directory: PathBuf,
}

impl Deployment {
    async fn start(name: &str) -> Self {
        let store = StandinStore::start().await;
        store.put("op", "config", &configuration());
        let specs = [
            ServerSpec::plain("s1", "shop"),
            ServerSpec::engine("p1", "engines", Role::Prefill),
            ServerSpec::engine("d1", "engines", Role::Decode),
        ];
        let mut servers = Vec::new();
        for spec in specs {
            servers.push(StandinServer::start(&store, spec).await);
        }
        let directory = std::env::temp_dir().join(format!("explain-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        let file = directory.join("settings.json");
        let address = store.address();
        let started = tokio::task::spawn_blocking(move || {
            write_settings(&file, "one", address, &[]);
            GatewayProcess::start(Path::new(PROGRAM), &file)
        });
        let gateway = started.await.expect("the gateway starts");
        let deployment = Self { gateway, servers, directory };
        deployment.wait_for_log("servers_known").await;
        deployment.wait_for_log("configuration_taken").await;
        deployment
    }

    /// Waits until the log of the gateway contains `text`.
    async fn wait_for_log(&self, text: &str) {
        for _ in 0..1_000 {
            if self.gateway.log().contains(text) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no {text} in the log:\n{}", self.gateway.log());
    }

    /// Returns the output of the `explain` command for a request.
    async fn explain(&self, id: &str) -> String {
        self.wait_for_log(&format!("\"request\":\"{id}\"")).await;
        // More records of the request may follow the first one.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let file = self.directory.join("one.log");
        std::fs::write(&file, self.gateway.log()).expect("the log can be written");
        let args = ["explain".into(), id.into(), file.to_str().expect("the path is UTF-8").into()];
        let (mut out, mut err) = (Vec::new(), Vec::new());
        assert_eq!(run_with(&args, &mut out, &mut err), 0, "{}", String::from_utf8_lossy(&err));
        String::from_utf8(out).expect("the output is UTF-8")
    }

    async fn metrics(&self) -> String {
        let answer = Caller::get(HOST, "/metrics", "m").fetch(self.gateway.metrics).await;
        String::from_utf8(answer.expect("the gateway serves metrics").body)
            .expect("the output is UTF-8")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // A temporary directory that cannot be removed does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn configuration() -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 5_000, "target_latency_ms": 500, "service": service, "max_attempts": 1,
        })
    };
    json!({
        "version": 7,
        "routes": [
            route("order", "non_idempotent", "shop"),
            route("review", "streaming", "engines"),
        ],
        "services": [
            { "name": "shop" },
            { "name": "engines", "engine": { "slots": 8, "kv_capacity_tokens": 30_000 } },
        ],
        "limits": {
            "max_body_bytes": 100_000, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}

#[actix_rt::test]
async fn explain_and_metrics_show_a_refusal_for_lack_of_capacity() {
    let deployment = Deployment::start("refused").await;
    deployment.servers[0].set_fault(Fault::Full);
    let caller = Caller::post(HOST, "/order/1", "full1", b"x");
    let answer = caller.fetch(deployment.gateway.requests).await.unwrap();
    assert_eq!(answer.status, 503);
    let explanation = deployment.explain("full1").await;
    assert!(explanation.contains("call_rejected"), "{explanation}");
    assert!(explanation.contains("server=s1"), "{explanation}");
    assert!(explanation.contains("reason=no_capacity"), "{explanation}");
    assert!(explanation.contains("version=7"), "{explanation}");
    let metrics = deployment.metrics().await;
    let counted = "magnoliaspar_gateway_refusals_total{reason=\"no_capacity\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    assert!(
        metrics.contains("magnoliaspar_gateway_calls_total{result=\"not_run\"} 1"),
        "{metrics}"
    );
}

#[actix_rt::test]
async fn explain_and_metrics_show_a_failure_after_which_a_request_may_have_run() {
    let deployment = Deployment::start("failed").await;
    deployment.servers[0].set_fault(Fault::Reset);
    let caller = Caller::post(HOST, "/order/1", "reset1", b"x");
    let answer = caller.fetch(deployment.gateway.requests).await.unwrap();
    assert_eq!(answer.status, 502);
    let explanation = deployment.explain("reset1").await;
    assert!(explanation.contains("call_failed"), "{explanation}");
    assert!(explanation.contains("server=s1"), "{explanation}");
    assert!(explanation.contains("the connection broke"), "{explanation}");
    assert!(explanation.contains("reason=may_have_run"), "{explanation}");
    let metrics = deployment.metrics().await;
    let counted = "magnoliaspar_gateway_refusals_total{reason=\"may_have_run\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}

#[actix_rt::test]
async fn explain_and_metrics_show_a_broken_stream() {
    let deployment = Deployment::start("broken").await;
    deployment.servers[2].set_fault(Fault::CutAfter(3));
    let caller = Caller::completion(HOST, "/review/1", "cut1", 1_000, 80);
    let answer = caller.fetch(deployment.gateway.requests).await.unwrap();
    assert!(!answer.is_complete);
    let explanation = deployment.explain("cut1").await;
    assert!(explanation.contains("placed"), "{explanation}");
    assert!(explanation.contains("decode=d1"), "{explanation}");
    assert!(explanation.contains("stream_broke"), "{explanation}");
    assert!(explanation.contains("is_allowed=false"), "{explanation}");
    let metrics = deployment.metrics().await;
    let counted = "magnoliaspar_gateway_requests_total{kind=\"stream\",outcome=\"broken\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}
