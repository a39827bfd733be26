//! Asks a server about its process: whether the one that sent a response still lives, where only the end of a
//! connection ended the response, and whether one leaves or rests, where that is not clear.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, Uri};
use bytes::Bytes;
use magnoliaspar_core::ServerKey;

use crate::call::{PROBE_BACKOFF, connect_to, examine, gone};
use crate::dialect::{EngineState, ResponseFacts};
use crate::evidence::{Ending, ProcessReport, reaches_process};
use crate::exchange::{CallError, Connection};
use crate::gateway::Gateway;
use crate::guarantees::{Guarantee, is_disabled};

/// Timeout of a report. A server may be silent for a second and then go on: a response that is not confirmed is lost,
/// and a server that is used without a report may leave.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of a report, in bytes. An engine lists the requests that it runs.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Message for a response whose end nothing vouches for.
const NOT_OUTLIVED: &str = "the connection ended, and its server may have ended before";

/// The process that sends a response, as it was known before the request was sent.
pub struct Witness {
    server: ServerKey,
    started_ms: u64,
    sent_at: Instant,
    /// A connection that leads to the process.
    connection: Option<Connection>,
}

impl Witness {
    /// Records the process of a server before a request is sent to it.
    pub fn new(gateway: &Gateway, server: ServerKey) -> Self {
        let directory = gateway.directory.borrow();
        let started_ms = directory.get(server).map_or(0, |server| server.record.started_ms);
        Self { server, started_ms, sent_at: gateway.clock.now(), connection: None }
    }

    /// Takes a connection to the process while it sends its response, unless reports of the server name their
    /// process.
    pub async fn attach(&mut self, gateway: &Gateway) {
        let is_engine = {
            let directory = gateway.directory.borrow();
            directory.get(self.server).is_some_and(|server| server.record.role.is_some())
        };
        if is_engine {
            return;
        }
        let idle = gateway.pool.borrow_mut().take(self.server, gateway.clock.now());
        let connection = match idle {
            Some(idle) => Some(idle),
            None => connect_to(gateway, self.server).await.ok(),
        };
        let reaches_process = |connection: &Connection| {
            connection.opened_at().is_some_and(|opened_at| reaches_process(opened_at, self.sent_at))
        };
        self.connection = connection.filter(reaches_process);
    }

    /// Returns an error unless the response is whole.
    pub async fn confirm(
        &mut self,
        gateway: &Rc<Gateway>,
        ending: Ending,
    ) -> Result<(), CallError> {
        match ending {
            Ending::Whole => return Ok(()),
            Ending::BrokenOff(reason) => return Err(CallError::Broken(reason.into())),
            Ending::WholeIfAlive if is_disabled(Guarantee::WholeAnswer) => return Ok(()),
            Ending::WholeIfAlive => {}
        }
        let asked = tokio::time::timeout(REPORT_TIMEOUT, self.is_alive(gateway)).await;
        let (is_alive, reason) = match asked {
            Ok(Ok(is_alive)) => (is_alive, "another process".into()),
            Ok(Err(error)) => (false, error.to_string()),
            Err(_) => (false, CallError::TimedOut.to_string()),
        };
        gateway.metrics.count_unannounced_end(is_alive);
        let server = gateway.server_name(self.server);
        if is_alive {
            log::info!(server; "server_outlived_answer");
            return Ok(());
        }
        log::warn!(server, reason; "server_not_confirmed");
        Err(CallError::Broken(NOT_OUTLIVED.into()))
    }

    async fn is_alive(&mut self, gateway: &Rc<Gateway>) -> Result<bool, CallError> {
        let is_engine = {
            let directory = gateway.directory.borrow();
            // A process that was replaced has no entry any more.
            let Some(server) = directory.get(self.server) else { return Ok(false) };
            server.record.role.is_some()
        };
        let reaches_process = self.connection.is_some();
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None if is_engine => connect_to(gateway, self.server).await?,
            None => return Ok(false),
        };
        let now = gateway.clock.now();
        let is_usable = connection.is_usable(now);
        if !is_usable || !gateway.directory.borrow_mut().take_report(self.server, now) {
            return Ok(false);
        }
        let report = request_report(gateway, self.server, connection).await?;
        Ok(report.proves_alive(self.started_ms, reaches_process))
    }
}

/// Requests the report of an engine, and returns its role and whether that changes; `None` if it does not answer.
pub async fn request_engine_state(gateway: &Rc<Gateway>, engine: ServerKey) -> Option<EngineState> {
    if !gateway.directory.borrow_mut().take_report(engine, gateway.clock.now()) {
        return None;
    }
    let read = async {
        let connection = connect_to(gateway, engine).await?;
        read_report(gateway, engine, connection).await
    };
    let (text, facts) = tokio::time::timeout(REPORT_TIMEOUT, read).await.ok()?.ok()?;
    gateway.dialect.read_engine_state(&text).filter(|_| !facts.is_other_server)
}

/// Requests the report of a server on a connection, and returns what it says of its process.
async fn request_report(
    gateway: &Rc<Gateway>,
    server: ServerKey,
    connection: Connection,
) -> Result<ProcessReport, CallError> {
    let (text, facts) = read_report(gateway, server, connection).await?;
    let started_ms = gateway.dialect.read_report(&text);
    Ok(ProcessReport { started_ms, is_other_server: facts.is_other_server })
}

/// Requests the report of a server on a connection.
async fn read_report(
    gateway: &Rc<Gateway>,
    server: ServerKey,
    connection: Connection,
) -> Result<(Bytes, ResponseFacts), CallError> {
    let (service, address, is_engine) = {
        let directory = gateway.directory.borrow();
        let Some(server) = directory.get(server) else { return Err(gone()) };
        let record = &server.record;
        (record.service.clone(), record.address, record.role.is_some())
    };
    let path = gateway.dialect.report_path(is_engine, &gateway.health_path(&service));
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri =
        Uri::try_from(&*path).map_err(|error| CallError::NotSent(error.to_string().into()))?;
    let host = HeaderValue::try_from(address.to_string()).expect("an address is a header value");
    head.headers.insert(header::HOST, host);
    let examine = |head: &ResponseHead, is_first| examine(gateway, server, None, head, is_first);
    let (head, mut body) = connection.send(head, &[], examine).await?;
    body.hold_in(&gateway.response_memory);
    let facts = gateway.dialect.read_response(&head);
    let text = body.read_whole(MAX_REPORT_BYTES).await?;
    if let Some(connection) = body.into_connection() {
        gateway.keep_idle(server, connection, facts.idle_timeout);
    }
    Ok((text, facts))
}

/// Maximum number of requests for a report before a server is used without one.
const MAX_REPORT_REQUESTS: u32 = 3;

/// Keeps a server out of use until it was asked for its report, in which it says whether it leaves or rests.
pub fn ask_before_use(gateway: &Rc<Gateway>, server: ServerKey) {
    {
        let mut directory = gateway.directory.borrow_mut();
        let Some(server) = directory.get_mut(server) else { return };
        server.is_on_trial = true;
        if std::mem::replace(&mut server.awaits_report, true) {
            return;
        }
    }
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let mut is_unclear = true;
        while is_unclear {
            let has_answered = ask(&gateway, server).await;
            let name = gateway.server_name(server);
            log::info!(server = name, has_answered; "server_asked");
            // Another notice may have arrived meanwhile.
            let now = gateway.clock.now();
            is_unclear = gateway.directory.borrow().has_unclear_notices(server, now);
        }
        if let Some(server) = gateway.directory.borrow_mut().get_mut(server) {
            server.awaits_report = false;
        }
        gateway.admit_queued();
    });
}

/// Requests the report of a server, some times if it fails; returns whether it answered.
async fn ask(gateway: &Rc<Gateway>, server: ServerKey) -> bool {
    if let Some(connected_at) = ask_on_earlier_connection(gateway, server).await {
        gateway.directory.borrow_mut().settle_notices(server, Some(connected_at));
        return true;
    }
    gateway.directory.borrow_mut().settle_notices(server, None);
    for failures in 0..MAX_REPORT_REQUESTS {
        let report = async {
            let connection = connect_to(gateway, server).await?;
            request_report(gateway, server, connection).await
        };
        let asked = tokio::time::timeout(REPORT_TIMEOUT, report).await;
        if matches!(asked, Ok(Ok(_))) {
            return true;
        }
        tokio::time::sleep(PROBE_BACKOFF.ceiling(failures)).await;
    }
    false
}

/// Requests the report of a server on a connection that was opened before the last of its unclear notices, and
/// returns the time at which it was opened if the server responds: it has run since.
async fn ask_on_earlier_connection(gateway: &Rc<Gateway>, server: ServerKey) -> Option<Instant> {
    let (predecessor, noticed_at) = gateway.directory.borrow().unclear_since(server)?;
    let now = gateway.clock.now();
    let connection = gateway.pool.borrow_mut().take_oldest(predecessor, now)?;
    let connected_at = connection.opened_at().filter(|opened_at| *opened_at <= noticed_at)?;
    let started_ms = gateway.directory.borrow().get(server)?.record.started_ms;
    let report = request_report(gateway, server, connection);
    let report = tokio::time::timeout(REPORT_TIMEOUT, report).await.ok()?.ok()?;
    report.proves_alive(started_ms, true).then_some(connected_at)
}
