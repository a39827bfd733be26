use std::collections::BTreeMap;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use awc::Client;
use magnoliaspar_load::thread_id;
use magnoliaspar_serve::Addresses;
use magnoliaspar_standin::Deployment;

/// How long an instance may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How often an instance is asked whether it is ready.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// What a line of the counter of gossip starts with.
const GOSSIP_COUNTER: &str = "magnoliaspar_gossip_sent_bytes_total{kind=\"";

/// An instance on a thread of its own.
pub struct Entry {
    /// The kernel's number of its thread.
    pub thread: u32,
    addresses: Addresses,
}

/// Starts an instance and puts it on the platform's list.
pub fn start(deployment: &Deployment, name: &str) -> Result<Entry, Box<str>> {
    let settings = deployment.settings(0, name).map_err(|error| error.to_string())?;
    let copy = settings.clone();
    let (tx, rx) = mpsc::channel::<Result<(u32, Addresses), Box<str>>>();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            match magnoliaspar_serve::start(settings).await {
                Ok(handle) => {
                    let thread = thread_id().map_err(|error| error.to_string().into());
                    let _ = tx.send(thread.map(|thread| (thread, handle.addresses())));
                    std::future::pending::<()>().await;
                }
                Err(error) => {
                    let _ = tx.send(Err(error.to_string().into()));
                }
            }
        });
    });
    let (thread, addresses) = rx.recv().map_err(|error| error.to_string())??;
    deployment.register_instance(&copy, addresses);
    Ok(Entry { thread, addresses })
}

impl Entry {
    /// Returns how many bytes of gossip the instance has handed to its links, by kind.
    pub async fn gossip_bytes(&self) -> Result<BTreeMap<Box<str>, f64>, Box<str>> {
        let url = format!("http://{}/metrics", self.addresses.operators);
        let sent = Client::default().get(url).send().await;
        let body = sent.map_err(|error| error.to_string())?.body().await;
        let body = body.map_err(|error| error.to_string())?;
        let mut bytes = BTreeMap::new();
        for line in String::from_utf8_lossy(&body).lines() {
            let Some(rest) = line.strip_prefix(GOSSIP_COUNTER) else { continue };
            let Some((kind, value)) = rest.split_once("\"} ") else { continue };
            let value: f64 = value.parse().map_err(|_| format!("{line} has no value"))?;
            bytes.insert(kind.into(), value);
        }
        Ok(bytes)
    }

    /// Waits until the instance takes requests.
    pub async fn wait_until_ready(&self) -> Result<(), Box<str>> {
        let client = Client::default();
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let url = format!("http://{}/readyz", self.addresses.operators);
            if client.get(url).send().await.is_ok_and(|res| res.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
        Err("an instance did not become ready".into())
    }
}
