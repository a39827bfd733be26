//! Stand-ins for the cases of the third review: a store, plain workers, and a gateway process.
//!
//! Only the standard library is used. All listen on loopback addresses with free ports.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Host of all routes.
pub const HOST: &str = "site.example";

/// Memory of a machine of the small deployment, in bytes: 110 MB.
pub const MEMORY_BYTES: u64 = 110_000_000;

/// Descriptors of a machine of the small deployment.
pub const DESCRIPTORS: u32 = 4_100;

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// The processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills a process that was started here, and waits for its end.
fn end_process(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    PROCESSES.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends the case because it cannot run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    for id in &*PROCESSES.lock().unwrap() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    let _ = fs::remove_dir_all(temporary_folder());
    std::process::exit(2);
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// The file `record.txt` of the case, with the time of each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| cannot_run("RECORD is not set"));
        let file =
            fs::File::create(path).unwrap_or_else(|_| cannot_run("no record can be written"));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A request or response head, and its body.
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message with a length; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        read_some(stream, buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next()?.to_owned();
    let mut headers = BTreeMap::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buf.len() < end + length {
        read_some(stream, buf)?;
    }
    let body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Some(Message { first_line, headers, body })
}

fn read_some(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 << 10];
    let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
    buf.extend_from_slice(&piece[..count]);
    Some(())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(piece.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= piece.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The platform's store: reads of rows and of changes. The rows do not change once the gateway runs.
pub struct Store {
    rows: Mutex<Vec<(String, String, String, u64)>>,
    revision: AtomicUsize,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self { rows: Mutex::default(), revision: AtomicUsize::new(1) });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let this = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        (store, address)
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let revision = self.revision.fetch_add(1, Ordering::SeqCst) as u64 + 1;
        self.set(table, key, base64(value.as_bytes()), revision);
    }

    fn set(&self, table: &str, key: &str, value: String, revision: u64) {
        let mut rows = self.rows.lock().unwrap();
        rows.retain(|row| row.0 != table || row.1 != key);
        rows.push((table.into(), key.into(), value, revision));
    }

    /// Applies a transaction of rows of the system, all or nothing; returns the status and the body.
    fn transact(&self, body: &str) -> (u16, String) {
        let (expected, rest) = body.split_once(r#""put":"#).unwrap_or((body, ""));
        let put = rest.split_once(r#""remove":"#).map_or(rest, |(put, _)| put);
        for row in expected.split('{').skip(2) {
            let (table, key) = (text_field(row, "table"), text_field(row, "key"));
            let rows = self.rows.lock().unwrap();
            let current = rows.iter().find(|row| row.0 == table && row.1 == key);
            let version = current.map_or(0, |row| row.3);
            if !row.contains(&format!(r#""row_version":{version}}}"#)) {
                drop(rows);
                return (412, self.rows_json(&table, 0, |of| of == key));
            }
        }
        let revision = self.revision.fetch_add(1, Ordering::SeqCst) as u64 + 1;
        for row in put.split('{').skip(1) {
            let [table, key, value] = ["table", "key", "value"].map(|name| text_field(row, name));
            self.set(&table, &key, value, revision);
        }
        (200, format!(r#"{{"row_version":{revision},"now_ms":1}}"#))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buf) {
            let target = request.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let mut fields = BTreeMap::new();
            for field in query.split('&') {
                let (name, value) = field.split_once('=').unwrap_or((field, ""));
                fields.insert(name, value.replace("%2F", "/").replace("%2D", "-"));
            }
            let table = fields.get("table").cloned().unwrap_or_default();
            let number = |name: &str| -> u64 {
                fields.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
            };
            let (status, body) = match path {
                "/api/rows-get" => {
                    let from = fields.get("from").cloned().unwrap_or_default();
                    let is_one = fields.contains_key("to");
                    (200, self.rows_json(&table, 0, |key| !is_one || key == from))
                }
                "/api/rows-feed" => {
                    let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                    let after = number("after");
                    while !self.has_changes(&table, after) && Instant::now() < end {
                        thread::sleep(Duration::from_millis(20));
                    }
                    (200, self.rows_json(&table, after, |_| true))
                }
                "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
                _ => (404, "{}".to_owned()),
            };
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {length}\r\n\r\n"
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn has_changes(&self, table: &str, after: u64) -> bool {
        self.rows.lock().unwrap().iter().any(|row| row.0 == table && row.3 > after)
    }

    fn rows_json(&self, table: &str, after: u64, is_included: impl Fn(&str) -> bool) -> String {
        let mut rows = Vec::new();
        for (of, key, value, version) in &*self.rows.lock().unwrap() {
            if of == table && *version > after && is_included(key) {
                rows.push(format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","row_version":{version}}}"#
                ));
            }
        }
        let revision = self.revision.load(Ordering::SeqCst);
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"truncated":false,"row_version":{revision},"now_ms":1}}"#)
    }
}

/// Returns the text of a field of a JSON object without escapes.
fn text_field(object: &str, name: &str) -> String {
    let start = format!(r#""{name}":""#);
    let value = object.split_once(&start).map_or("", |(_, rest)| rest);
    value.split('"').next().unwrap_or_default().to_owned()
}

/// A plain worker as the small deployment has them: 6 slots, a short queue, 96 connections, 15 ms of work.
pub struct Worker {
    pub runs: AtomicUsize,
    pub refused: AtomicUsize,
    pub resets: AtomicUsize,
    connections: AtomicUsize,
    in_hand: AtomicUsize,
    slots: Mutex<usize>,
    answer_bytes: usize,
}

const WORKER_SLOTS: usize = 6;
const WORKER_QUEUE: usize = 24;
pub const WORKER_CONNECTIONS: usize = 96;
const WORK: Duration = Duration::from_millis(15);

impl Worker {
    /// Starts a worker and registers it in the store.
    pub fn start(store: &Store, id: &str, answer_bytes: usize) -> Arc<Self> {
        let worker = Arc::new(Self {
            runs: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            resets: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            in_hand: AtomicUsize::new(0),
            slots: Mutex::new(0),
            answer_bytes,
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        store.put(
            "servers",
            id,
            &format!(
                r#"{{"service":"grants-app","address":"{address}","zone":"mid-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
            ),
        );
        let (this, id) = (worker.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.connections.fetch_add(1, Ordering::SeqCst) >= WORKER_CONNECTIONS {
                    this.connections.fetch_sub(1, Ordering::SeqCst);
                    this.resets.fetch_add(1, Ordering::SeqCst);
                    continue;
                }
                let (this, id) = (this.clone(), id.clone());
                thread::spawn(move || {
                    this.serve(stream, &id);
                    this.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        worker
    }

    fn serve(&self, mut stream: TcpStream, id: &str) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buf) {
            let of = request.headers.get("request-id").cloned().unwrap_or_default();
            let head =
                format!("Request-Id: {of}\r\nInstance-Id: {id}\r\nKeep-Alive: timeout=4\r\n");
            if self.in_hand.fetch_add(1, Ordering::SeqCst) >= WORKER_SLOTS + WORKER_QUEUE {
                self.in_hand.fetch_sub(1, Ordering::SeqCst);
                self.refused.fetch_add(1, Ordering::SeqCst);
                let answer = format!(
                    "HTTP/1.1 503 Busy\r\n{head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.work();
            self.in_hand.fetch_sub(1, Ordering::SeqCst);
            if !request.first_line.starts_with("GET /health") {
                self.runs.fetch_add(1, Ordering::SeqCst);
            }
            let length = self.answer_bytes;
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\n{head}Server-Seal: s.{of}\r\nContent-Length: {length}\r\n\r\n"
            )
            .into_bytes();
            answer.resize(answer.len() + length, b'x');
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn work(&self) {
        loop {
            let mut taken = self.slots.lock().unwrap();
            if *taken < WORKER_SLOTS {
                *taken += 1;
                break;
            }
            drop(taken);
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(WORK);
        *self.slots.lock().unwrap() -= 1;
    }
}

/// The configuration of the small deployment's plain calls, with the limits of the pages.
pub fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"issue","host":"{HOST}","path_prefix":"/issue/","kind":"non_idempotent","timeout_ms":14000,"target_latency_ms":100,"priority":2,"service":"grants-app","max_attempts":1,"resumable":false}}],"services":[{{"name":"grants-app","health_path":"/health","max_connections":{WORKER_CONNECTIONS},"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// A gateway process, which is killed on drop.
pub struct Gateway {
    child: Child,
    log: PathBuf,
    directory: PathBuf,
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
}

impl Gateway {
    /// Starts the program of the deploy file with the settings of a machine of the small deployment.
    pub fn start(store: SocketAddr, memory_mb: u32) -> Self {
        let directory = temporary_folder();
        fs::create_dir_all(&directory).unwrap_or_else(|_| cannot_run("no temporary folder"));
        let settings = directory.join("settings.json");
        let log = directory.join("gateway.out");
        let mut ports = Vec::new();
        for _ in 0..4 {
            ports.push(TcpListener::bind("127.0.0.1:0").unwrap());
        }
        let address = |index: usize| ports[index].local_addr().unwrap();
        let (requests, readiness, metrics, peers) =
            (address(0), address(1), address(2), address(3));
        drop(ports);
        let text = format!(
            r#"{{"instance":"edge-mid-a-1","zone":"mid-a","requests":"{requests}","readiness":"{readiness}","metrics":"{metrics}","peers":"{peers}","seeds":["{peers}"],"store":"{store}","cores":0.25,"memory_mb":{memory_mb},"max_descriptors":{DESCRIPTORS},"retries":{{"ratio":0.2,"extra":52,"window_s":10}},"revocation":{{}},"grace_s":8,"log":"info"}}"#
        );
        fs::write(&settings, text).unwrap();
        let out = fs::File::create(&log).unwrap();
        // The shell only sets the descriptors of the machine for the program that takes its place.
        let command = format!(
            "ulimit -n {DESCRIPTORS} && exec target/release/magnoliaspar gateway --settings \"$0\""
        );
        let child = Command::new("sh")
            .args(["-c", &command])
            .arg(&settings)
            .stdout(Stdio::from(out))
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|_| cannot_run("the gateway does not start"));
        PROCESSES.lock().unwrap().push(child.id());
        let gateway = Self { child, log, directory, requests, readiness };
        let end = Instant::now() + Duration::from_secs(10);
        while !gateway.is_ready() {
            if Instant::now() > end {
                cannot_run("the gateway is not ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
        gateway
    }

    /// Returns the status of one readiness check.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        status_of(self.readiness, request.as_bytes(), Duration::from_secs(1)) == Some(200)
    }

    /// Returns a size from the process's status in bytes; `None` if the process has ended.
    pub fn bytes(&self, name: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Returns the highest resident memory so far.
    pub fn peak(&self) -> Option<u64> {
        self.bytes("VmHWM:")
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, |entries| entries.count())
    }

    /// Returns how many lines of the log have each event.
    pub fn events(&self) -> BTreeMap<String, usize> {
        let mut events = BTreeMap::new();
        for line in fs::read_to_string(&self.log).unwrap_or_default().lines() {
            let Some((_, rest)) = line.split_once(r#""event":""#) else { continue };
            let name = rest.split('"').next().unwrap_or_default();
            *events.entry(name.to_owned()).or_insert(0) += 1;
        }
        events
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end_process(&mut self.child);
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Sends a request on a new connection and returns the status of its whole response; `None` without one.
pub fn status_of(address: SocketAddr, request: &[u8], limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    let response = read_message(&mut stream, &mut Vec::new())?;
    response.first_line.split(' ').nth(1)?.parse().ok()
}

/// Returns an ordinary call, with a short body.
pub fn ordinary(id: &str) -> Vec<u8> {
    format!(
        "POST /issue/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Remaining: 3000\r\nContent-Length: 1\r\n\r\nx"
    )
    .into_bytes()
}

/// Calls `run` for each number below `count` on some threads, and returns what it returns.
pub fn crowd<T: Send + 'static>(
    count: usize,
    run: impl Fn(usize) -> Option<T> + Send + Sync + 'static,
) -> Vec<T> {
    let (run, next) = (Arc::new(run), Arc::new(AtomicUsize::new(0)));
    let mut threads = Vec::new();
    for _ in 0..40 {
        let (run, next) = (run.clone(), next.clone());
        threads.push(thread::spawn(move || {
            let mut results = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::SeqCst);
                if index >= count {
                    return results;
                }
                results.extend(run(index));
            }
        }));
    }
    threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
}

/// Returns a length in megabytes.
pub fn megabytes(bytes: Option<u64>) -> String {
    bytes.map_or("ended".into(), |bytes| format!("{:.1} MB", bytes as f64 / 1e6))
}

/// The least reading of 110 MB that ends a process here, in bytes: the larger one, 110 MiB.
pub const KILL_BYTES: u64 = 110 << 20;

/// Number of machines: on two at least processes have to end.
pub const MACHINES: usize = 2;

/// Number of times that a process has to end on each of them.
pub const ENDS: usize = 3;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// A machine of the platform: it ends a process beyond the memory of the machine, and starts it again.
pub struct Machine {
    pub name: String,
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    directory: PathBuf,
    child: Mutex<Option<Child>>,
    is_over: AtomicUsize,
    pub ends: AtomicUsize,
    pub peak: AtomicUsize,
}

impl Machine {
    /// Starts the machines, whose processes know each other, and waits until they are ready.
    pub fn start_all(store: SocketAddr, record: &Record) -> Vec<Arc<Self>> {
        let directory = temporary_folder();
        fs::create_dir_all(&directory).unwrap_or_else(|_| cannot_run("no temporary folder"));
        let mut ports = Vec::new();
        for _ in 0..4 * MACHINES {
            ports.push(TcpListener::bind("127.0.0.1:0").unwrap());
        }
        let address = |index: usize| ports[index].local_addr().unwrap();
        let seeds: Vec<String> =
            (0..MACHINES).map(|index| format!(r#""{}""#, address(4 * index + 3))).collect();
        let seeds = seeds.join(",");
        let mut machines = Vec::new();
        for index in 0..MACHINES {
            let [requests, readiness, metrics, peers] =
                [0, 1, 2, 3].map(|port| address(4 * index + port));
            let name = format!("edge-mid-a-{}", index + 1);
            let settings = directory.join(format!("{name}.json"));
            let text = format!(
                r#"{{"instance":"{name}","zone":"mid-a","requests":"{requests}","readiness":"{readiness}","metrics":"{metrics}","peers":"{peers}","seeds":[{seeds}],"store":"{store}","cores":0.25,"memory_mb":110,"max_descriptors":{DESCRIPTORS},"retries":{{"ratio":0.2,"extra":52,"window_s":10}},"revocation":{{}},"grace_s":8,"log":"info"}}"#
            );
            fs::write(&settings, text).unwrap();
            machines.push(Arc::new(Self {
                name,
                requests,
                readiness,
                settings,
                directory: directory.clone(),
                child: Mutex::default(),
                is_over: AtomicUsize::new(0),
                ends: AtomicUsize::new(0),
                peak: AtomicUsize::new(0),
            }));
        }
        drop(ports);
        for machine in &machines {
            machine.spawn();
            let (machine, record) = (machine.clone(), record.clone());
            thread::spawn(move || machine.watch(&record));
        }
        for machine in &machines {
            machine.wait_until_ready();
        }
        machines
    }

    fn spawn(&self) {
        // The shell only sets the descriptors of the machine for the program that takes its place.
        let command = format!(
            "ulimit -n {DESCRIPTORS} && exec target/release/magnoliaspar gateway --settings \"$0\""
        );
        let child = Command::new("sh")
            .args(["-c", &command])
            .arg(&self.settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|_| cannot_run("the gateway does not start"));
        PROCESSES.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    /// Ends the process when it is beyond the memory of the machine, and starts it again.
    fn watch(&self, record: &Record) {
        while self.is_over.load(Ordering::SeqCst) == 0 {
            thread::sleep(Duration::from_millis(5));
            let mut guard = self.child.lock().unwrap();
            let Some(child) = guard.as_mut() else { return };
            let resident = resident_bytes(child.id()).unwrap_or(0);
            self.peak.fetch_max(resident as usize, Ordering::SeqCst);
            let has_ended = matches!(child.try_wait(), Ok(Some(_)));
            if resident <= KILL_BYTES && !has_ended {
                continue;
            }
            end_process(child);
            drop(guard);
            let ends = self.ends.fetch_add(1, Ordering::SeqCst) + 1;
            record.line(&format!(
                "{}: the process ends with {}, {ends} times so far",
                self.name,
                megabytes(Some(resident))
            ));
            thread::sleep(RESTART_DELAY);
            if self.is_over.load(Ordering::SeqCst) == 0 {
                self.spawn();
            }
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        status_of(self.readiness, request.as_bytes(), Duration::from_secs(1)) == Some(200)
    }

    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run("the gateway is not ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the process has ended more than `ends` times, for a while.
    pub fn wait_for_end(&self, ends: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.ends.load(Ordering::SeqCst) <= ends {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Ends the process for good.
    pub fn stop(&self) {
        self.is_over.store(1, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            end_process(&mut child);
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib << 10)
}

/// Lets a crowd come to each machine in turn, as often as a process has to end there, beside ordinary callers. `strike`
/// returns the connections that stay. Exits with the verdict.
pub fn judge_memory(
    record: &Record,
    store: SocketAddr,
    workers: &[Arc<Worker>],
    strike: impl Fn(SocketAddr, usize) -> Vec<TcpStream>,
) -> ! {
    let machines = Machine::start_all(store, record);
    let is_over = Arc::new(AtomicUsize::new(0));
    let mut ordinary_callers = Vec::new();
    for machine in &machines {
        let (machine, is_over) = (machine.clone(), is_over.clone());
        ordinary_callers.push(thread::spawn(move || {
            let (mut sent, mut served) = (0, 0);
            while is_over.load(Ordering::SeqCst) == 0 {
                sent += 1;
                let call = ordinary(&format!("o{sent}-{}", machine.name));
                let status = status_of(machine.requests, &call, Duration::from_secs(3));
                served += usize::from(status == Some(200));
                thread::sleep(Duration::from_millis(250));
            }
            (sent, served)
        }));
    }
    for round in 1..=ENDS {
        for machine in &machines {
            machine.wait_until_ready();
            let ends = machine.ends.load(Ordering::SeqCst);
            let held = strike(machine.requests, round);
            let has_ended = machine.wait_for_end(ends, Duration::from_millis(1_500));
            record.line(&format!(
                "round {round}, {}: {} connections of the crowd stayed, the process {}",
                machine.name,
                held.len(),
                if has_ended { "has ended" } else { "goes on" }
            ));
            drop(held);
            thread::sleep(Duration::from_millis(300));
        }
    }
    is_over.store(1, Ordering::SeqCst);
    for (machine, caller) in machines.iter().zip(ordinary_callers) {
        let (sent, served) = caller.join().unwrap();
        record.line(&format!(
            "{}: {served} of {sent} ordinary calls had 200, peak {}",
            machine.name,
            megabytes(Some(machine.peak.load(Ordering::SeqCst) as u64))
        ));
    }
    for machine in &machines {
        machine.stop();
    }
    let runs: usize = workers.iter().map(|worker| worker.runs.load(Ordering::SeqCst)).sum();
    let ends: Vec<usize> =
        machines.iter().map(|machine| machine.ends.load(Ordering::SeqCst)).collect();
    let is_broken = ends.iter().all(|ends| *ends >= ENDS);
    record.line(&format!("workers ran {runs} calls"));
    record.line(&format!(
        "processes ended {ends:?} times beyond 110 MiB; the rule is broken with {ENDS} on each of {MACHINES}: {}",
        if is_broken { "broken" } else { "held" }
    ));
    std::process::exit(i32::from(is_broken));
}

/// A model engine as bendera-hub has them, for short prompts: 64 slots, a queue of 2, 370 connections.
pub struct Engine {
    id: String,
    address: SocketAddr,
    born: u128,
    stage: Mutex<&'static str>,
    is_switching: AtomicUsize,
    connections: AtomicUsize,
    running: AtomicUsize,
    pub runs: AtomicUsize,
    sequence: AtomicUsize,
    event_bytes: usize,
}

const ENGINE_REQUESTS: usize = 66;
const ENGINE_CONNECTIONS: usize = 370;

/// Number of events of a stream, one for each token.
const EVENTS: usize = 70;

impl Engine {
    /// Starts an engine and registers it in the store.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        stage: &'static str,
        event_bytes: usize,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            stage: Mutex::new(stage),
            is_switching: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            sequence: AtomicUsize::new(0),
            event_bytes,
        });
        engine.register(store);
        let (this, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.connections.fetch_add(1, Ordering::SeqCst) >= ENGINE_CONNECTIONS {
                    this.connections.fetch_sub(1, Ordering::SeqCst);
                    continue;
                }
                let (this, store) = (this.clone(), store.clone());
                thread::spawn(move || {
                    let _ = this.serve(stream, &store);
                    this.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        engine
    }

    fn register(&self, store: &Store) {
        let (address, born, stage) = (self.address, self.born, *self.stage.lock().unwrap());
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        store.put(
            "servers",
            &self.id,
            &format!(
                r#"{{"service":"assessor-llm","address":"{address}","zone":"mid-a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born},"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#
            ),
        );
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, store: &Arc<Store>) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buf) {
            let is_switching = self.is_switching.load(Ordering::SeqCst) > 0;
            let stage = *self.stage.lock().unwrap();
            let running = self.running.load(Ordering::SeqCst);
            if !request.first_line.starts_with("POST ")
                || request.first_line.starts_with("POST /api/")
            {
                let (status, body) = match &*request.first_line {
                    line if line.starts_with("GET /api/report ") => (
                        200,
                        format!(
                            r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{is_switching},"sequence":0,"waiting":0,"running":{running},"kv_used":0,"kv_total":94896,"kv_handles":0,"born":{}}}"#,
                            self.born
                        ),
                    ),
                    line if line.starts_with("POST /api/order ") => {
                        (self.order(&request.body, store), "{}".to_owned())
                    }
                    _ => (200, "{}".to_owned()),
                };
                respond(&mut stream, status, "Content-Type: application/json\r\n", &body)?;
                continue;
            }
            let of = request.headers.get("request-id").cloned().unwrap_or_default();
            let head = format!(
                "Request-Id: {of}\r\nInstance-Id: {}\r\nKeep-Alive: timeout=4\r\n",
                self.id
            );
            let is_prefill =
                request.headers.get("serving-stage").is_some_and(|stage| stage == "prefill");
            if is_prefill != (stage == "prefill") {
                respond(&mut stream, 421, &head, "")?;
                continue;
            }
            if is_switching || running >= ENGINE_REQUESTS {
                respond(&mut stream, 503, &(head + "Not-Executed: 1\r\n"), "")?;
                continue;
            }
            if is_prefill {
                thread::sleep(Duration::from_millis(5));
                let body = format!(
                    r#"{{"handle":"{:012x}","tokens":10,"version":1}}"#,
                    self.sequence.fetch_add(1, Ordering::SeqCst)
                );
                respond(
                    &mut stream,
                    200,
                    &format!("{head}Content-Type: application/json\r\n"),
                    &body,
                )?;
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            self.runs.fetch_add(1, Ordering::SeqCst);
            let sent = self.stream(&mut stream, &head, &of);
            self.running.fetch_sub(1, Ordering::SeqCst);
            sent?;
        }
        Some(())
    }

    fn stream(&self, stream: &mut TcpStream, head: &str, of: &str) -> Option<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Server-Seal: s.{of}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        for id in 1..=EVENTS {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(self.event_bytes));
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(2));
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }

    /// Accepts an order to change the stage, which takes six seconds.
    fn order(self: &Arc<Self>, body: &[u8], store: &Arc<Store>) -> u16 {
        let stage = match text_field(&String::from_utf8_lossy(body), "stage").as_str() {
            "prefill" => "prefill",
            "decode" => "decode",
            _ => return 400,
        };
        if *self.stage.lock().unwrap() == stage {
            return 200;
        }
        if self.is_switching.swap(1, Ordering::SeqCst) > 0 {
            return 409;
        }
        let (this, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while this.running.load(Ordering::SeqCst) > 0 {
                thread::sleep(Duration::from_millis(20));
            }
            thread::sleep(Duration::from_secs(6));
            *this.stage.lock().unwrap() = stage;
            this.register(&store);
            this.is_switching.store(0, Ordering::SeqCst);
        });
        202
    }
}

fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> Option<()> {
    let length = body.len();
    let response =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).ok()
}

/// The configuration of the small deployment with a route for completions that may run once, beside the plain one.
pub fn configuration_with_streams() -> String {
    let plain = configuration();
    let plain = plain.replace(
        r#""routes":["#,
        &format!(
            r#""routes":[{{"name":"review","host":"{HOST}","path_prefix":"/review/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"assessor-llm","max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":300}},"#
        ),
    );
    plain.replace(
        r#""services":["#,
        &format!(
            r#""services":[{{"name":"assessor-llm","health_path":"/health","max_connections":{ENGINE_CONNECTIONS},"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity_tokens":94896,"stride":1}}}},"#
        ),
    )
}
