//! Measures what the router adds to asking an engine directly, in the same run.

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

/// How many tokens the answers have from which the cost of a token follows.
const TOKENS: u32 = 400;

/// How many streams are open when memory is measured first, and how many more after that.
const STREAMS: usize = 25;

/// How long an engine or instance may go without progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// How long the instance has to learn of the engines.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The time of one token while memory is measured, so that streams outlast the measurement.
const SLOW_TOKEN: Duration = Duration::from_secs(1);

/// How long all streams may take to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);

/// How often it is checked whether all streams are open.
const OPEN_CHECK: Duration = Duration::from_millis(50);

/// Measures time and memory that the router adds to asking an engine directly.
#[derive(Debug, Options)]
struct Args {
    /// print this help
    help: bool,
    /// how many requests each caller makes in a row
    #[options(default = "20")]
    requests: usize,
}

/// A way to get one answer.
#[derive(Clone, Copy)]
enum Way {
    Direct,
    Routed,
}

/// The addresses that answers come from.
#[derive(Clone)]
struct Targets {
    prefill: ModelEngine,
    decode: ModelEngine,
    entry: SocketAddr,
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
    println!("| callers | tokens | direct, us a request | routed, us a request | ratio |");
    println!("|---|---|---|---|---|");
    for callers in [1, 50] {
        for tokens in [1, TOKENS] {
            let direct = measure(&targets, Way::Direct, callers, tokens, args.requests).await?;
            let routed = measure(&targets, Way::Routed, callers, tokens, args.requests).await?;
            let ratio = routed.as_secs_f64() / direct.as_secs_f64();
            let (direct, routed) = (direct.as_micros(), routed.as_micros());
            println!("| {callers} | {tokens} | {direct} | {routed} | {ratio:.2} |");
        }
    }
    measure_memory().await
}

/// Starts engines, one instance on a thread of its own, and returns their addresses.
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
        // Callers who ask engines directly do not wait for their turn.
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
        entry: addresses.callers,
    };
    Ok(targets)
}

/// Returns the time of one request, with `callers` callers that ask at the same time.
async fn measure(
    targets: &Targets,
    way: Way,
    callers: usize,
    tokens: u32,
    requests: usize,
) -> Result<Duration, Box<str>> {
    let start = Instant::now();
    let mut asked = Vec::new();
    for _ in 0..callers {
        asked.push(async move {
            let caller = Caller::new(targets);
            for _ in 0..requests {
                caller.ask(way, tokens).await?;
            }
            Ok::<(), Box<str>>(())
        });
    }
    for result in join_all(asked).await {
        result?;
    }
    Ok(start.elapsed() / (callers * requests) as u32)
}

/// Prints how much memory one more open stream takes, asked directly and through the router.
async fn measure_memory() -> Result<(), Box<str>> {
    println!("\n| way | KiB a live stream, both ends and the engine included |");
    println!("|---|---|");
    for (way, name) in [(Way::Direct, "direct"), (Way::Routed, "routed")] {
        let targets = start(SLOW_TOKEN).await?;
        open_streams(&targets, way).await?;
        let before = resident_bytes().unwrap_or_default();
        open_streams(&targets, way).await?;
        open_streams(&targets, way).await?;
        let grown = resident_bytes().unwrap_or_default().saturating_sub(before);
        println!("| {name} | {:.1} |", grown as f64 / (2 * STREAMS) as f64 / 1_024.0);
    }
    Ok(())
}

/// Opens streams that go on for as long as the process.
async fn open_streams(targets: &Targets, way: Way) -> Result<(), Box<str>> {
    let expected = targets.decode.streams().len() + STREAMS;
    for _ in 0..STREAMS {
        let targets = targets.clone();
        actix_rt::spawn(async move {
            let _ = Caller::new(&targets).ask(way, TOKENS).await;
        });
    }
    let deadline = Instant::now() + OPEN_TIMEOUT;
    while targets.decode.streams().len() < expected {
        if Instant::now() >= deadline {
            let open = targets.decode.streams().len();
            return Err(format!("{open} streams are open instead of {expected}").into());
        }
        tokio::time::sleep(OPEN_CHECK).await;
    }
    Ok(())
}

/// Asks for answers.
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

    async fn ask(&self, way: Way, tokens: u32) -> Result<(), Box<str>> {
        match way {
            Way::Direct => self.ask_engines(tokens).await,
            Way::Routed => self.ask_router(tokens).await,
        }
    }

    async fn ask_engines(&self, tokens: u32) -> Result<(), Box<str>> {
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

    async fn ask_router(&self, tokens: u32) -> Result<(), Box<str>> {
        let body = json!({
            "model": MODEL, "prompt": prompt(), "max_tokens": tokens, "stream": true,
        });
        let req = self
            .client
            .post(format!("http://{}/v1/completions", self.targets.entry))
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
