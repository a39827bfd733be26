//! The client side of calls between instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_core::{Clock, InstanceName};
use magnoliaspar_event::Stamp;
use magnoliaspar_settings::Secret;
use magnoliaspar_wire::peer::peer_client::PeerClient as GeneratedClient;
use magnoliaspar_wire::peer::run_event::Event;
use magnoliaspar_wire::peer::run_frame::Frame;
use magnoliaspar_wire::peer::{
    GossipFrame, ReapAnswer, ReapRequest, RunCancel, RunDelivered, RunEvent, RunFrame,
};
use prost::Message;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio_stream::wrappers::{ReceiverStream, UnboundedReceiverStream};
use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status, Streaming};

use super::convert::{from_event, from_refused, to_open};
use super::server::{KEY_HEADER, MAX_MESSAGE_BYTES};
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::run::{CompletionRequest, Home, LinkBroken, OpenError, RunLink, RunUpdate};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for an instance to accept a run or to answer a reaping call.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of gossip frames queued for a slow instance.
const GOSSIP_QUEUE_FRAMES: usize = 16;

/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the answer to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Clients of other instances, with one channel and one gossip stream per address.
pub struct PeerClients {
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    key: Secret,
    metrics: Rc<Metrics>,
    channels: RefCell<BTreeMap<SocketAddr, Channel>>,
    gossip: RefCell<BTreeMap<SocketAddr, mpsc::Sender<GossipFrame>>>,
}

impl PeerClients {
    /// Creates an empty set of clients that authenticate with `key`.
    pub fn new(
        clock: Rc<dyn Clock>,
        journal: Rc<Journal>,
        key: Secret,
        metrics: Rc<Metrics>,
    ) -> Self {
        let (channels, gossip) = (RefCell::default(), RefCell::default());
        Self { clock, journal, key, metrics, channels, gossip }
    }

    /// Queues a frame for an instance, or drops it if the queue is full.
    pub fn send_gossip(&self, name: &InstanceName, address: SocketAddr, frame: GossipFrame) {
        let mut streams = self.gossip.borrow_mut();
        if let Some(tx) = streams.get(&address) {
            let sizes = bytes_by_part(&frame);
            match tx.try_send(frame) {
                Ok(()) => return self.count_gossip(sizes),
                Err(TrySendError::Full(_)) => return,
                Err(TrySendError::Closed(frame)) => {
                    streams.remove(&address);
                    drop(streams);
                    return self.open_gossip(name, address, frame);
                }
            }
        }
        drop(streams);
        self.open_gossip(name, address, frame);
    }

    fn open_gossip(&self, name: &InstanceName, address: SocketAddr, frame: GossipFrame) {
        let (tx, rx) = mpsc::channel(GOSSIP_QUEUE_FRAMES);
        self.count_gossip(bytes_by_part(&frame));
        let _ = tx.try_send(frame);
        self.gossip.borrow_mut().insert(address, tx);
        let client = self.client(name, address);
        actix_rt::spawn(async move { client.stream_gossip(rx).await });
    }

    fn count_gossip(&self, sizes: [(&'static str, usize); 4]) {
        for (kind, bytes) in sizes {
            self.metrics.count_gossip(kind, bytes);
        }
    }

    /// Returns a client of an instance, which connects on first use.
    pub fn client(&self, name: &InstanceName, address: SocketAddr) -> PeerClient {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address).or_insert_with(|| connect(address)).clone();
        drop(channels);
        PeerClient {
            name: name.clone(),
            is_in_other_zone: false,
            clock: self.clock.clone(),
            journal: self.journal.clone(),
            key: self.key.clone(),
            channel,
        }
    }
}

/// A client of another instance.
#[derive(Clone)]
pub struct PeerClient {
    pub(super) name: InstanceName,
    is_in_other_zone: bool,
    clock: Rc<dyn Clock>,
    pub(super) journal: Rc<Journal>,
    key: Secret,
    channel: Channel,
}

impl PeerClient {
    /// Marks the instance as one of another availability zone.
    pub fn into_other_zone(self) -> Self {
        Self { is_in_other_zone: true, ..self }
    }

    pub(super) fn grpc_client(&self) -> GeneratedClient<Channel> {
        GeneratedClient::new(self.channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    pub(super) fn with_key<T>(&self, message: T) -> Request<T> {
        let mut req = Request::new(message);
        let bearer = format!("Bearer {}", self.key.expose());
        if let Ok(value) = MetadataValue::try_from(bearer) {
            req.metadata_mut().insert(KEY_HEADER, value);
        }
        req
    }

    /// Sends gossip frames until the other instance ends the stream.
    async fn stream_gossip(&self, rx: mpsc::Receiver<GossipFrame>) {
        let call = self.with_key(ReceiverStream::new(rx));
        let Ok(answer) = self.grpc_client().gossip(call).await else { return };
        let mut answers = answer.into_inner();
        while let Ok(Some(_)) = answers.message().await {}
    }

    /// Sends a question or a lease renewal about engine streams. Returns `None` if the call fails
    /// or times out.
    pub async fn reap(&self, req: ReapRequest) -> Option<ReapAnswer> {
        let call = self.with_key(req);
        let mut client = self.grpc_client();
        let answer = tokio::time::timeout(OPEN_TIMEOUT, client.reap(call)).await;
        Some(answer.ok()?.ok()?.into_inner())
    }

    async fn start(&self, req: &CompletionRequest) -> Result<RemoteLink, OpenError> {
        let (tx, rx) = mpsc::unbounded_channel();
        let open = RunFrame {
            frame: Some(Frame::Open(to_open(req, self.clock.now(), self.journal.stamp()))),
        };
        let _ = tx.send(open);
        let call = self.with_key(UnboundedReceiverStream::new(rx));
        let events = self.grpc_client().run(call).await.map_err(to_open_error)?.into_inner();
        let mut link = RemoteLink { home: self.name.clone(), is_new: false, tx, events };
        match link.events.message().await.map_err(to_open_error)? {
            Some(RunEvent { event: Some(Event::Accepted(accepted)) }) => {
                self.journal.observe(Stamp(accepted.hlc));
                link.is_new = accepted.is_new;
                Ok(link)
            }
            Some(RunEvent { event: Some(Event::Refused(refused)) }) => {
                match from_refused(refused) {
                    Ok(refusal) => Err(OpenError::Refused(refusal)),
                    Err(error) => Err(OpenError::Lost(error.to_string().into())),
                }
            }
            _ => Err(OpenError::Lost("the run was neither accepted nor refused".into())),
        }
    }
}

#[async_trait(?Send)]
impl Home for PeerClient {
    fn name(&self) -> &InstanceName {
        &self.name
    }

    fn is_in_other_zone(&self) -> bool {
        self.is_in_other_zone
    }

    async fn open(&self, req: &CompletionRequest) -> Result<Box<dyn RunLink>, OpenError> {
        match tokio::time::timeout(OPEN_TIMEOUT, self.start(req)).await {
            Ok(Ok(link)) => Ok(Box::new(link)),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(OpenError::Lost("the home instance does not answer".into())),
        }
    }
}

/// A link from a reader to a run on another instance.
struct RemoteLink {
    home: InstanceName,
    is_new: bool,
    tx: mpsc::UnboundedSender<RunFrame>,
    events: Streaming<RunEvent>,
}

impl RemoteLink {
    fn send(&self, frame: Frame) {
        // The frame is of no use to a link that is already broken.
        let _ = self.tx.send(RunFrame { frame: Some(frame) });
    }
}

#[async_trait(?Send)]
impl RunLink for RemoteLink {
    fn is_new(&self) -> bool {
        self.is_new
    }

    fn home(&self) -> &InstanceName {
        &self.home
    }

    async fn next(&mut self) -> Result<RunUpdate, LinkBroken> {
        match self.events.message().await {
            Ok(Some(RunEvent { event: Some(event) })) => {
                from_event(event).map_err(|error| link_broken(&error.to_string()))
            }
            Ok(_) => Err(link_broken("the answer ended without an end mark")),
            Err(status) => Err(link_broken(status.message())),
        }
    }

    fn cancel(&mut self) {
        self.send(Frame::Cancel(RunCancel {}));
    }

    fn set_delivered(&mut self) {
        self.send(Frame::Delivered(RunDelivered {}));
    }
}

/// Returns the encoded bytes of each part of a frame; the rest counts as the heartbeat.
fn bytes_by_part(frame: &GossipFrame) -> [(&'static str, usize); 4] {
    let members = frame.membership.as_ref().map_or(0, Message::encoded_len);
    let configuration = frame.config.iter().map(Message::encoded_len).sum::<usize>();
    let quarantine = frame.quarantine.iter().map(Message::encoded_len).sum::<usize>();
    let heartbeat = frame.encoded_len() - members - configuration - quarantine;
    [
        ("heartbeat", heartbeat),
        ("members", members),
        ("configuration", configuration),
        ("quarantine", quarantine),
    ]
}

fn connect(address: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address is a valid authority")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy()
}

/// Maps a status to [`OpenError::Unreachable`] if the call certainly had no effect, and to
/// [`OpenError::Lost`] otherwise.
fn to_open_error(status: Status) -> OpenError {
    let message = status.message().into();
    let is_connect_error = status.code() == Code::Unavailable && is_connect_error(&status);
    match status.code() {
        Code::Unauthenticated | Code::InvalidArgument => OpenError::Unreachable(message),
        _ if is_connect_error => OpenError::Unreachable(message),
        _ => OpenError::Lost(message),
    }
}

fn is_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}

fn link_broken(message: &str) -> LinkBroken {
    LinkBroken { message: message.into() }
}
