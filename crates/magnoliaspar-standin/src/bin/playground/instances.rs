//! The instances of the playground.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use awc::Client;
use magnoliaspar_serve::Addresses;
use magnoliaspar_standin::Deployment;

/// Timeout for an instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An instance that runs on its own thread.
#[derive(Debug, Clone)]
pub struct EntryInstance {
    /// The name of the instance.
    pub name: Box<str>,
    /// The addresses on which it listens.
    pub addresses: Addresses,
}

/// Starts an instance on its own thread and registers it with the platform.
pub fn start(deployment: &Deployment, zone: usize, name: &str) -> Result<EntryInstance, Box<str>> {
    let settings = deployment.settings(zone, name).map_err(|error| error.to_string())?;
    let registered_settings = settings.clone();
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
    deployment.register_instance(&registered_settings, addresses);
    Ok(EntryInstance { name: name.into(), addresses })
}

impl EntryInstance {
    /// Waits until the instance reports that it is ready.
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
        Err(format!("instance {} did not become ready", self.name).into())
    }
}
