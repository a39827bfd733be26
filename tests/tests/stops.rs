//! Tests that a planned stop of an instance leaves no request without an answer that it has read.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_platform_standin::{
    BreakPoint, Caller, Fault, Framing, GatewayProcess, Pause, Response, Role, ServerSpec,
    StandinServer, StandinStore, read_events, read_head, write_settings,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

const HOST: &str = "site.example";

/// Grace period in the settings of the instance.
const GRACE: Duration = Duration::from_secs(8);

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Time after which a request that was not passed on must have an answer if the instance has read it.
const READ_SLACK: Duration = Duration::from_millis(200);

/// The routes by name and kind.
const ROUTES: [(&str, &str); 4] = [
    ("lookup", "idempotent"),
    ("order", "non_idempotent"),
    ("summary", "streaming"),
    ("review", "streaming"),
];

/// An instance between two plain servers and two decode engines.
struct Deployment {
    gateway: GatewayProcess,
    servers: Vec<StandinServer>,
    store: StandinStore,
}

impl Deployment {
    async fn start(name: &str, timeout: Duration) -> Self {
        let store = StandinStore::start().await;
        store.put("op", "config", &configuration(timeout));
        let mut servers = Vec::new();
        for id in ["s1", "s2"] {
            servers.push(StandinServer::start(&store, ServerSpec::plain(id, "shop")).await);
        }
        for id in ["d1", "d2"] {
            let spec = ServerSpec::engine(id, "engines", Role::Decode);
            servers.push(StandinServer::start(&store, spec).await);
        }
        let gateway = start_gateway(name, store.address()).await;
        let deployment = Self { gateway, servers, store };
        while deployment.call("lookup", "ready").fetch_status().await != Some(200) {
            sleep(Duration::from_millis(50)).await;
        }
        deployment
    }

    /// Returns a call on a route that has not been sent.
    fn call(&self, route: &str, id: &str) -> Call {
        let path = format!("/{route}/1");
        let caller = match route {
            "lookup" => Caller::get(HOST, &path, id),
            "order" => Caller::post(HOST, &path, id, b"x"),
            _ => Caller::completion(HOST, &path, id, 100, 80),
        };
        Call { caller, address: self.gateway.requests, kept: None }
    }

    /// Opens connections on which one call has been answered.
    async fn kept_connections(&self, count: usize) -> Vec<TcpStream> {
        let mut connections = Vec::new();
        for index in 0..count {
            let call = self.call("lookup", &format!("kept-{index}"));
            let mut stream = call.caller.send(call.address).await.expect("the instance accepts");
            Response::read(&mut stream).await.expect("the call is answered");
            connections.push(stream);
        }
        connections
    }

    /// Returns the identifiers of the requests that servers began to run.
    fn runs(&self) -> BTreeSet<Box<str>> {
        let mut ids = BTreeSet::new();
        for server in &self.servers {
            for arrival in server.arrivals() {
                if arrival.has_run {
                    ids.insert(arrival.head.get("request-id").unwrap_or_default().into());
                }
            }
        }
        ids
    }

    /// Sends calls of all routes during a stop, on new and on kept connections, and returns their results.
    async fn call_during_stop(&mut self, set_up: impl Fn(&StandinServer)) -> Vec<CallResult> {
        let results: Rc<RefCell<Vec<CallResult>>> = Rc::default();
        let count = (GRACE.as_millis() / CALL_INTERVAL.as_millis()) as usize;
        let mut kept = self.kept_connections(count / 2).await;
        self.servers.iter().for_each(set_up);
        self.gateway.signal("-TERM");
        let stopped_at = Instant::now();
        let mut number = 0;
        while self.gateway.exit_status().is_none() {
            assert!(stopped_at.elapsed() < GRACE, "the process outlives the grace period");
            let (route, _) = ROUTES[number % ROUTES.len()];
            let mut call = self.call(route, &format!("{route}-{number}"));
            let is_short = (number / (2 * ROUTES.len())).is_multiple_of(2);
            call.caller.timeout = Duration::from_millis(if is_short { 1_500 } else { 4_500 });
            if (number / ROUTES.len()).is_multiple_of(2) {
                call.kept = kept.pop();
            }
            let results = results.clone();
            actix_rt::spawn(async move {
                let result = call.run(stopped_at).await;
                results.borrow_mut().push(result);
            });
            number += 1;
            sleep(CALL_INTERVAL).await;
        }
        sleep(Duration::from_millis(300)).await;
        Rc::try_unwrap(results).expect("all calls have ended").into_inner()
    }
}

/// A call that has not been sent.
struct Call {
    caller: Caller,
    address: SocketAddr,
    /// The connection to use, if not a new one.
    kept: Option<TcpStream>,
}

impl Call {
    async fn fetch_status(&self) -> Option<u16> {
        Some(self.caller.fetch(self.address).await?.status)
    }

    async fn run(self, stopped_at: Instant) -> CallResult {
        let sent_at = Instant::now();
        let response = match self.kept {
            Some(mut stream) => match self.caller.send_on(&mut stream).await {
                Ok(()) => Response::read(&mut stream).await,
                Err(_) => None,
            },
            None => self.caller.fetch(self.address).await,
        };
        CallResult {
            id: self.caller.id,
            timeout: self.caller.timeout,
            sent: sent_at - stopped_at,
            elapsed: sent_at.elapsed(),
            response,
        }
    }
}

/// The result of a call during a stop.
#[derive(Debug)]
struct CallResult {
    id: Box<str>,
    timeout: Duration,
    /// Time from the signal to the call.
    sent: Duration,
    elapsed: Duration,
    response: Option<Response>,
}

impl CallResult {
    fn status(&self) -> Option<u16> {
        self.response.as_ref().map(|response| response.status)
    }

    /// Returns what is wrong with the result, if anything is.
    fn finding(&self, has_run: bool) -> Option<&'static str> {
        let is_expired = self.elapsed >= self.timeout;
        let Some(response) = &self.response else {
            let is_read = has_run || self.elapsed > READ_SLACK;
            return is_read.then_some("it has no answer");
        };
        let is_whole = response.is_complete || is_expired;
        match (response.status, response.head.get("retry-after")) {
            (200, _) if is_whole => None,
            (200, _) => Some("its answer is cut"),
            (503, _) if has_run => Some("it is refused as not run and has run"),
            (503, None) => Some("its refusal does not tell when to send it again"),
            (503, Some(_)) => (!response.is_complete).then_some("its refusal is cut"),
            (502 | 504, _) if is_expired => None,
            (502 | 504, _) => Some("it fails before its deadline"),
            _ => Some("it has another answer"),
        }
    }
}

async fn start_gateway(name: &str, store: SocketAddr) -> GatewayProcess {
    let directory = std::env::temp_dir().join(format!("stops-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let file = directory.join("settings.json");
    let started = tokio::task::spawn_blocking(move || {
        write_settings(&file, "instance", store, &[]);
        GatewayProcess::start(Path::new(PROGRAM), &file)
    });
    started.await.expect("the gateway starts")
}

fn configuration(timeout: Duration) -> serde_json::Value {
    let mut routes = Vec::new();
    for (name, kind) in ROUTES {
        let service = if kind == "streaming" { "engines" } else { "shop" };
        let attempts = if matches!(name, "lookup" | "summary") { 2 } else { 1 };
        routes.push(json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout.as_millis() as u64, "target_latency_ms": 500, "gap_target_ms": 200,
            "service": service, "max_attempts": attempts, "resumable": name == "summary",
        }));
    }
    json!({
        "version": 1,
        "routes": routes,
        "services": [
            { "name": "shop", "health_path": "/health" },
            { "name": "engines", "health_path": "/health", "engine": {
                "slots": 50, "kv_capacity_tokens": 1_000_000, "stride": 10, "kv_hold_s": 0.5,
            } },
        ],
        "limits": {
            "max_body_bytes": 100_000, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}

/// Fails if a call during a stop that the instance has read has no answer, or one that is not true.
async fn assert_no_call_is_cut(name: &str, set_up: impl Fn(&StandinServer)) {
    let mut deployment = Deployment::start(name, ROUTE_TIMEOUT).await;
    let results = deployment.call_during_stop(set_up).await;
    let runs = deployment.runs();
    let mut findings = Vec::new();
    let mut served = 0;
    for result in &results {
        let is_early = result.sent < Duration::from_secs(3) && result.status() == Some(200);
        served += usize::from(is_early);
        if let Some(finding) = result.finding(runs.contains(&result.id)) {
            let CallResult { id, sent, elapsed, .. } = result;
            findings.push(format!("{id}: {finding}; sent after {sent:?}, ended {elapsed:?} later"));
        }
    }
    let count = results.len();
    assert!(findings.is_empty(), "{} of {count}:\n{}", findings.len(), findings.join("\n"));
    assert!(served >= 40, "{served} of {count} calls served in the first 3 s");
}

#[actix_rt::test]
async fn a_stop_cuts_no_call_of_quick_servers() {
    assert_no_call_is_cut("quick", |_| {}).await;
}

/// Lets each server pause once in each response, before its head or inside its body.
fn pause_in_responses(lasts: Duration) -> impl Fn(&StandinServer) {
    move |server| {
        let at = match server.id() {
            "s1" | "d1" => BreakPoint::Before,
            _ => BreakPoint::After(3),
        };
        server.set_fault(Fault::Pauses(Pause { at, framing: Framing::Chunks, lasts }));
    }
}

#[actix_rt::test]
async fn a_stop_cuts_no_call_of_slow_servers() {
    assert_no_call_is_cut("slow", pause_in_responses(Duration::from_millis(900))).await;
}

#[actix_rt::test]
async fn a_stop_cuts_no_call_of_servers_that_are_silent_for_more_than_a_second() {
    assert_no_call_is_cut("silent", pause_in_responses(Duration::from_millis(1_200))).await;
}

#[actix_rt::test]
async fn a_stop_cuts_no_call_of_servers_that_are_silent_for_two_seconds() {
    assert_no_call_is_cut("long-silent", pause_in_responses(Duration::from_secs(2))).await;
}

/// Guards against streams that a stopping instance starts although their engine may fall silent more often than there is
/// time for.
#[actix_rt::test]
async fn a_stop_cuts_no_stream_whose_engine_falls_silent_again_and_again() {
    let deployment = Deployment::start("often-silent", 4 * GRACE).await;
    let (at, framing, lasts) =
        (BreakPoint::After(2), Framing::Chunks, Duration::from_millis(1_500));
    let pauses = Fault::PausesOften(Pause { at, framing, lasts });
    let mut kept = deployment.kept_connections(36).await;
    deployment.servers.iter().for_each(|server| server.set_fault(pauses));
    deployment.gateway.signal("-TERM");
    let stopped_at = Instant::now();
    // Before the first of them are slow, the instance takes the streams for short ones.
    sleep(Duration::from_millis(1_900)).await;
    let mut calls = Vec::new();
    for (number, route) in ["summary", "review"].into_iter().cycle().enumerate().take(36) {
        let mut call = deployment.call(route, &format!("{route}-{number}"));
        call.caller = Caller::completion(HOST, &format!("/{route}/1"), &call.caller.id, 100, 20);
        call.caller.timeout = 2 * GRACE;
        call.kept = kept.pop();
        calls.push(actix_rt::spawn(call.run(stopped_at)));
        sleep(2 * CALL_INTERVAL).await;
    }
    let (mut findings, mut served) = (Vec::new(), 0);
    for call in calls {
        let result = call.await.expect("the call ends");
        served += usize::from(result.status() == Some(200));
        let has_run = deployment.runs().contains(&result.id);
        if let Some(finding) = result.finding(has_run) {
            let CallResult { id, sent, elapsed, .. } = result;
            findings.push(format!("{id}: {finding}; sent after {sent:?}, ended {elapsed:?} later"));
        }
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
    assert!(served > 0, "none is served");
}

#[actix_rt::test]
async fn a_request_without_an_answer_at_the_end_of_a_stop_gets_a_true_one() {
    let deployment = Deployment::start("end", 4 * GRACE).await;
    let silence = pause_in_responses(4 * GRACE);
    deployment.servers.iter().filter(|server| server.id().ends_with('1')).for_each(silence);
    deployment.servers[1].register(&deployment.store, "draining");
    deployment.servers[3].register(&deployment.store, "draining");
    sleep(Duration::from_millis(500)).await;
    let mut streams = Vec::new();
    for (route, status) in [("lookup", 502), ("order", 502), ("review", 502), ("order", 503)] {
        let mut call = deployment.call(route, &format!("{route}-{status}"));
        call.caller.timeout = 4 * GRACE;
        if status == 503 {
            // The rest of its body never arrives.
            call.caller = call.caller.with("content-length", "9");
            call.caller.body = Vec::new();
        }
        streams.push((call.caller.send(call.address).await.unwrap(), status));
    }
    sleep(Duration::from_millis(300)).await;
    deployment.gateway.signal("-TERM");
    // Later signals change nothing.
    deployment.gateway.signal("-HUP");
    deployment.gateway.signal("-TERM");
    for (mut stream, status) in streams {
        let response = Response::read(&mut stream).await;
        let response = response.unwrap_or_else(|| panic!("no answer instead of {status}"));
        assert_eq!((response.status, response.is_complete), (status, true));
    }
    let runs = deployment.runs();
    assert!(runs.contains("order-502") && !runs.contains("order-503"), "{runs:?}");
}

/// Requests that are sent on one connection before the first response is read.
#[actix_rt::test]
async fn requests_behind_the_last_answer_on_a_connection_are_answered_too() {
    let deployment = Deployment::start("pipelined", ROUTE_TIMEOUT).await;
    deployment.servers.iter().for_each(pause_in_responses(Duration::from_millis(600)));
    let mut stream = TcpStream::connect(deployment.gateway.requests).await.unwrap();
    for number in 0..4 {
        let call = deployment.call("lookup", &format!("pipelined-{number}"));
        call.caller.send_on(&mut stream).await.unwrap();
    }
    sleep(Duration::from_millis(100)).await;
    deployment.gateway.signal("-TERM");
    for number in 0..4 {
        let response = Response::read(&mut stream).await;
        let response = response.unwrap_or_else(|| panic!("request {number} has no answer"));
        assert_eq!((response.status, response.is_complete), (200, true));
    }
}

/// Length of a response that does not fit into the buffers of its connections, in bytes.
const LONG_BODY: usize = 7 << 20;

/// Bytes that a slow caller reads at once.
const SLOW_READ: usize = 128 << 10;

/// Starts a server that answers each request with a long body, and registers it.
async fn start_long_server(store: &StandinStore) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let entry = json!({
        "service": "shop", "address": address.to_string(), "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    store.put("servers", "long", &entry);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                let id = head.get("request-id").unwrap_or_default();
                let text = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal\r\nContent-Length: {LONG_BODY}\r\n\r\n"
                );
                let _ = stream.write_all(text.as_bytes()).await;
                let _ = stream.write_all(&vec![b'a'; LONG_BODY]).await;
            });
        }
    });
}

#[actix_rt::test]
async fn an_answer_that_its_caller_reads_slowly_is_not_cut_by_a_stop() {
    let deployment = Deployment::start("slow-reader", ROUTE_TIMEOUT).await;
    start_long_server(&deployment.store).await;
    deployment.servers.iter().for_each(|server| server.register(&deployment.store, "draining"));
    sleep(Duration::from_millis(500)).await;
    let socket = TcpSocket::new_v4().expect("a socket can be opened");
    socket.set_recv_buffer_size(SLOW_READ as u32).expect("the buffer can be set");
    let call = deployment.call("lookup", "slow-reader");
    let mut stream = socket.connect(call.address).await.expect("the instance accepts");
    call.caller.send_on(&mut stream).await.expect("the request can be sent");
    let head = read_head(&mut stream).await.expect("the instance answers");
    assert_eq!(head.word(1), "200");
    deployment.gateway.signal("-TERM");
    // Without requests in flight the process would end meanwhile.
    sleep(Duration::from_secs(4)).await;
    let mut length = 0;
    let mut buf = vec![0; SLOW_READ];
    while length < LONG_BODY {
        sleep(Duration::from_millis(20)).await;
        let count = stream.read(&mut buf).await.unwrap_or(0);
        assert!(count > 0, "cut after {length} bytes");
        length += count;
    }
}

#[actix_rt::test]
async fn a_stream_that_is_cut_at_the_end_of_a_stop_does_not_look_complete_and_is_logged() {
    let mut deployment = Deployment::start("cut", 4 * GRACE).await;
    let (at, framing, lasts) = (BreakPoint::After(3), Framing::Chunks, 4 * GRACE);
    let pause = Fault::Pauses(Pause { at, framing, lasts });
    deployment.servers.iter().for_each(|server| server.set_fault(pause));
    let mut call = deployment.call("review", "cut-stream");
    call.caller.timeout = 4 * GRACE;
    let mut stream = call.caller.send(call.address).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    deployment.gateway.signal("-TERM");
    let response = Response::read(&mut stream).await.unwrap();
    assert_eq!((response.status, response.is_complete), (200, false));
    assert_eq!(read_events(&response.body).len(), 3);
    while deployment.gateway.exit_status().is_none() {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(100)).await;
    let log = deployment.gateway.log();
    let line = log.lines().find(|line| line.contains("cut_by_stop")).expect("it is logged");
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    assert_eq!((&line["request"], &line["has_responded"]), (&json!("cut-stream"), &json!(true)));
}
