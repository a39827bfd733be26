//! Starts instances and reads their metrics.

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use awc::Client;
use magnoliaspar_load::thread_id;
use magnoliaspar_serve::Addresses;
use magnoliaspar_standin::Deployment;

/// Timeout for an instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The prefix of the lines of the gossip counter in the metrics, up to the kind.
const GOSSIP_COUNTER: &str = "magnoliaspar_gossip_sent_bytes_total{kind=\"";

/// A running instance on its own thread.
pub struct RunningInstance {
    /// The kernel thread id of its thread.
    pub thread_id: u32,
    addresses: Addresses,
}

/// Starts an instance on its own thread and adds it to the list of the platform.
pub fn start(deployment: &Deployment, name: &str) -> Result<RunningInstance, Box<str>> {
    let settings = deployment.settings(0, name).map_err(|error| error.to_string())?;
    let copy = settings.clone();
    let (tx, rx) = mpsc::channel::<Result<(u32, Addresses), Box<str>>>();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            match magnoliaspar_serve::start(settings).await {
                Ok(handle) => {
                    let thread_id = thread_id().map_err(|error| error.to_string().into());
                    let _ = tx.send(thread_id.map(|id| (id, handle.addresses())));
                    std::future::pending::<()>().await;
                }
                Err(error) => {
                    let _ = tx.send(Err(error.to_string().into()));
                }
            }
        });
    });
    let (thread_id, addresses) = rx.recv().map_err(|error| error.to_string())??;
    deployment.register_instance(&copy, addresses);
    Ok(RunningInstance { thread_id, addresses })
}

impl RunningInstance {
    /// Returns the total bytes of gossip that the instance has passed to its links, by kind.
    pub async fn gossip_bytes(&self) -> Result<BTreeMap<Box<str>, f64>, Box<str>> {
        let url = format!("http://{}/metrics", self.addresses.operators);
        let sent = Client::default().get(url).send().await;
        let body = sent.map_err(|error| error.to_string())?.body().await;
        let body = body.map_err(|error| error.to_string())?;
        let mut bytes = BTreeMap::new();
        for line in String::from_utf8_lossy(&body).lines() {
            let Some(rest) = line.strip_prefix(GOSSIP_COUNTER) else { continue };
            let Some((kind, value)) = rest.split_once("\"} ") else { continue };
            let value: f64 =
                value.parse().map_err(|_| format!("the metric line {line:?} has no value"))?;
            bytes.insert(kind.into(), value);
        }
        Ok(bytes)
    }

    /// Waits until the instance is ready to take requests.
    pub async fn wait_until_ready(&self) -> Result<(), Box<str>> {
        let client = Client::default();
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let url = format!("http://{}/readyz", self.addresses.operators);
            if client.get(url).send().await.is_ok_and(|res| res.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        Err("an instance did not become ready in time".into())
    }
}
