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
    deployment.enlist_instance(&copy, addresses);
    Ok(Entry { thread, addresses })
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
        Err("an instance did not become ready".into())
    }
}
