//! An instance is stopped while streams run whose engine falls silent for a second some times. It ends with its grace
//! and cuts streams that it had started after the stop.

#[path = "../6/platform.rs"]
mod platform;

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Gateway, Machine, Record, Store, has_trouble, read_head, read_message};

/// Number of events of a stream.
const EVENTS: u64 = 20;

/// Time between two events.
const PAUSE: Duration = Duration::from_millis(20);

/// The events before which the engine falls silent.
const SILENT_BEFORE: [u64; 3] = [5, 10, 15];

/// Time for which it is silent.
const SILENCE: Duration = Duration::from_millis(1_300);

/// Deadline of a request and timeout of its route.
const DEADLINE: Duration = Duration::from_millis(14_000);

/// `grace_s` of the deployment.
const GRACE: Duration = Duration::from_secs(8);

/// Times after the stop at which the callers send their requests, on connections that they had open before.
const SENT_AFTER_MS: [u64; 8] = [3_050, 3_100, 3_200, 3_300, 3_400, 3_450, 3_500, 3_550];

fn configuration() -> String {
    r#"{"version":7,"routes":[{"name":"r-assess","host":"grants.example","path_prefix":"/assess/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"gap_target_ms":300,"priority":1,"service":"assessor-llm","max_attempts":2,"sticky":true,"resumable":true}],"services":[{"name":"assessor-llm","max_connections":230,"health_path":"/health","engine":{"slots":32,"kv_capacity_tokens":73808}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.to_owned()
}

/// The requests that an engine ran, with the number of events that it has sent of each.
type Runs = Arc<Mutex<Vec<(String, u64)>>>;

/// Starts a sound decode engine and registers it.
fn start_engine(store: &Store, id: &'static str, runs: &Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"service":"assessor-llm","address":"{address}","zone":"zone-a","version":"v1","slots":32,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1,"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#
        ),
    );
    let runs = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            thread::spawn(move || drop(serve_engine(id, stream, &runs)));
        }
    });
}

fn serve_engine(id: &str, stream: TcpStream, runs: &Runs) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false)? {
        if request.word(1) == "/api/report" {
            let body = r#"{"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":73808,"kv_handles":0,"born":1}"#;
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
            continue;
        }
        let name = request.get("request-id").unwrap_or_default();
        if request.get("expect-instance").is_some_and(|known| known != id) {
            write!(writer, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {name}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let last = request.get("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let index = {
            let mut runs = runs.lock().expect("no thread panics");
            runs.push((name.to_owned(), 0));
            runs.len() - 1
        };
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Seal: seal.{name}\r\nInstance-Id: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for event in last.map_or(0, |last| last + 1)..EVENTS {
            // A sound server may fall silent for a second or so, and then goes on.
            let is_silent = SILENT_BEFORE.contains(&event) && !name.starts_with("warm");
            thread::sleep(if is_silent { SILENCE } else { PAUSE });
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
            runs.lock().expect("no thread panics")[index].1 += 1;
        }
        write!(writer, "0\r\n\r\n")?;
    }
    Ok(())
}

/// What became of a request.
#[derive(Debug, Clone)]
struct Outcome {
    id: String,
    sent: Duration,
    ended: Duration,
    status: Option<u16>,
    events: u64,
    is_complete: bool,
}

fn send(stream: &mut TcpStream, id: &str) -> io::Result<()> {
    let request = format!(
        "POST /assess/1 HTTP/1.1\r\nHost: grants.example\r\nRequest-Id: {id}\r\nModel-Name: m\r\nToken-Count: 5200,{EVENTS}\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:5000\r\nDeadline-Remaining: 14000\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes())
}

/// Reads the answer to a request; returns the status, the number of events and whether it is complete.
fn read_answer(reader: &mut BufReader<TcpStream>) -> (Option<u16>, u64, bool) {
    let Ok(Some(head)) = read_head(reader) else { return (None, 0, false) };
    let status = Some(head.status());
    if head.status() != 200 {
        return (status, 0, true);
    }
    let (mut events, mut line) = (0, String::new());
    loop {
        line.clear();
        if !reader.read_line(&mut line).is_ok_and(|count| count > 0) {
            return (status, events, false);
        }
        events += u64::from(line.starts_with("id: "));
        if line.trim_end() == "0" {
            // The end of the last chunk.
            let _ = reader.read_line(&mut line);
            return (status, events, true);
        }
    }
}

fn open(front: SocketAddr) -> io::Result<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(14)))?;
    Ok((stream.try_clone()?, BufReader::new(stream)))
}

fn main() {
    exit(run());
}

/// Runs the case and returns its exit status. What it started ends before.
fn run() -> i32 {
    let mut record = Record::create("review/9");
    let store = Store::start();
    store.put("op", "config", &configuration());
    let runs: Runs = Arc::default();
    start_engine(&store, "i-engine-1", &runs);
    start_engine(&store, "i-engine-2", &runs);
    let machine = Machine { memory_mb: 110, cores: 0.25, descriptors: 4_100, revocation: "", seeds: Vec::new() };
    let Some(mut gateway) = Gateway::start("review-9", &store, &machine) else {
        record.line("the gateway was not ready");
        return 2;
    };
    let mut connections = Vec::new();
    for index in 0..SENT_AFTER_MS.len() {
        let Ok((mut stream, mut reader)) = open(gateway.front) else {
            record.line("no connection");
            return 2;
        };
        let sent = send(&mut stream, &format!("warm-{index}"));
        let answer = read_answer(&mut reader);
        if sent.is_err() || answer != (Some(200), EVENTS, true) {
            record.line(&format!("the deployment does not serve: {answer:?}"));
            return 2;
        }
        connections.push((stream, reader));
    }
    record.line("each caller has an open connection that carried a request");
    let stopped = Instant::now();
    if has_trouble() {
        gateway.signal("-TERM");
        record.line("SIGTERM");
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut callers = Vec::new();
    for (millis, (mut stream, mut reader)) in SENT_AFTER_MS.into_iter().zip(connections) {
        let outcomes = outcomes.clone();
        callers.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(millis).saturating_sub(stopped.elapsed()));
            let (id, sent) = (format!("s{millis}"), stopped.elapsed());
            let is_sent = send(&mut stream, &id).is_ok();
            let (status, events, is_complete) =
                if is_sent { read_answer(&mut reader) } else { (None, 0, false) };
            let ended = stopped.elapsed();
            let outcome = Outcome { id, sent, ended, status, events, is_complete };
            outcomes.lock().expect("no thread panics").push(outcome);
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    if has_trouble() {
        while !gateway.has_ended() && stopped.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        let ended_after = stopped.elapsed().as_secs_f64();
        record.line(&format!("the process has ended: {}, {ended_after:.3} s after SIGTERM", gateway.has_ended()));
    }
    let runs = runs.lock().expect("no thread panics").clone();
    let mut outcomes = outcomes.lock().expect("no thread panics").clone();
    outcomes.sort_by_key(|outcome| outcome.sent);
    let mut lost = 0;
    for Outcome { id, sent, ended, status, events, is_complete } in &outcomes {
        let run: Vec<_> = runs.iter().filter(|(known, _)| known == id).collect();
        let is_owed = *sent > Duration::from_secs(3) && *ended < *sent + DEADLINE;
        let is_lost = !is_complete && !run.is_empty() && is_owed;
        lost += usize::from(is_lost);
        record.line(&format!(
            "{id}: sent {:.3} s after, ended {:.3} s after; status {status:?}, {events} of {EVENTS} events, complete: {is_complete}; engines ran it {} times",
            sent.as_secs_f64(),
            ended.as_secs_f64(),
            run.len()
        ));
    }
    if lost > 0 {
        record.line(&format!("BROKEN: {lost} answers were cut by the stop"));
        return 1;
    }
    record.line("held");
    0
}
