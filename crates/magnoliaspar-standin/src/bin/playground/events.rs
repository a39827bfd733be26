//! Prints the events of a request.

use awc::Client;
use magnoliaspar_core::RequestId;
use magnoliaspar_event::{EventFilter, Timeline};
use magnoliaspar_query::api::{EVENTS_PATH, EventsResponse};
use magnoliaspar_standin::OPERATOR_KEY;

use crate::instances::EntryInstance;

/// Prints the timeline of a request; `entry` collects the events of all instances.
pub async fn print(entry: &EntryInstance, request: &str) -> Result<(), Box<str>> {
    let request = RequestId::try_from(request).map_err(|error| error.to_string())?;
    let filter = EventFilter { request: Some(request), ..EventFilter::default() };
    let url = format!("http://{}{EVENTS_PATH}?{filter}", entry.addresses.operators);
    let req = Client::default().get(url).bearer_auth(OPERATOR_KEY);
    let mut res = req.send().await.map_err(|error| error.to_string())?;
    let events: EventsResponse = res.json().await.map_err(|error| error.to_string())?;
    if !events.silent.is_empty() {
        return Err(format!("no events from {:?}", events.silent).into());
    }
    let timeline = Timeline::merge(&filter, events.parts, events.silent);
    if timeline.events().next().is_none() {
        return Err("the request has no events".into());
    }
    for event in timeline.events() {
        println!("  {event}");
    }
    Ok(())
}
