//! Tests that callers that hold memory or descriptors without end neither end the process nor keep it
//! from answering an ordinary request.
//!
//! The bounds are those of the machine in the settings, not figures that were measured.

use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use magnoliaspar_platform_standin::{
    Caller, Fault, GatewayProcess, ServerSpec, StandinServer, StandinStore, write_settings,
};
use magnoliaspar_tests::run_unless_known_red;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

const HOST: &str = "site.example";

/// Maximum length of a body in the configuration.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Length of a long answer and of a large chunk.
const LONG_BYTES: usize = 400_000;

/// Open descriptors that the machine in the settings allows.
const MAX_DESCRIPTORS: usize = 1_000;

/// Number of bytes of a megabyte in the settings.
const BYTES_PER_MB: u64 = 1_000_000;

/// Longest time that a crowd takes to send, in debug builds on a busy machine.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a crowd stays after it has sent.
const STAY_TIME: Duration = Duration::from_secs(2);

/// Receive buffer of a caller that does not read, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// Serializes the tests: each loads the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// A gateway process on a machine with some memory, and the plain server behind it.
struct Deployment {
    memory_mb: u64,
    gateway: GatewayProcess,
    server: StandinServer,
    _alone: MutexGuard<'static, ()>,
}

impl Deployment {
    async fn start(name: &str, memory_mb: u64, delay: Duration) -> Self {
        let alone = ALONE.lock().await;
        let store = StandinStore::start().await;
        store.put("op", "config", &configuration());
        let spec = ServerSpec { delay, ..ServerSpec::plain("s1", "shop") };
        let server = StandinServer::start(&store, spec).await;
        let directory = std::env::temp_dir().join(format!("hostile-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        let file = directory.join("settings.json");
        let address = store.address();
        let started = tokio::task::spawn_blocking(move || {
            write_settings(&file, "one", address, &[]);
            let text = std::fs::read_to_string(&file).expect("the settings can be read");
            let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
            settings["memory_mb"] = memory_mb.into();
            settings["max_descriptors"] = MAX_DESCRIPTORS.into();
            std::fs::write(&file, settings.to_string()).expect("the settings can be written");
            GatewayProcess::start(Path::new(PROGRAM), &file)
        });
        let gateway = started.await.expect("the gateway starts");
        for event in ["servers_known", "configuration_taken"] {
            while !gateway.log().contains(event) {
                sleep(Duration::from_millis(10)).await;
            }
        }
        // The directory is only needed until the gateway has read its settings.
        let _ = std::fs::remove_dir_all(&directory);
        Self { memory_mb, gateway, server, _alone: alone }
    }

    /// Opens a connection whose receive buffer is small.
    async fn connect(&self) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().expect("a socket can be made");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the size can be set");
        socket.connect(self.gateway.requests).await.ok()
    }

    /// Opens a connection, sends bytes, and returns the connection if it lasted.
    async fn send(&self, pieces: impl Iterator<Item = Vec<u8>>) -> Option<TcpStream> {
        let mut stream = self.connect().await?;
        for piece in pieces {
            stream.write_all(&piece).await.ok()?;
        }
        Some(stream)
    }

    /// Checks the process while a crowd is connected: it lives, is inside the limits of its machine, and answers.
    async fn check(&self) {
        sleep(STAY_TIME).await;
        let (peak, resident) = (self.gateway.peak_bytes(), self.gateway.resident_bytes());
        let descriptors = self.gateway.descriptors();
        println!("peak {peak:?}, resident {resident:?}, {descriptors:?} descriptors");
        let limit = self.memory_mb * BYTES_PER_MB;
        assert!(peak.is_some(), "the process has ended");
        assert!(peak.is_some_and(|bytes| bytes <= limit), "the memory of the machine is exceeded");
        assert!(
            descriptors.is_some_and(|count| count <= MAX_DESCRIPTORS),
            "the descriptors of the machine are exceeded"
        );
        self.server.set_fault(Fault::None);
        let ordinary = Caller::post(HOST, "/order/1", "ordinary", b"x");
        let response = ordinary.fetch(self.gateway.requests).await;
        assert_eq!(response.map(|response| response.status), Some(200), "an ordinary request");
    }
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "order", "host": HOST, "path_prefix": "/order/", "kind": "non_idempotent",
            "timeout_ms": 60_000, "target_latency_ms": 500, "gap_target_ms": 200,
            "service": "shop", "max_attempts": 1, "resumable": false,
        }],
        "services": [{ "name": "shop" }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}

fn head(id: &str, framing: &str) -> Vec<u8> {
    let caller = format!("Request-Id: {id}\r\nDeadline-Remaining: 60000\r\n");
    format!("POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n{caller}{framing}\r\n\r\n").into_bytes()
}

/// Sends bodies that stop short of the limit, in chunks of some length, on connections that stay open.
async fn check_unfinished_bodies(name: &str, memory_mb: u64, callers: usize, chunk_bytes: usize) {
    let deployment = Deployment::start(name, memory_mb, Duration::ZERO).await;
    let chunk =
        [format!("{chunk_bytes:x}\r\n").into_bytes(), vec![b'x'; chunk_bytes], b"\r\n".to_vec()]
            .concat();
    let count = MAX_BODY_BYTES / chunk_bytes;
    // Small chunks are written many at a time.
    let batch = (LONG_BYTES / chunk_bytes).max(1);
    let mut crowd = Vec::new();
    for index in 0..callers {
        let start = head(&format!("c{index}"), "Transfer-Encoding: chunked");
        let pieces = (0..count).step_by(batch).map(|sent| chunk.repeat(batch.min(count - sent)));
        let pieces = std::iter::once(start).chain(pieces);
        crowd.push(timeout(SEND_TIMEOUT, deployment.send(pieces)));
    }
    let crowd = join_all(crowd).await;
    deployment.check().await;
    drop(crowd);
}

/// Guards against bodies that are collected without an account: 160 MiB on a machine of 88 MB.
#[actix_rt::test]
async fn unfinished_bodies_in_large_chunks_are_bounded() {
    let test = check_unfinished_bodies("large-chunks", 88, 40, LONG_BYTES);
    run_unless_known_red("unfinished_bodies_in_large_chunks_are_bounded", test).await;
}

/// Guards against chunks that cost more than their bytes: 48 MiB on a machine of 48 MB.
#[actix_rt::test]
async fn unfinished_bodies_in_small_chunks_are_bounded() {
    let test = check_unfinished_bodies("small-chunks", 48, 12, 3);
    run_unless_known_red("unfinished_bodies_in_small_chunks_are_bounded", test).await;
}

/// Guards against requests sent ahead that are read without end while answers are unread.
#[actix_rt::test]
async fn requests_sent_ahead_are_bounded() {
    run_unless_known_red("requests_sent_ahead_are_bounded", async {
        let deployment = Deployment::start("sent-ahead", 88, Duration::ZERO).await;
        deployment.server.set_fault(Fault::Long(LONG_BYTES));
        let mut crowd = Vec::new();
        for caller in 0..40 {
            let requests = (0..400).map(move |index| head(&format!("c{caller}-{index}"), "X: 1"));
            crowd.push(timeout(SEND_TIMEOUT, deployment.send(requests)));
        }
        let crowd = join_all(crowd).await;
        deployment.check().await;
        drop(crowd);
    })
    .await;
}

/// Guards against connections without a maximum, and against what callers that leave early leave behind.
#[actix_rt::test]
async fn connections_are_bounded() {
    run_unless_known_red("connections_are_bounded", async {
        let deployment = Deployment::start("connections", 64, STAY_TIME).await;
        let mut crowd = Vec::new();
        for caller in 0..1_500 {
            let request = std::iter::once(head(&format!("c{caller}"), "Content-Length: 0"));
            let deployment = &deployment;
            crowd.push(timeout(SEND_TIMEOUT, async move {
                let stream = deployment.send(request).await?;
                // A third leaves early.
                (caller % 3 > 0).then_some(stream)
            }));
        }
        let crowd = join_all(crowd).await;
        deployment.check().await;
        drop(crowd);
    })
    .await;
}
