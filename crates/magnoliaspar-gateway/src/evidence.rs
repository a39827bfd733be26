//! Decides what a response proves: whose it is, whether its request has run, and whether it is whole.
//!
//! Servers break off at any point, repeat earlier responses and end with their connections. All calls ask
//! here, whatever they are for.

use std::time::{Duration, Instant};

use actix_http::StatusCode;

/// Whose response a server has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// The response belongs to the request.
    Own,
    /// The response belongs to another request.
    Other,
    /// Nothing tells whose response it is.
    Unknown,
}

impl Owner {
    /// Judges a response by the request that it names; `is_first` if it is the first one on its connection,
    /// which has carried only one request.
    pub fn of(named: Option<&str>, request: &str, is_first: bool) -> Self {
        match named {
            Some(named) if named == request => Self::Own,
            Some(_) => Self::Other,
            None if is_first => Self::Own,
            None => Self::Unknown,
        }
    }
}

/// Returns whether the request's own response proves that the request has not run and will not run.
pub fn proves_not_run(status: StatusCode, states_not_run: bool) -> bool {
    states_not_run && !status.is_success()
}

/// Returns whether callers take a status for the promise that a request has not run and will not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What the end of a body proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The body is whole.
    Whole,
    /// The body has broken off, for this reason.
    BrokenOff(&'static str),
    /// The body is whole if the process of its server still lives: the connections of a process that ends
    /// are closed in order, too.
    WholeIfAlive,
}

impl Ending {
    /// Judges the orderly end of a body; `is_delimited` if a length or chunks announced it.
    pub fn of_body(is_delimited: bool) -> Self {
        if is_delimited { Self::Whole } else { Self::WholeIfAlive }
    }

    /// Judges the orderly end of a stream.
    pub fn of_stream(stream: StreamEnd) -> Self {
        if stream.is_inside_event {
            return Self::BrokenOff("the stream ended inside an event");
        }
        // The stream before may have broken off just after its last event.
        let may_be_empty = stream.is_continuation && stream.is_delimited && stream.is_event_stream;
        if !stream.has_event && !may_be_empty {
            return Self::BrokenOff("the stream ended before its first event");
        }
        Self::of_body(stream.is_delimited)
    }
}

/// The orderly end of the stream of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnd {
    /// Whether a length or chunks announced the end.
    pub is_delimited: bool,
    /// Whether the head announced a stream of events.
    pub is_event_stream: bool,
    /// Whether it came inside an event.
    pub is_inside_event: bool,
    /// Whether the engine has sent an event.
    pub has_event: bool,
    /// Whether the stream continues after an event that another one has delivered.
    pub is_continuation: bool,
}

/// What a server says of its process, in a response on a new connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessReport {
    /// Start time of the process, in milliseconds since the Unix epoch, if the server states it.
    pub started_ms: Option<u64>,
    /// Whether a server other than the expected one responded.
    pub is_other_server: bool,
}

impl ProcessReport {
    /// Returns whether the process that sent a body outlives it.
    ///
    /// `started_ms` is the start time that was known before the request was sent. Without a start time in the
    /// report, it is that process if the connection `reaches_process`.
    pub fn proves_alive(self, started_ms: u64, reaches_process: bool) -> bool {
        match self.started_ms {
            _ if self.is_other_server => false,
            Some(reported) => reported == started_ms,
            None => reaches_process,
        }
    }
}

/// Minimum time from the end of a process until another one accepts connections at its address.
const MIN_RESTART_TIME: Duration = Duration::from_millis(250);

/// Returns whether a connection leads to the process that responds to a request, by the times at which both
/// began: that process had not ended when the request was sent.
pub fn reaches_process(opened_at: Instant, sent_at: Instant) -> bool {
    opened_at < sent_at + MIN_RESTART_TIME
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use actix_http::StatusCode;

    use super::{
        Ending, Owner, ProcessReport, StreamEnd, promises_not_run, proves_not_run, reaches_process,
    };

    #[test]
    fn a_response_without_a_name_is_own_only_on_a_new_connection() {
        assert_eq!(Owner::of(Some("r1"), "r1", false), Owner::Own);
        assert_eq!(Owner::of(Some("r0"), "r1", true), Owner::Other);
        assert_eq!(Owner::of(None, "r1", true), Owner::Own);
        assert_eq!(Owner::of(None, "r1", false), Owner::Unknown);
    }

    #[test]
    fn only_a_statement_beside_a_failure_proves_that_a_request_has_not_run() {
        for status in [408, 421, 429, 503] {
            let status = StatusCode::from_u16(status).unwrap();
            assert!(promises_not_run(status));
            assert!(proves_not_run(status, true));
            assert!(!proves_not_run(status, false));
        }
        for status in [200, 400, 500, 502, 504] {
            assert!(!promises_not_run(StatusCode::from_u16(status).unwrap()));
        }
        assert!(!proves_not_run(StatusCode::OK, true));
    }

    #[test]
    fn a_stream_is_whole_only_with_a_last_chunk_or_a_process_that_lives() {
        let ending = |is_delimited, is_inside_event, has_event, is_continuation| {
            Ending::of_stream(StreamEnd {
                is_delimited,
                is_event_stream: true,
                is_inside_event,
                has_event,
                is_continuation,
            })
        };
        let is_broken = |ending| matches!(ending, Ending::BrokenOff(_));
        for is_continuation in [false, true] {
            assert_eq!(ending(true, false, true, is_continuation), Ending::Whole);
            assert_eq!(ending(false, false, true, is_continuation), Ending::WholeIfAlive);
            assert!(is_broken(ending(true, true, true, is_continuation)));
            assert!(is_broken(ending(false, true, true, is_continuation)));
            assert!(is_broken(ending(false, false, false, is_continuation)));
        }
        assert!(is_broken(ending(true, false, false, false)));
        assert_eq!(ending(true, false, false, true), Ending::Whole);
        assert!(is_broken(Ending::of_stream(StreamEnd {
            is_delimited: true,
            is_event_stream: false,
            is_inside_event: false,
            has_event: false,
            is_continuation: true,
        })));
    }

    #[test]
    fn a_process_is_known_by_its_start_or_by_an_early_connection() {
        let report = |started_ms, is_other_server| ProcessReport { started_ms, is_other_server };
        assert!(report(Some(7), false).proves_alive(7, false));
        assert!(!report(Some(8), false).proves_alive(7, true));
        assert!(report(None, false).proves_alive(7, true));
        assert!(!report(None, false).proves_alive(7, false));
        assert!(!report(Some(7), true).proves_alive(7, true));
        let sent_at = Instant::now();
        assert!(reaches_process(sent_at + Duration::from_millis(200), sent_at));
        assert!(!reaches_process(sent_at + Duration::from_millis(300), sent_at));
    }
}
