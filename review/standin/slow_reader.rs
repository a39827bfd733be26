//! Machines get SIGTERM while callers on slow links read their answers.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Answer, Client, HOST};
use crate::gateway::start_instances;
use crate::http::Head;
use crate::store::Store;
use crate::worker::{Run, Worker};
use crate::{Setup, Verdict};

/// Length of an answer, in bytes.
const ANSWER_BYTES: usize = 818_000;

/// Rate at which a caller reads: about 1 Mbit/s.
const BYTES_PER_S: usize = 130_000;

const MACHINES: usize = 5;

const CALLERS_PER_MACHINE: usize = 10;

/// Time that a caller waits, and the timeout of the route.
const DEADLINE_MS: u64 = 14_000;

/// Time between the requests of two callers.
const STAGGER: Duration = Duration::from_millis(30);

/// Time from the first request to SIGTERM, which is soon after the last one.
const TERM_AFTER: Duration = Duration::from_millis(1_600);

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start();
    let config = format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/pule252/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":{DEADLINE_MS},\"target_latency_ms\":900,\"priority\":1,\
         \"service\":\"app\",\"max_attempts\":1}}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\
         \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    store.put("op", "config", &config);
    let arrivals = Arc::default();
    let script = Arc::new(|_: &Head, _: &[u8]| {
        Run::Success(Duration::from_millis(15), vec![b'a'; ANSWER_BYTES])
    });
    for index in 1..=2 {
        Worker::start(&format!("i-{index}"), "app", &store, script.clone(), &arrivals, record);
    }
    let Some(mut gateways) = start_instances(MACHINES, setup.folder, store.address, record) else {
        return Verdict::NotRun;
    };
    std::thread::sleep(Duration::from_secs(4));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for index in 0..MACHINES * CALLERS_PER_MACHINE {
        let gateway = &gateways[index % MACHINES];
        let (front, machine) = (gateway.front, gateway.name.clone());
        let (answers, record) = (answers.clone(), record.clone());
        callers.push(std::thread::spawn(move || {
            // Callers on slow links neither begin nor end together.
            std::thread::sleep(STAGGER * index as u32);
            let Ok(mut client) = Client::connect_over_network(front) else { return };
            let id = format!("{:016x}", 0x9c41d07b00 + index);
            record.line(&format!("caller {index} sends {id} to {machine}"));
            let started = Instant::now();
            let target = format!("/pule252/{index}");
            let answer = client.call_slowly(&target, &id, DEADLINE_MS, b"x", BYTES_PER_S);
            let ms = started.elapsed().as_millis();
            record.line(&format!("caller {index}: {id} has {} after {ms} ms", text(&answer)));
            answers.lock().unwrap().push(answer);
        }));
    }
    std::thread::sleep(TERM_AFTER);
    if setup.trouble {
        for gateway in &gateways {
            record.line(&format!("SIGTERM to {}", gateway.name));
            gateway.signal("-TERM");
        }
    }
    let until = Instant::now() + Duration::from_secs(30);
    let mut ended = vec![false; gateways.len()];
    while Instant::now() < until && callers.iter().any(|caller| !caller.is_finished()) {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if !ended[index]
                && let Some(status) = gateway.ended()
            {
                ended[index] = true;
                record.line(&format!("{} has ended: {status}", gateway.name));
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let cut = answers
        .iter()
        .filter(|answer| matches!(answer, Answer::Cut { .. } | Answer::None(_)))
        .count();
    record.result(&format!("{cut} of {} answers were cut", answers.len()));
    if answers.len() < MACHINES * CALLERS_PER_MACHINE {
        return Verdict::NotRun;
    }
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}

fn text(answer: &Answer) -> String {
    match answer {
        Answer::Whole { status, sealed, bytes } => {
            format!("a whole answer: {status}, sealed {sealed}, {bytes} bytes")
        }
        Answer::Cut { status, bytes, of } => {
            format!("a cut answer: {status}, {bytes} of {of} bytes")
        }
        Answer::None(reason) => format!("no answer: {reason}"),
    }
}
