//! The server side of calls between instances.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_core::Stream;
use magnoliaspar_event::{Listener, Stamp};
use magnoliaspar_settings::PeerKeys;
use magnoliaspar_wire::peer::peer_server::{Peer, PeerServer as GeneratedServer};
use magnoliaspar_wire::peer::run_event::Event;
use magnoliaspar_wire::peer::run_frame::Frame;
use magnoliaspar_wire::peer::{
    GossipFrame, QueryAnswer, QueryRequest, ReapAnswer, ReapRequest, RunAccepted, RunEvent,
    RunFrame, RunOpen,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use super::convert::{BadMessage, from_open, to_event, to_refused};
use super::query;
use crate::instance::Instance;
use crate::run::{LocalLink, RunLink, RunResult, RunUpdate};

/// Interval between HTTP/2 keep-alive pings on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the answer to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of run events queued for a slow reader.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Maximum number of calls queued for the thread that owns the state.
const CALL_QUEUE_CAPACITY: usize = 1_024;

/// Maximum size of a message in bytes. Prompts are the largest content.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// HTTP status under which a wrong or missing key is recorded.
const UNAUTHENTICATED_STATUS: u16 = 401;

/// Metadata key of the bearer token in calls between instances.
pub const KEY_HEADER: &str = "authorization";

/// Handle of the gRPC server for other instances.
pub struct PeerServer {
    stop: oneshot::Sender<()>,
}

impl PeerServer {
    /// Serves the calls on a listener until stopped.
    pub fn start(instance: Rc<Instance>, listener: TcpListener) -> Self {
        let (tx, rx) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let (stop, stopped) = oneshot::channel();
        let service = GeneratedServer::new(PeerService { tx: tx.clone() })
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        let key_check = KeyCheck { keys: instance.settings.peer_keys.clone(), tx };
        let service = InterceptedService::new(service, key_check);
        actix_rt::spawn(handle_calls(instance, rx));
        actix_rt::spawn(async move {
            let served = Server::builder()
                .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
                .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
                .add_service(service)
                .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async {
                    let _ = stopped.await;
                });
            if let Err(error) = served.await {
                log::error!("the gRPC server for other instances failed: {error}");
            }
        });
        Self { stop }
    }

    /// Stops accepting calls; calls in progress continue.
    pub fn stop(self) {
        let _ = self.stop.send(());
    }
}

/// A call of another instance that is passed to the thread that owns the state.
enum PeerCall {
    Run { frames: Streaming<RunFrame>, tx: mpsc::Sender<Result<RunEvent, Status>> },
    Reap { req: ReapRequest, tx: oneshot::Sender<Result<ReapAnswer, BadMessage>> },
    Gossip { frames: Streaming<GossipFrame>, tx: mpsc::Sender<Result<GossipFrame, Status>> },
    Query { req: QueryRequest, tx: oneshot::Sender<Result<QueryAnswer, Status>> },
    Unauthenticated,
}

/// Passes calls to the thread that owns the state.
struct PeerService {
    tx: mpsc::Sender<PeerCall>,
}

type EventStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for PeerService {
    type RunStream = EventStream<RunEvent>;
    type GossipStream = EventStream<GossipFrame>;

    async fn run(
        &self,
        req: Request<Streaming<RunFrame>>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let call = PeerCall::Run { frames: req.into_inner(), tx };
        if self.tx.send(call).await.is_err() {
            return Err(Status::unavailable("the instance stops"));
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn gossip(
        &self,
        req: Request<Streaming<GossipFrame>>,
    ) -> Result<Response<Self::GossipStream>, Status> {
        let (tx, rx) = mpsc::channel(1);
        let call = PeerCall::Gossip { frames: req.into_inner(), tx };
        if self.tx.send(call).await.is_err() {
            return Err(Status::unavailable("the instance stops"));
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn reap(&self, req: Request<ReapRequest>) -> Result<Response<ReapAnswer>, Status> {
        let (tx, rx) = oneshot::channel();
        let call = PeerCall::Reap { req: req.into_inner(), tx };
        if self.tx.send(call).await.is_err() {
            return Err(Status::unavailable("the instance stops"));
        }
        let answer = rx.await.map_err(|_| Status::unavailable("the instance stops"))?;
        answer.map(Response::new).map_err(|error| Status::invalid_argument(error.to_string()))
    }

    async fn query(&self, req: Request<QueryRequest>) -> Result<Response<QueryAnswer>, Status> {
        let (tx, rx) = oneshot::channel();
        let call = PeerCall::Query { req: req.into_inner(), tx };
        if self.tx.send(call).await.is_err() {
            return Err(Status::unavailable("the instance stops"));
        }
        let answer = rx.await.map_err(|_| Status::unavailable("the instance stops"))?;
        Ok(Response::new(answer?))
    }
}

async fn handle_calls(instance: Rc<Instance>, mut rx: mpsc::Receiver<PeerCall>) {
    while let Some(call) = rx.recv().await {
        match call {
            PeerCall::Run { frames, tx } => {
                actix_rt::spawn(serve_run(instance.clone(), frames, tx));
            }
            PeerCall::Reap { req, tx } => {
                // The send fails if the other instance has disconnected.
                let _ = tx.send(instance.answer_reap(&req));
            }
            PeerCall::Gossip { frames, tx } => {
                actix_rt::spawn(serve_gossip(instance.clone(), frames, tx));
            }
            PeerCall::Query { req, tx } => {
                let instance = instance.clone();
                actix_rt::spawn(async move {
                    // The send fails if the other instance has disconnected.
                    let _ = tx.send(query::answer(&instance, &req).await);
                });
            }
            PeerCall::Unauthenticated => {
                instance.record_auth_failure(Listener::Peers, UNAUTHENTICATED_STATUS);
            }
        }
    }
}

/// Processes the gossip frames of another instance until its stream ends. This instance sends its
/// own frames over a separate stream.
async fn serve_gossip(
    instance: Rc<Instance>,
    mut frames: Streaming<GossipFrame>,
    tx: mpsc::Sender<Result<GossipFrame, Status>>,
) {
    while let Ok(Some(frame)) = frames.message().await {
        let Err(error) = instance.cluster.receive(frame) else { continue };
        let _ = tx.send(Err(Status::invalid_argument(error.to_string()))).await;
        return;
    }
}

async fn serve_run(
    instance: Rc<Instance>,
    mut frames: Streaming<RunFrame>,
    tx: mpsc::Sender<Result<RunEvent, Status>>,
) {
    let Ok(Some(RunFrame { frame: Some(Frame::Open(open)) })) = frames.message().await else {
        let _ = tx.send(Err(Status::invalid_argument("the first frame must open a run"))).await;
        return;
    };
    let link = match open_link(&instance, open) {
        Ok(link) => link,
        Err(event) => {
            let _ = tx.send(event).await;
            return;
        }
    };
    let accepted = RunAccepted { hlc: instance.journal.stamp().0, is_new: link.is_new };
    if tx.send(Ok(RunEvent { event: Some(Event::Accepted(accepted)) })).await.is_err() {
        return;
    }
    relay(link, frames, tx).await;
}

fn open_link(instance: &Instance, open: RunOpen) -> Result<LocalLink, Result<RunEvent, Status>> {
    instance.journal.observe(Stamp(open.hlc));
    let req = from_open(open, instance.clock.now())
        .map_err(|error| Err(Status::invalid_argument(error.to_string())))?;
    instance
        .home
        .open_run(&req)
        .map_err(|refusal| Ok(RunEvent { event: Some(Event::Refused(to_refused(&refusal))) }))
}

/// Sends the updates of a run until it ends, the reader cancels, or the link breaks.
///
/// A broken link does not cancel the run, since the caller may reconnect through another instance.
async fn relay(
    mut link: LocalLink,
    mut frames: Streaming<RunFrame>,
    tx: mpsc::Sender<Result<RunEvent, Status>>,
) {
    loop {
        tokio::select! {
            update = link.next() => {
                let Ok(update) = update else { return };
                let is_end = matches!(update, RunUpdate::Ended(_) | RunUpdate::Superseded);
                let is_complete = matches!(update, RunUpdate::Ended(RunResult::Completed(_)));
                if tx.send(Ok(to_event(update))).await.is_err() {
                    return;
                }
                if is_complete {
                    return wait_for_delivery(link, frames).await;
                }
                if is_end {
                    return;
                }
            }
            frame = frames.message() => match frame {
                Ok(Some(RunFrame { frame: Some(Frame::Cancel(_)) })) => return link.cancel(),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            },
        }
    }
}

async fn wait_for_delivery(mut link: LocalLink, mut frames: Streaming<RunFrame>) {
    while let Ok(Some(frame)) = frames.message().await {
        if matches!(frame.frame, Some(Frame::Delivered(_))) {
            return link.set_delivered();
        }
    }
}

/// Authenticates calls by their key.
#[derive(Clone)]
struct KeyCheck {
    keys: PeerKeys,
    tx: mpsc::Sender<PeerCall>,
}

impl Interceptor for KeyCheck {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        let shown = req.metadata().get(KEY_HEADER).and_then(|value| value.to_str().ok());
        let key = shown.and_then(|shown| shown.strip_prefix("Bearer "));
        if key.is_some_and(|key| self.keys.accepts(key)) {
            return Ok(req);
        }
        // If the queue is full, the failure is not recorded: under so many calls, the others suffice.
        let _ = self.tx.try_send(PeerCall::Unauthenticated);
        Err(Status::unauthenticated("the key of the other instance is not valid"))
    }
}
