//! Events of an instance.

use std::fmt;

use magnoliaspar_core::{InstanceName, RequestId, ServerName};
use serde::{Deserialize, Serialize};

use crate::{EventKind, Stamp};

/// An event recorded by an instance.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// The time of the event.
    pub stamp: Stamp,
    /// The instance that recorded the event.
    pub instance: InstanceName,
    /// The request that the event belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The backend server involved, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ServerName>,
    /// The kind of event with its details.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.stamp, self.instance)?;
        if let Some(request) = &self.request {
            write!(f, " {request}")?;
        }
        if let Some(server) = &self.server {
            write!(f, " [{server}]")?;
        }
        write!(f, " {}", self.kind)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, SystemTime};

    use magnoliaspar_core::AttemptId;

    use super::Event;
    use crate::{EventKind, Plan, RejectedServer, Stamp};

    #[test]
    fn an_event_is_written_and_read_as_json() {
        let plan = Plan {
            attempt: AttemptId(1),
            prefill_server: "p-1".try_into().unwrap(),
            decode_server: "d-2".try_into().unwrap(),
            cached_tokens: 512,
            uncached_tokens: 64,
            queue_ms: 3,
            prefill_ms: 120,
            transfer_ms: 40,
            ttft_ms: 163,
            slack_ms: 807,
            report_age_ms: 90,
            wasted_prefill_weight: 0.7,
            goodput_weight: 0.3,
            rejected: [RejectedServer {
                server: "p-2".try_into().unwrap(),
                reason: "no cached block".into(),
                ttft_ms: Some(700),
            }]
            .into(),
        };
        let event = Event {
            stamp: Stamp::at(SystemTime::UNIX_EPOCH + Duration::from_secs(1)),
            instance: "mid-a-1".try_into().unwrap(),
            request: Some("pack-7".try_into().unwrap()),
            server: None,
            kind: EventKind::Planned(plan.into()),
        };
        let text = serde_json::to_string(&event).unwrap();
        assert!(text.contains("\"kind\":\"planned\""), "{text}");
        assert_eq!(serde_json::from_str::<Event>(&text).unwrap(), event);
        let shown = "1970-01-01T00:00:01.000Z mid-a-1 pack-7 planned attempt 1: prefill on p-1, \
                     decode on d-2; 512 tokens cached, 64 to prefill; TTFT 163 ms (queue 3, \
                     prefill 120, transfer 40), slack 807 ms; report 90 ms old; weights \
                     wasted_prefill 0.7, goodput 0.3; rejected p-2 (no cached block, TTFT 700 ms)";
        assert_eq!(event.to_string(), shown);
    }
}
