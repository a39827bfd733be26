//! Measures the time and memory that the router adds to direct calls of an engine, in the same run.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use awc::Client;
use futures_util::StreamExt;
use futures_util::future::join_all;
use gumdrop::Options;
use magnoliaspar_core::{AttemptId, RequestId};
use magnoliaspar_engine::{DecodeCall, Engine, HttpEngine, KvSource, PrefillCall, StreamId};
use magnoliaspar_load::resident_bytes;
use magnoliaspar_standin::{CALLER_KEY, Deployment, DeploymentSpec, MODEL, ModelEngine};
use serde_json::json;

/// Number of tokens in the long answers, from which the cost per token follows.
const LONG_ANSWER_TOKENS: u32 = 400;

/// Number of open streams at the first reading of memory. Twice as many are added until the second.
const STREAM_COUNT: usize = 25;

/// Progress timeout of calls to an engine.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// Time for the instance to discover the engines.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time per token while memory is measured, long enough that streams outlast the measurement.
const SLOW_TOKEN_TIME: Duration = Duration::from_secs(1);

/// Timeout for all streams to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks of the number of open streams.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Measures the time and memory that the router adds to direct calls of an engine.
#[derive(Debug, Options)]
struct Args {
    /// print this help
    help: bool,
    /// number of consecutive requests per caller
    #[options(default = "20")]
    requests: usize,
}

/// The way in which a caller gets an answer.
#[derive(Clone, Copy)]
enum AccessMode {
    /// The caller calls the prefill and the decode engine itself.
    Direct,
    /// The caller sends the request to the router.
    Routed,
}

/// The engines and the entry address of the router.
#[derive(Clone)]
struct Targets {
    prefill: ModelEngine,
    decode: ModelEngine,
    router: SocketAddr,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match actix_rt::System::new().block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("overhead: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<(), Box<str>> {
    let targets = start(Duration::ZERO).await?;
    println!("| callers | tokens | direct, us per request | routed, us per request | ratio |");
    println!("|---|---|---|---|---|");
    for callers in [1, 50] {
        for tokens in [1, LONG_ANSWER_TOKENS] {
            let direct =
                measure(&targets, AccessMode::Direct, callers, tokens, args.requests).await?;
            let routed =
                measure(&targets, AccessMode::Routed, callers, tokens, args.requests).await?;
            let ratio = routed.as_secs_f64() / direct.as_secs_f64();
            let (direct, routed) = (direct.as_micros(), routed.as_micros());
            println!("| {callers} | {tokens} | {direct} | {routed} | {ratio:.2} |");
        }
    }
    measure_memory().await
}

/// Starts a prefill engine, a decode engine and an instance on its own thread.
async fn start(token_time: Duration) -> Result<Targets, Box<str>> {
    let mut spec = DeploymentSpec::small(&["zone-a"]);
    spec.prefills = 1;
    spec.decodes = 1;
    for engine in [&mut spec.prefill, &mut spec.decode] {
        engine.slots = 10_000;
        engine.memory_pieces = 1_000_000;
        engine.token_time = token_time;
        engine.batch_slowdown = 0.0;
        engine.prefill_tokens_per_second = 1e9;
        engine.link_tokens_per_second = 1e9;
        // Direct callers bypass admission, so that a transfer may start long after its prefill.
        engine.hold = Duration::from_secs(30);
    }
    let deployment = Deployment::start(&spec).await.map_err(|error| error.to_string())?;
    let settings = deployment.settings(0, "a-1").map_err(|error| error.to_string())?;
    let copy = settings.clone();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let Ok(handle) = magnoliaspar_serve::start(settings).await else { return };
            let _ = tx.send(handle.addresses());
            std::future::pending::<()>().await;
        });
    });
    let addresses = rx.recv().map_err(|error| error.to_string())?;
    deployment.register_instance(&copy, addresses);
    tokio::time::sleep(SETTLE_TIME).await;
    let zone = &deployment.zones[0];
    let targets = Targets {
        prefill: zone.prefills[0].clone(),
        decode: zone.decodes[0].clone(),
        router: addresses.callers,
    };
    Ok(targets)
}

/// Returns the elapsed time per request with `callers` concurrent callers.
async fn measure(
    targets: &Targets,
    mode: AccessMode,
    callers: usize,
    tokens: u32,
    requests: usize,
) -> Result<Duration, Box<str>> {
    let start = Instant::now();
    let mut caller_tasks = Vec::new();
    for _ in 0..callers {
        caller_tasks.push(async move {
            let caller = Caller::new(targets);
            for _ in 0..requests {
                caller.request(mode, tokens).await?;
            }
            Ok::<(), Box<str>>(())
        });
    }
    for result in join_all(caller_tasks).await {
        result?;
    }
    Ok(start.elapsed() / (callers * requests) as u32)
}

/// Prints the memory per open stream, for direct streams and streams through the router.
async fn measure_memory() -> Result<(), Box<str>> {
    println!("\n| mode | KiB per open stream, including the caller and the engine |");
    println!("|---|---|");
    for (mode, name) in [(AccessMode::Direct, "direct"), (AccessMode::Routed, "routed")] {
        let targets = start(SLOW_TOKEN_TIME).await?;
        open_streams(&targets, mode).await?;
        let before = resident_bytes().unwrap_or_default();
        open_streams(&targets, mode).await?;
        open_streams(&targets, mode).await?;
        let growth = resident_bytes().unwrap_or_default().saturating_sub(before);
        println!("| {name} | {:.1} |", growth as f64 / (2 * STREAM_COUNT) as f64 / 1_024.0);
    }
    Ok(())
}

/// Opens [`STREAM_COUNT`] streams that outlast the measurement.
async fn open_streams(targets: &Targets, mode: AccessMode) -> Result<(), Box<str>> {
    let expected = targets.decode.streams().len() + STREAM_COUNT;
    for _ in 0..STREAM_COUNT {
        let targets = targets.clone();
        actix_rt::spawn(async move {
            let _ = Caller::new(&targets).request(mode, LONG_ANSWER_TOKENS).await;
        });
    }
    let deadline = Instant::now() + OPEN_TIMEOUT;
    while targets.decode.streams().len() < expected {
        if Instant::now() >= deadline {
            let open = targets.decode.streams().len();
            return Err(format!("{open} streams are open instead of {expected}").into());
        }
        tokio::time::sleep(OPEN_CHECK_INTERVAL).await;
    }
    Ok(())
}

/// A caller of the engines or the router.
struct Caller {
    targets: Targets,
    client: Client,
    prefill: Rc<dyn Engine>,
    decode: Rc<dyn Engine>,
}

impl Caller {
    fn new(targets: &Targets) -> Self {
        Self {
            targets: targets.clone(),
            client: Client::builder().disable_timeout().finish(),
            prefill: Rc::new(HttpEngine::new(targets.prefill.address(), PROGRESS_TIMEOUT)),
            decode: Rc::new(HttpEngine::new(targets.decode.address(), PROGRESS_TIMEOUT)),
        }
    }

    async fn request(&self, mode: AccessMode, tokens: u32) -> Result<(), Box<str>> {
        match mode {
            AccessMode::Direct => self.call_engines(tokens).await,
            AccessMode::Routed => self.call_router(tokens).await,
        }
    }

    async fn call_engines(&self, tokens: u32) -> Result<(), Box<str>> {
        let stream = StreamId { request: RequestId::random(), attempt: AttemptId(1) };
        let call = PrefillCall {
            stream: stream.clone(),
            owner: "overhead".into(),
            model: MODEL.try_into().map_err(|_| "the model has no valid name")?,
            version: "1".into(),
            adapters: Vec::new(),
            prompt: prompt(),
            emitted: Vec::new(),
            blocks: Vec::new(),
            priority: 0,
        };
        let prefilled = self.prefill.prefill(&call).await.map_err(|error| error.to_string())?;
        let call = DecodeCall {
            stream: stream.clone(),
            owner: "overhead".into(),
            source: KvSource { address: self.targets.prefill.address(), stream },
            prompt_tokens: prefilled.prompt_tokens,
            first_index: 0,
            max_tokens: tokens,
            priority: 0,
        };
        let mut frames = self.decode.decode(&call).await.map_err(|error| error.to_string())?;
        while let Some(frame) = frames.next().await {
            frame.map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    async fn call_router(&self, tokens: u32) -> Result<(), Box<str>> {
        let body = json!({
            "model": MODEL, "prompt": prompt(), "max_tokens": tokens, "stream": true,
        });
        let req = self
            .client
            .post(format!("http://{}/v1/completions", self.targets.router))
            .bearer_auth(CALLER_KEY);
        let mut res = req.send_json(&body).await.map_err(|error| error.to_string())?;
        if !res.status().is_success() {
            return Err(format!("status {}", res.status()).into());
        }
        while let Some(chunk) = res.next().await {
            chunk.map_err(|error| error.to_string())?;
        }
        Ok(())
    }
}

fn prompt() -> Box<str> {
    "[long] assess this pack".into()
}
