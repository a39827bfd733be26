//! The filter that selects events for a time line, and its URL form.

use std::fmt;

use displaydoc::Display;
use magnoliaspar_core::{NameError, RequestId, ServerName};

use crate::{Event, EventKind, Stamp};

/// Maximum number of events per instance if the filter sets no limit.
const DEFAULT_LIMIT: usize = 2_000;

/// A filter on request, backend server and time.
///
/// Its text form is a URL query string, such as `request=pack-7&since=96636764160000&limit=50`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventFilter {
    /// Accepts only events of this request.
    pub request: Option<RequestId>,
    /// Accepts only events that involve this backend server.
    pub server: Option<ServerName>,
    /// Accepts only events at or after this stamp.
    pub since: Option<Stamp>,
    /// Accepts only events before this stamp.
    pub until: Option<Stamp>,
    /// Maximum number of events per instance; the latest are kept.
    pub limit: usize,
}

impl EventFilter {
    /// Returns true if the filter accepts `event`; the limit is not considered.
    pub fn accepts(&self, event: &Event) -> bool {
        if !self.overlaps(event.stamp, event.stamp) {
            return false;
        }
        if self.request.is_some() && self.request != event.request {
            return false;
        }
        match &self.server {
            Some(server) => involves(event, server),
            None => true,
        }
    }

    /// Returns true if the interval from `from` to `to`, both inclusive, overlaps the time range.
    pub fn overlaps(&self, from: Stamp, to: Stamp) -> bool {
        self.since.is_none_or(|since| to >= since) && self.until.is_none_or(|until| from < until)
    }
}

impl Default for EventFilter {
    fn default() -> Self {
        Self { request: None, server: None, since: None, until: None, limit: DEFAULT_LIMIT }
    }
}

impl TryFrom<&str> for EventFilter {
    type Error = FilterError;

    fn try_from(text: &str) -> Result<Self, FilterError> {
        let mut filter = Self::default();
        for pair in text.split('&') {
            if pair.is_empty() {
                continue;
            }
            let Some((name, value)) = pair.split_once('=') else {
                return Err(FilterError::Malformed(pair.into()));
            };
            let number = || value.parse().map_err(|_| FilterError::Number(value.into()));
            match name {
                "request" => filter.request = Some(value.try_into()?),
                "server" => filter.server = Some(value.try_into()?),
                "since" => filter.since = Some(Stamp(number()?)),
                "until" => filter.until = Some(Stamp(number()?)),
                "limit" => filter.limit = usize::try_from(number()?).unwrap_or(usize::MAX),
                _ => return Err(FilterError::Unknown(name.into())),
            }
        }
        Ok(filter)
    }
}

impl fmt::Display for EventFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "limit={}", self.limit)?;
        if let Some(request) = &self.request {
            write!(f, "&request={request}")?;
        }
        if let Some(server) = &self.server {
            write!(f, "&server={server}")?;
        }
        if let Some(since) = self.since {
            write!(f, "&since={}", since.0)?;
        }
        if let Some(until) = self.until {
            write!(f, "&until={}", until.0)?;
        }
        Ok(())
    }
}

/// The error of parsing a filter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum FilterError {
    /// {0:?} is not of the form name=value
    Malformed(Box<str>),
    /// {0:?} is not one of request, server, since, until, limit
    Unknown(Box<str>),
    /// {0:?} is not a whole number
    Number(Box<str>),
    /// {0}
    Name(NameError),
}

impl std::error::Error for FilterError {}

impl From<NameError> for FilterError {
    fn from(err: NameError) -> Self {
        Self::Name(err)
    }
}

/// Returns true if the event or its details name `server`.
fn involves(event: &Event, server: &ServerName) -> bool {
    if event.server.as_ref() == Some(server) {
        return true;
    }
    match &event.kind {
        EventKind::Planned(plan) => plan.prefill_server == *server || plan.decode_server == *server,
        EventKind::TransferStarted { to, .. } => to == server,
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::{EventFilter, FilterError};
    use crate::Stamp;

    #[test]
    fn a_filter_is_read_as_it_is_written() {
        let filter = EventFilter {
            request: Some("pack-7".try_into().unwrap()),
            server: Some("d-1".try_into().unwrap()),
            since: Some(Stamp(7)),
            until: Some(Stamp(9)),
            limit: 3,
        };
        assert_eq!(EventFilter::try_from(filter.to_string().as_str()), Ok(filter));
        assert_eq!(EventFilter::try_from(""), Ok(EventFilter::default()));
        assert_eq!(EventFilter::try_from("x=1"), Err(FilterError::Unknown("x".into())));
        assert_eq!(EventFilter::try_from("since=now"), Err(FilterError::Number("now".into())));
    }
}
