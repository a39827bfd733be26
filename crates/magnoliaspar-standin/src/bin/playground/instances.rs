use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use awc::Client;
use magnoliaspar_serve::Addresses;
use magnoliaspar_standin::Deployment;

/// How long the playground waits for its instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// How often an instance is asked whether it is ready.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// An instance on a thread of its own.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The name.
    pub name: Box<str>,
    /// Where it listens.
    pub addresses: Addresses,
}

/// Starts an instance and puts it on the platform's list.
pub fn start(deployment: &Deployment, zone: usize, name: &str) -> Result<Entry, Box<str>> {
    let settings = deployment.settings(zone, name).map_err(|error| error.to_string())?;
    let copy = settings.clone();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            match magnoliaspar_serve::start(settings).await {
                Ok(handle) => {
                    let _ = tx.send(Ok(handle.addresses()));
                    std::future::pending::<()>().await;
                }
                Err(error) => {
                    let _ = tx.send(Err(error.to_string()));
                }
            }
        });
    });
    let addresses = rx.recv().map_err(|error| error.to_string())??;
    deployment.enlist_instance(&copy, addresses);
    Ok(Entry { name: name.into(), addresses })
}

impl Entry {
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
        Err(format!("instance {} did not become ready", self.name).into())
    }
}
