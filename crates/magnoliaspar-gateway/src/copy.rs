//! Copies of the configuration and of the list of servers between instances.
//!
//! An instance whose own calls to the store fail would keep what it knew before. It learns from
//! heartbeats that peers are ahead, and fetches a copy from one of them over TCP.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Request, RequestHead, Response, StatusCode, Uri, header};
use bytes::Bytes;
use magnoliaspar_core::{Epoch, Position};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::departures::Departure;
use crate::directory::ServerRecord;
use crate::evidence::Owner;
use crate::exchange::{CallError, Connection};
use crate::feed::{Batch, Follower};
use crate::gateway::{Gateway, apply_routing};
use crate::held_body::HeldBody;
use crate::peers::{Peers, Source};
use crate::revisions::{FeedRevisions, revisions};
use crate::route::Routing;

/// Time for which a peer may be ahead before its copy is fetched; enough for a call to the store.
const COPY_GRACE: Duration = Duration::from_millis(500);

/// Timeout of a new connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a copy, which may be some megabytes long.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum length of a copy, in bytes.
const MAX_COPY_BYTES: usize = 8 << 20;

/// Path of the copy of the configuration.
const CONFIGURATION_PATH: &str = "/copies/configuration";

/// Path of the copy of the list of servers.
const SERVERS_PATH: &str = "/copies/servers";

/// Path of the departures of servers.
const DEPARTURES_PATH: &str = "/copies/departures";

/// The rows of a feed as one instance has them.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Copy<T> {
    /// The epoch of the store in which the rows were read; former versions of the gateway do not send it.
    #[serde(default)]
    epoch: Epoch,
    /// The revision of the store that the instance has reached.
    revision: u64,
    /// The rows by key.
    rows: Vec<(Box<str>, T)>,
}

/// Maximum number of copies that are sent at the same time. Each holds its rows until the peer has read them.
const MAX_SENT_COPIES: usize = 4;

/// Responds to a peer that requests a copy; with 503 if this instance has none, or sends many already.
pub fn respond(gateway: &Gateway, req: &Request) -> Response<BoxBody> {
    let sent = gateway.sent_copies.clone();
    if Rc::strong_count(&sent) > MAX_SENT_COPIES + 1 {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    let encoded = match req.path() {
        CONFIGURATION_PATH => configuration_copy(gateway).map(|copy| serde_json::to_vec(&copy)),
        SERVERS_PATH => servers_copy(gateway).map(|copy| serde_json::to_vec(&copy)),
        DEPARTURES_PATH => departures_copy(gateway).map(|copy| serde_json::to_vec(&copy)),
        _ => return Response::new(StatusCode::NOT_FOUND),
    };
    match encoded {
        Some(Ok(bytes)) => {
            let body = CopyBody { body: HeldBody::from(Bytes::from(bytes)), _sent: sent };
            Response::new(StatusCode::OK).set_body(body.boxed())
        }
        Some(Err(error)) => {
            log::warn!(path = req.path(), reason:% = error; "copy_not_encoded");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => Response::new(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// The body of a copy, which counts as sent until it was handed to the connection.
struct CopyBody {
    body: HeldBody,
    _sent: Rc<()>,
}

impl MessageBody for CopyBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

fn configuration_copy(gateway: &Gateway) -> Option<Copy<Rc<Routing>>> {
    let routing = gateway.routing()?;
    let epoch = gateway.configuration_epoch();
    let revision = gateway.routing_position.applied().revision;
    Some(Copy { epoch, revision, rows: vec![("".into(), routing)] })
}

fn servers_copy(gateway: &Gateway) -> Option<Copy<ServerRecord>> {
    if !gateway.knows_servers() {
        return None;
    }
    let mut rows = Vec::new();
    for (_, server) in gateway.directory.borrow().iter() {
        // A server that has vanished is only used for so long, which the copy does not tell.
        if gateway.has_vanished(&server.record.id) {
            continue;
        }
        rows.push((server.record.id.clone(), server.record.clone()));
    }
    let Position { epoch, revision } = gateway.servers_position.applied();
    Some(Copy { epoch, revision, rows })
}

fn departures_copy(gateway: &Gateway) -> Option<Copy<Departure>> {
    if !gateway.knows_servers() {
        return None;
    }
    let Position { epoch, revision } = gateway.servers_position.applied();
    Some(Copy { epoch, revision, rows: gateway.directory.borrow().departures() })
}

/// Fetches the departures of servers from a peer, by the identifiers of the servers.
pub async fn fetch_departures(
    gateway: &Gateway,
    peers: &Peers,
    source: &Source,
) -> Option<Vec<(Box<str>, Departure)>> {
    Some(fetch(gateway, peers, source, DEPARTURES_PATH).await?.rows)
}

/// Copies newer configurations from peers for as long as the process runs.
pub async fn copy_configuration(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mark = FeedRevisions::configuration;
    loop {
        let source = wait_for_source(&gateway, &peers, mark, || mark(&revisions(&gateway))).await;
        let copy = fetch::<Routing>(&gateway, &peers, &source, CONFIGURATION_PATH).await;
        let Some(copy) = copy else { continue };
        // The position stays: the peer's revision does not prove that it has every change up to it.
        let batch = to_batch(copy);
        let Position { epoch, revision } = batch.position;
        log::info!(peer = &*source.instance, epoch = epoch.0, revision; "configuration_copied");
        apply_routing(&gateway, batch);
        if mark(&revisions(&gateway)) < mark(&source.reported) {
            peers.forget_revisions(&source.instance);
        }
    }
}

/// Copies newer lists of servers from peers for as long as the process runs.
pub async fn copy_servers(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mark = FeedRevisions::servers_position;
    let position = gateway.servers_position.clone();
    loop {
        let source = wait_for_source(&gateway, &peers, mark, || position.applied()).await;
        let copy = fetch::<ServerRecord>(&gateway, &peers, &source, SERVERS_PATH).await;
        let Some(copy) = copy else { continue };
        let batch = to_batch(copy);
        if batch.position <= position.applied() {
            peers.forget_revisions(&source.instance);
            continue;
        }
        let Position { epoch, revision } = batch.position;
        let servers = batch.rows.len();
        log::info!(peer = &*source.instance, epoch = epoch.0, revision, servers; "servers_copied");
        position.advance(batch.position, true);
        gateway.apply(batch, true);
    }
}

/// Waits until a peer has been ahead of this instance for longer than the store takes to answer.
async fn wait_for_source<M: Ord>(
    gateway: &Gateway,
    peers: &Peers,
    mark: fn(&FeedRevisions) -> M,
    own: impl Fn() -> M,
) -> Source {
    let find = || gateway.with_rng(|rng| peers.source_ahead(&own(), mark, rng));
    loop {
        while find().is_none() {
            peers.wait_for_report().await;
        }
        tokio::time::sleep(COPY_GRACE).await;
        if let Some(source) = find() {
            return source;
        }
    }
}

/// Fetches a copy from a peer. A peer that fails is not asked again before its next report.
async fn fetch<T: DeserializeOwned>(
    gateway: &Gateway,
    peers: &Peers,
    source: &Source,
    path: &str,
) -> Option<Copy<T>> {
    let request = request_copy(gateway, source.address, path);
    let fetched = tokio::time::timeout(COPY_TIMEOUT, request).await;
    match fetched.unwrap_or(Err(CallError::TimedOut)) {
        Ok(copy) => Some(copy),
        Err(error) => {
            log::warn!(peer = &*source.instance, path, reason:% = error; "copy_failed");
            peers.forget_revisions(&source.instance);
            None
        }
    }
}

async fn request_copy<T: DeserializeOwned>(
    gateway: &Gateway,
    address: SocketAddr,
    path: &str,
) -> Result<Copy<T>, CallError> {
    let malformed = |reason: String| CallError::Malformed(reason.into());
    let connection = Connection::open(address, CONNECT_TIMEOUT).await?;
    let mut head = RequestHead::default();
    head.uri = Uri::try_from(path).map_err(|error| malformed(error.to_string()))?;
    let host = header::HeaderValue::try_from(address.to_string());
    head.headers.insert(header::HOST, host.expect("an address is a header value"));
    let (head, mut body) = connection.send(head, &[], |_, _| Owner::Own).await?;
    if head.status != StatusCode::OK {
        return Err(malformed(format!("status {}", head.status)));
    }
    body.hold_in(&gateway.response_memory);
    let bytes = body.read_whole(MAX_COPY_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|error| malformed(error.to_string()))
}

fn to_batch<T>(copy: Copy<T>) -> Batch<T> {
    let rows = copy.rows.into_iter().map(|(key, row)| (key, Some(row))).collect();
    let position = Position { epoch: copy.epoch, revision: copy.revision };
    Batch { position, rows, unreadable: BTreeSet::new() }
}
