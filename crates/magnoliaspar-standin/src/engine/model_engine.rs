//! The HTTP server of an engine: its start, crashes, and the calls that are not prefill or decode.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_core::Incarnation;
use magnoliaspar_engine::{
    EngineStatus, HeldStream, LoadSnapshot, Order, OrderKind, Refused, StreamId,
};
use magnoliaspar_http::{Handler, Server, ServerError, StopHandle};
use serde_json::json;

use super::faults::Faults;
use super::link::Link;
use super::priority_lock::PriorityLock;
use super::spec::{ModelEngineRole, ModelEngineSpec};
use super::state::EngineState;
use crate::web::{json_response, query_parameter, read_json, refuse};

/// A stand-in for a model engine; it runs on the thread that started it.
#[derive(Clone)]
pub struct ModelEngine {
    pub(super) shared: Rc<Shared>,
}

/// The state that all tasks of an engine share; unlike [`EngineState`], it survives a crash.
pub(super) struct Shared {
    pub(super) state: RefCell<EngineState>,
    pub(super) prefill_lock: PriorityLock,
    pub(super) link: Link,
    pub(super) started_prefills: Cell<u32>,
    address: Cell<SocketAddr>,
    stop: RefCell<StopHandle>,
}

impl ModelEngine {
    /// Starts an engine on `address`; port 0 selects a free port.
    pub async fn start(address: SocketAddr, spec: ModelEngineSpec) -> Result<Self, ServerError> {
        let link = Link::new(spec.link_tokens_per_second);
        let report_period = spec.report_period;
        let state = EngineState::new(spec, Incarnation(1), Faults::default());
        let shared = Rc::new(Shared {
            state: RefCell::new(state),
            prefill_lock: PriorityLock::default(),
            link,
            started_prefills: Cell::new(0),
            address: Cell::new(address),
            stop: RefCell::default(),
        });
        let engine = Self { shared };
        let server = Server::bind(address, engine.handler()).await?;
        engine.shared.address.set(server.address());
        engine.run(server);
        actix_rt::spawn(engine.clone().update_reports(report_period));
        Ok(engine)
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address.get()
    }

    /// Returns the number of KV memory pieces in use.
    pub fn used_pieces(&self) -> u32 {
        self.shared.state.borrow().used_pieces()
    }

    /// Lists the streams that hold memory.
    pub fn streams(&self) -> Vec<HeldStream> {
        self.shared.state.borrow().held_streams()
    }

    /// Returns the number of prefills started over all incarnations of the engine.
    pub fn started_prefills(&self) -> u32 {
        self.shared.started_prefills.get()
    }

    /// Returns the incarnation, which increases with each crash.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.state.borrow().incarnation
    }

    /// Returns the faults still to be injected.
    pub fn faults(&self) -> Faults {
        self.shared.state.borrow().faults.clone()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state.borrow_mut().faults = faults;
    }

    /// Crashes the engine and restarts it after the `restart_ms` of its faults.
    ///
    /// Connections are closed without a response and all state is lost.
    pub fn crash(&self) {
        self.shared.stop.borrow().abort();
        let restart_ms = self.reset();
        let engine = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(restart_ms)).await;
            engine.rebind().await;
        });
    }

    /// Replaces the state with that of the next incarnation and returns the restart delay.
    ///
    /// Only `crash_mark` and `restart_ms` remain set, so that a marked prompt crashes the engine
    /// on each attempt.
    fn reset(&self) -> u64 {
        let mut state = self.shared.state.borrow_mut();
        let streams: Vec<StreamId> = state.streams.keys().cloned().collect();
        for id in &streams {
            state.release(id);
        }
        let restart_ms = state.faults.restart_ms;
        let next_incarnation = Incarnation(state.incarnation.0 + 1);
        let faults = Faults { crash_mark: state.faults.crash_mark.clone(), ..Faults::default() };
        let spec = state.spec.clone();
        *state = EngineState::new(spec, next_incarnation, Faults { restart_ms, ..faults });
        restart_ms
    }

    async fn rebind(&self) {
        for _ in 0..100 {
            if let Ok(server) = Server::bind(self.address(), self.handler()).await {
                self.run(server);
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        log::error!("engine at {} could not bind its address again after a crash", self.address());
    }

    fn run(&self, server: Server) {
        *self.shared.stop.borrow_mut() = server.stop_handle();
        actix_rt::spawn(server.run());
    }

    async fn update_reports(self, period: Duration) {
        loop {
            tokio::time::sleep(period).await;
            let mut state = self.shared.state.borrow_mut();
            state.report = state.current_load();
            state.reported_at = Instant::now();
        }
    }

    fn handler(&self) -> Handler {
        let engine = self.clone();
        Rc::new(move |req| {
            let engine = engine.clone();
            Box::pin(async move { engine.handle(req).await })
        })
    }

    async fn handle(&self, req: Request) -> Response<BoxBody> {
        let late_ms = self.shared.state.borrow().faults.late_ms;
        if late_ms > 0 {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
        }
        let incarnation = self.incarnation();
        let path = req.path().to_owned();
        let result = match path.as_str() {
            "/prefill" => self.serve_prefill(req).await,
            "/kv" => self.serve_kv(req).await,
            "/decode" => self.serve_decode(req).await,
            "/attach" => self.serve_attach(req).await,
            "/cancel" => self.serve_cancel(req).await,
            "/streams" => Ok(json_response(&self.shared.state.borrow().held_streams())),
            "/load" => Ok(json_response(&self.report())),
            "/cache-events" => Ok(self.serve_cache_events(&req)),
            "/status" => Ok(json_response(&self.status())),
            "/orders" => self.serve_order(req).await,
            "/faults" => self.serve_faults(req).await,
            "/probe" => Ok(json_response(&json!({}))),
            _ => Err(refuse_other(StatusCode::NOT_FOUND, "unknown path")),
        };
        if self.incarnation() != incarnation {
            // A call that was in progress at a crash gets no response.
            std::future::pending::<()>().await;
        }
        result.unwrap_or_else(|refused| refused)
    }

    async fn serve_cancel(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let id: StreamId = read_json(req).await?;
        self.shared.state.borrow_mut().release(&id);
        Ok(json_response(&json!({})))
    }

    fn serve_cache_events(&self, req: &Request) -> Response<BoxBody> {
        let after = query_parameter(req, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let state = self.shared.state.borrow();
        json_response(&state.cache.events_after(Instant::now(), after, state.spec.event_lag))
    }

    async fn serve_faults(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let faults: Faults = read_json(req).await?;
        self.set_faults(faults);
        Ok(json_response(&json!({})))
    }

    async fn serve_order(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let order: Order = read_json(req).await?;
        self.check_fencing_token(order.fence)?;
        let load_time = self.shared.state.borrow().spec.load_time;
        if matches!(order.kind, OrderKind::Load { .. }) {
            tokio::time::sleep(load_time).await;
            self.check_fencing_token(order.fence)?;
        }
        let mut state = self.shared.state.borrow_mut();
        match order.kind {
            OrderKind::Load { model, version, adapters } => {
                state.spec.model = model;
                state.spec.version = version;
                state.adapters = adapters;
            }
            OrderKind::ChangeRole { role } => {
                state.role = match &*role {
                    "prefill" => ModelEngineRole::Prefill,
                    "decode" => ModelEngineRole::Decode,
                    _ => return Err(refuse_other(StatusCode::BAD_REQUEST, "unknown role")),
                };
            }
        }
        Ok(json_response(&json!({})))
    }

    /// Refuses a token that is lower than the highest seen, if the engine supports fencing.
    fn check_fencing_token(&self, given: u64) -> Result<(), Response<BoxBody>> {
        let mut state = self.shared.state.borrow_mut();
        if !state.spec.is_fencing {
            return Ok(());
        }
        if given < state.fencing_token {
            let refused = Refused::Fenced { given, seen: state.fencing_token };
            return Err(refuse(StatusCode::PRECONDITION_FAILED, refused));
        }
        state.fencing_token = given;
        Ok(())
    }

    fn report(&self) -> LoadSnapshot {
        let state = self.shared.state.borrow();
        let mut report = state.report.clone();
        report.age_ms = state.reported_at.elapsed().as_millis() as u64;
        report
    }

    fn status(&self) -> EngineStatus {
        let state = self.shared.state.borrow();
        let spec = &state.spec;
        EngineStatus {
            incarnation: state.incarnation,
            role: state.role.as_str().into(),
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapters: state.adapters.clone(),
            slots: spec.slots,
            memory_pieces: spec.memory_pieces,
            piece_tokens: spec.piece_tokens,
            prefill_tokens_per_second: spec.prefill_tokens_per_second,
            link_tokens_per_second: spec.link_tokens_per_second,
            token_us: spec.token_time.as_micros() as u64,
            hold_ms: spec.hold.as_millis() as u32,
        }
    }
}

/// Returns the response of a call that is refused for a reason without a code of its own.
pub(super) fn refuse_other(status: StatusCode, message: &str) -> Response<BoxBody> {
    refuse(status, Refused::Other { message: message.into() })
}
