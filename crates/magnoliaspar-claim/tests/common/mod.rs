//! Helpers of the claim tests.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_claim::{
    ClaimController, ClaimRequest, ClaimSettings, StoredBody, StoredOutcome, fingerprint,
};
use magnoliaspar_core::{Incarnation, ManualClock};
use magnoliaspar_store::{Backoff, Sleep, TableService};

/// Sleeps by advancing a manual clock.
pub struct AdvancingSleep(pub Rc<ManualClock>);

#[async_trait(?Send)]
impl Sleep for AdvancingSleep {
    async fn sleep(&self, duration: Duration) {
        self.0.advance(duration);
        tokio::task::yield_now().await;
    }
}

/// Creates a controller for one incarnation of an instance.
pub fn controller(
    table: Rc<dyn TableService>,
    clock: &Rc<ManualClock>,
    instance: &str,
    incarnation: u64,
) -> ClaimController {
    ClaimController::new(settings(table, clock, instance, incarnation))
}

/// Returns the settings of a controller.
pub fn settings(
    table: Rc<dyn TableService>,
    clock: &Rc<ManualClock>,
    instance: &str,
    incarnation: u64,
) -> ClaimSettings {
    ClaimSettings {
        table,
        clock: clock.clone(),
        backoff: Backoff::new(Rc::new(AdvancingSleep(clock.clone()))),
        instance: instance.try_into().unwrap(),
        incarnation: Incarnation(incarnation),
        nonce: 0,
        linger: ClaimSettings::LINGER,
        retention: ClaimSettings::RETENTION,
    }
}

/// Creates a request with an idempotency key.
pub fn request(key: &str, body: &str) -> ClaimRequest {
    ClaimRequest {
        workspace: "midlands".try_into().unwrap(),
        key: key.try_into().unwrap(),
        fingerprint: fingerprint("POST", "/grants/payouts", body.as_bytes()),
        route: "payouts".try_into().unwrap(),
    }
}

/// Creates an outcome that is identified by its body.
pub fn outcome(body: &str) -> StoredOutcome {
    StoredOutcome { status: 201, headers: Vec::new(), body: StoredBody::from(body.as_bytes()) }
}
