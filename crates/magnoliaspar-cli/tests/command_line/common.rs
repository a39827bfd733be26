use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, LazyLock, Mutex, mpsc};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{HttpMessage, HttpService, Request, Response, StatusCode};
use actix_server::Server;
use futures_util::StreamExt;

/// The key that tests show to the fake instance.
pub const KEY: &str = "test-operator-key-1";

/// The file with the key, which is written once for all tests.
static KEY_FILE: LazyLock<PathBuf> = LazyLock::new(|| write_file("key", &format!("{KEY}\n")));

/// A request that the fake instance has taken.
#[derive(Debug, Clone)]
pub struct Taken {
    /// The method and the path with its query part.
    pub line: String,
    /// The header `Authorization`.
    pub authorization: String,
}

/// A fake of an instance's operators' interface.
pub struct FakeInstance {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that it has taken.
    pub taken: Arc<Mutex<Vec<Taken>>>,
}

impl FakeInstance {
    /// Starts a fake whose answers are given by `answer`, from the number of the request and its
    /// line; a status of 0 cuts the connection in the middle of the answer.
    pub fn start(
        answer: impl Fn(usize, &str) -> (u16, String) + Clone + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let taken = Arc::new(Mutex::new(Vec::new()));
        let log = taken.clone();
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = Server::build().workers(1).disable_signals();
                let server = server.listen("fake", listener, move || {
                    let log = log.clone();
                    let answer = answer.clone();
                    HttpService::build()
                        .finish(move |req: Request| {
                            let (status, body) = take(&log, &req, &answer);
                            async move { respond(status, body) }
                        })
                        .tcp()
                });
                let server = server.unwrap().run();
                tx.send(()).unwrap();
                server.await.unwrap();
            });
        });
        rx.recv().unwrap();
        Self { address, taken }
    }

    /// Returns the lines of the requests that were taken.
    pub fn lines(&self) -> Vec<String> {
        self.taken.lock().unwrap().iter().map(|taken| taken.line.clone()).collect()
    }
}

fn take(
    log: &Mutex<Vec<Taken>>,
    req: &Request,
    answer: &impl Fn(usize, &str) -> (u16, String),
) -> (u16, String) {
    let line = format!("{} {}", req.method(), req.uri());
    let header = req.headers().get("authorization").map(|value| value.to_str().unwrap());
    let authorization = header.unwrap_or_default().to_owned();
    let mut log = log.lock().unwrap();
    log.push(Taken { line: line.clone(), authorization });
    answer(log.len(), &line)
}

fn respond(status: u16, body: String) -> Result<Response<BoxBody>, actix_http::Error> {
    if status == 0 {
        let cut = async { Err(std::io::Error::from(ErrorKind::ConnectionAborted)) };
        let cut = SizedStream::new(1, futures_util::stream::once(cut).boxed_local());
        return Ok(Response::ok().set_body(BoxBody::new(cut)));
    }
    let status = StatusCode::from_u16(status).unwrap();
    Ok(Response::new(status).set_body(BoxBody::new(body)))
}

/// What a run of the command line gave.
#[derive(Debug)]
pub struct Ran {
    /// The exit code.
    pub code: u8,
    /// The output.
    pub out: String,
    /// The error output.
    pub err: String,
}

/// Runs the command line.
pub fn run(args: &[&str]) -> Ran {
    let args: Vec<Box<str>> = args.iter().map(|arg| (*arg).into()).collect();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let code = magnoliaspar_cli::run_with(&args, &mut out, &mut err);
    let out = String::from_utf8(out).unwrap();
    let err = String::from_utf8(err).unwrap();
    Ran { code, out, err }
}

/// Runs the command line against an instance.
pub fn run_against(address: SocketAddr, args: &[&str]) -> Ran {
    let address = address.to_string();
    let connection = ["--operators", &address, "--key-file", KEY_FILE.to_str().unwrap()];
    run(&[args, &connection].concat())
}

/// Writes a file of this test process and returns its path.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns the path of an example file.
pub fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}
