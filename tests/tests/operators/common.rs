//! Helpers of the tests of operators.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliaspar_standin::{DeploymentSpec, READER_KEY, declarations};
use magnoliaspar_tests::{AnswerEnd, Caller, Cluster, CommandOutput, Operator, wait_until};
use serde_json::{Map, Value, json};

/// Path of the command-line program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// Length of each answer.
pub const TOKENS: u32 = 24;

/// Timeout for a change of state to be visible on all instances.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts instances in two zones and waits until all know each other and the servers.
///
/// Each zone with instances contributes five servers.
pub async fn start(zone_a: &[&str], zone_b: &[&str]) -> Cluster {
    let spec = DeploymentSpec::small(&["zone-a", "zone-b"]);
    let mut cluster = Cluster::start(PROGRAM, &spec).await;
    cluster.start_instances(0, zone_a).await;
    cluster.start_instances(1, zone_b).await;
    let all = zone_a.len() + zone_b.len();
    let zones = 1 + usize::from(!zone_b.is_empty());
    for index in 0..all {
        let operator = operator(&cluster, index, READER_KEY);
        wait_until(PROPAGATION_TIMEOUT, async || {
            let instances = operator.column("instances where state = live", "instance").await;
            let servers = operator.column("servers where state = live", "server").await;
            instances.len() == all && servers.len() == 5 * zones
        })
        .await;
    }
    cluster
}

/// Returns an operator who uses the instance with this index.
pub fn operator(cluster: &Cluster, index: usize, key: &str) -> Operator {
    Operator::new(PROGRAM, cluster.instances[index].addresses.operators, key)
}

/// Returns the declarations of the stand-ins as a declarations file with another goodput weight.
pub fn declarations_file(goodput: f64) -> String {
    let mut groups = Map::new();
    for (id, value) in declarations().unwrap().entities {
        let (group, name) = id.0.split_once('/').unwrap();
        groups.entry(group).or_insert_with(|| json!({}))[name] = value;
    }
    let mut file = Value::Object(groups);
    file["routes"]["assess"]["completion"]["weights"] = json!({ "goodput": goodput });
    file.to_string()
}

/// Requests a completion, which must be answered.
pub async fn request_completion(entry: SocketAddr, id: &str, prompt: &str) {
    let answer = Caller::new().request_completion(&[entry], id, prompt, TOKENS).await;
    assert_eq!(answer.end, AnswerEnd::Complete, "{answer:?}");
}

/// Runs `apply` on a declarations file and waits up to 15 s for it to be active everywhere.
pub async fn apply(operator: &Operator, file: &str) -> CommandOutput {
    operator.run(&["apply", file, "--wait", "15s"]).await
}
