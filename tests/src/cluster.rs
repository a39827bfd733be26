//! A cluster whose instances run as processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use magnoliaspar_standin::{Deployment, DeploymentSpec, OPERATOR_KEY, PEER_KEY, READER_KEY};
use serde_json::json;

use crate::InstanceProcess;

/// Timeout for an instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which [`wait_until`] checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Key of a second operator with the right to give commands.
pub const SECOND_OPERATOR_KEY: &str = "second-shift-operator-key";

/// Stand-ins on the current thread, and instances as separate processes.
pub struct Cluster {
    /// The stand-ins.
    pub deployment: Deployment,
    /// The instances in the order of their start.
    pub instances: Vec<InstanceProcess>,
    program: Box<str>,
    directory: PathBuf,
}

impl Cluster {
    /// Starts the stand-ins; `program` is the executable of the instances to start later.
    pub async fn start(program: &str, spec: &DeploymentSpec) -> Self {
        let deployment = Deployment::start(spec).await.expect("the stand-ins start");
        let name = format!("magnoliaspar-tests-{}-{:x}", std::process::id(), rand::random::<u64>());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        Self { deployment, instances: Vec::new(), program: program.into(), directory }
    }

    /// Starts an instance in the zone with index `zone`, registers it with the platform and returns
    /// its index.
    pub fn start_instance(&mut self, zone: usize, name: &str) -> usize {
        let settings = self.deployment.settings(zone, name).expect("the name is valid");
        let file = self.directory.join(format!("{name}.json"));
        std::fs::write(&file, self.settings_text(zone, name)).expect("the file can be written");
        let instance = InstanceProcess::start(&self.program, &file);
        self.deployment.register_instance(&settings, instance.addresses);
        self.instances.push(instance);
        self.instances.len() - 1
    }

    /// Starts several instances in one zone and waits until they are ready.
    pub async fn start_instances(&mut self, zone: usize, names: &[&str]) {
        for name in names {
            self.start_instance(zone, name);
        }
        self.wait_until_ready().await;
    }

    /// Writes a file into the temporary directory of the cluster and returns its path.
    pub fn write_file(&self, name: &str, content: &str) -> Box<str> {
        let file = self.directory.join(name);
        std::fs::write(&file, content).expect("the file can be written");
        file.to_string_lossy().into()
    }

    /// Returns the addresses on which the instances accept callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.addresses.callers).collect()
    }

    /// Waits until all instances report that they are ready.
    pub async fn wait_until_ready(&self) {
        let client = awc::Client::default();
        for instance in &self.instances {
            let url = format!("http://{}/readyz", instance.addresses.operators);
            wait_until(READY_TIMEOUT, async || {
                client.get(&url).send().await.is_ok_and(|res| res.status().is_success())
            })
            .await;
        }
    }

    /// Waits until no engine memory is in use.
    pub async fn wait_until_memory_free(&self, timeout: Duration) {
        wait_until(timeout, async || self.deployment.used_pieces() == 0).await;
    }

    /// Returns the content of the settings file of an instance.
    pub fn settings_text(&self, zone: usize, name: &str) -> String {
        let zone = &self.deployment.zones[zone];
        let platform = zone.platform_endpoint.address();
        json!({
            "instance": name,
            "zone": zone.name,
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "platform": {
                "table": platform, "objects": platform,
                "weights": platform, "instances": platform,
            },
            "peer_keys": { "current": PEER_KEY },
            "operator_keys": [
                { "name": "on-call", "key": OPERATOR_KEY, "rights": "command" },
                { "name": "second-shift", "key": SECOND_OPERATOR_KEY, "rights": "command" },
                { "name": "dashboard", "key": READER_KEY, "rights": "read" },
            ],
            "log": { "filter": "info" },
            "drain_limit": "20s",
        })
        .to_string()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A temporary directory that cannot be removed does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Waits until a condition holds; panics after `timeout`.
pub async fn wait_until(timeout: Duration, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < timeout, "the condition does not hold after {timeout:?}");
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}
