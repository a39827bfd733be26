//! A fake instance and helpers that run the command line.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, LazyLock, Mutex, mpsc};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{HttpMessage, HttpService, Request, Response, StatusCode};
use actix_server::Server;
use futures_util::StreamExt;

/// The operator key that tests send to the fake instance.
pub const KEY: &str = "test-operator-key-1";

/// The path of the key file, which is written once for all tests.
static KEY_FILE: LazyLock<PathBuf> = LazyLock::new(|| write_file("key", &format!("{KEY}\n")));

/// A request that the fake instance received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The method and the path with its query string.
    pub line: String,
    /// The value of the header `Authorization`, empty if it is missing.
    pub authorization: String,
}

/// A fake of the operators' interface of an instance.
pub struct FakeInstance {
    /// The address of its listener.
    pub address: SocketAddr,
    /// The requests received so far.
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeInstance {
    /// Starts a fake whose responses are computed by `answer` from the number of the request,
    /// starting at 1, and its line.
    ///
    /// A status of 0 aborts the connection in the middle of the response.
    pub fn start(
        answer: impl Fn(usize, &str) -> (u16, String) + Clone + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let shared = received.clone();
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = Server::build().workers(1).disable_signals();
                let server = server.listen("fake", listener, move || {
                    let received = shared.clone();
                    let answer = answer.clone();
                    HttpService::build()
                        .finish(move |req: Request| {
                            let (status, body) = receive(&received, &req, &answer);
                            async move { build_response(status, body) }
                        })
                        .tcp()
                });
                let server = server.unwrap().run();
                tx.send(()).unwrap();
                server.await.unwrap();
            });
        });
        rx.recv().unwrap();
        Self { address, received }
    }

    /// Returns the lines of the requests received so far.
    pub fn request_lines(&self) -> Vec<String> {
        self.received.lock().unwrap().iter().map(|received| received.line.clone()).collect()
    }
}

fn receive(
    received: &Mutex<Vec<ReceivedRequest>>,
    req: &Request,
    answer: &impl Fn(usize, &str) -> (u16, String),
) -> (u16, String) {
    let line = format!("{} {}", req.method(), req.uri());
    let header = req.headers().get("authorization").map(|value| value.to_str().unwrap());
    let authorization = header.unwrap_or_default().to_owned();
    let mut received = received.lock().unwrap();
    received.push(ReceivedRequest { line: line.clone(), authorization });
    answer(received.len(), &line)
}

fn build_response(status: u16, body: String) -> Result<Response<BoxBody>, actix_http::Error> {
    if status == 0 {
        let aborted = async { Err(std::io::Error::from(ErrorKind::ConnectionAborted)) };
        let aborted = SizedStream::new(1, futures_util::stream::once(aborted).boxed_local());
        return Ok(Response::ok().set_body(BoxBody::new(aborted)));
    }
    let status = StatusCode::from_u16(status).unwrap();
    Ok(Response::new(status).set_body(BoxBody::new(body)))
}

/// The result of a run of the command line.
#[derive(Debug)]
pub struct RunResult {
    /// The exit code.
    pub code: u8,
    /// The standard output.
    pub out: String,
    /// The standard error.
    pub err: String,
}

/// Runs the command line.
pub fn run(args: &[&str]) -> RunResult {
    let args: Vec<Box<str>> = args.iter().map(|arg| (*arg).into()).collect();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let code = magnoliaspar_cli::run_with(&args, &mut out, &mut err);
    let out = String::from_utf8(out).unwrap();
    let err = String::from_utf8(err).unwrap();
    RunResult { code, out, err }
}

/// Runs the command line against the instance at `address`.
pub fn run_against(address: SocketAddr, args: &[&str]) -> RunResult {
    let address = address.to_string();
    let connection = ["--operators", &address, "--key-file", KEY_FILE.to_str().unwrap()];
    run(&[args, &connection].concat())
}

/// Writes a file to the temporary directory of the tests and returns its path.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns the path of a file in the directory `examples`.
pub fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}
