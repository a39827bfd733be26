//! A cluster that runs on the thread of the test.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliaspar_engine::Stage;
use magnoliaspar_serve::InstanceHandle;
use magnoliaspar_standin::{Deployment, DeploymentSpec, ModelEngine};

use crate::wait_until;

/// Timeout for an instance to become ready and for an engine to reach a stage.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval of stage checks; it is much shorter than a stage, so that none is missed.
const STAGE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Stand-ins and instances, all on the current thread.
pub struct LocalCluster {
    /// The stand-ins.
    pub deployment: Deployment,
    /// The instances in the order of their start.
    pub instances: Vec<InstanceHandle>,
}

impl LocalCluster {
    /// Starts stand-ins and `instances`, each given by the index of its zone and its name, and
    /// waits until all are ready.
    pub async fn start(spec: &DeploymentSpec, instances: &[(usize, &str)]) -> Self {
        let deployment = Deployment::start(spec).await.expect("the stand-ins start");
        let mut cluster = Self { deployment, instances: Vec::new() };
        for (zone, name) in instances {
            cluster.start_instance(*zone, name).await;
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts an instance, registers it with the platform and returns its index.
    pub async fn start_instance(&mut self, zone: usize, name: &str) -> usize {
        let settings = self.deployment.settings(zone, name).expect("the name is valid");
        let handle =
            magnoliaspar_serve::start(settings.clone()).await.expect("the instance starts");
        self.deployment.register_instance(&settings, handle.addresses());
        self.instances.push(handle);
        self.instances.len() - 1
    }

    /// Returns the address on which an instance accepts callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.instances[index].addresses().callers
    }

    /// Returns the addresses on which the instances accept callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.addresses().callers).collect()
    }

    /// Returns whether an instance reports that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let operators = self.instances[index].addresses().operators;
        let url = format!("http://{operators}/readyz");
        awc::Client::default().get(url).send().await.is_ok_and(|res| res.status().is_success())
    }

    /// Waits until all instances report that they are ready.
    pub async fn wait_until_ready(&self) {
        for index in 0..self.instances.len() {
            wait_until(READY_TIMEOUT, async || self.is_ready(index).await).await;
        }
    }

    /// Waits until no engine memory is in use.
    pub async fn wait_until_memory_free(&self, timeout: Duration) {
        wait_until(timeout, async || self.deployment.used_pieces() == 0).await;
    }

    /// Returns the prefill engines of all zones, followed by the decode engines.
    pub fn engines(&self) -> Vec<ModelEngine> {
        let mut engines = Vec::new();
        for zone in &self.deployment.zones {
            engines.extend(zone.prefills.iter().cloned());
        }
        for zone in &self.deployment.zones {
            engines.extend(zone.decodes.iter().cloned());
        }
        engines
    }

    /// Returns the number of prefills started on all engines.
    pub fn started_prefills(&self) -> u32 {
        self.engines().iter().map(ModelEngine::started_prefills).sum()
    }

    /// Waits until a stream is in `stage` on any engine, and returns that engine.
    pub async fn wait_for_stage(&self, stage: Stage) -> ModelEngine {
        let search = async {
            loop {
                for engine in self.engines() {
                    if engine.streams().iter().any(|stream| stream.stage == stage) {
                        return engine;
                    }
                }
                actix_rt::time::sleep(STAGE_CHECK_INTERVAL).await;
            }
        };
        let found = actix_rt::time::timeout(READY_TIMEOUT, search).await;
        found.unwrap_or_else(|_| panic!("no stream was in {stage:?}"))
    }
}
