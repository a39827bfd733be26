//! Malformed, oversized and random input: the instance refuses it with a clear error or closes the
//! connection, and still answers good requests afterwards.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use magnoliaspar_standin::{CALLER_KEY, DeploymentSpec, MODEL, answer_text};
use magnoliaspar_tests::LocalCluster;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// Read timeout of an answer to bad input; a longer wait counts as a hang.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of random inputs per property.
const CASES: u32 = 48;

/// Path of the completion endpoint.
const COMPLETIONS: &str = "/v1/completions";

/// A running instance that has answered a good request.
struct Target {
    entry: SocketAddr,
}

/// The response to a raw request.
struct Response {
    status: u16,
    body: Box<str>,
}

impl Target {
    /// Starts an instance on its own thread.
    fn start() -> Self {
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let spec = DeploymentSpec::small(&["zone-a"]);
                let cluster = LocalCluster::start(&spec, &[(0, "a-1")]).await;
                tx.send(cluster.entry(0)).expect("the test waits");
                std::future::pending::<()>().await;
            });
        });
        let target = Self { entry: rx.recv().expect("the instance starts") };
        target.assert_alive();
        target
    }

    /// Sends bytes, closes the sending direction and reads the response; `None` if there is none.
    fn send(&self, bytes: &[u8]) -> Option<Response> {
        let mut connection = TcpStream::connect(self.entry).expect("the instance listens");
        connection.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("the timeout is not zero");
        // The instance may refuse and close before it has read everything.
        let _ = connection.write_all(bytes);
        let _ = connection.shutdown(Shutdown::Write);
        let mut answer = Vec::new();
        match connection.read_to_end(&mut answer) {
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {}
            Err(error) => panic!("no response and no end of the connection: {error}"),
        }
        parse_response(&answer)
    }

    /// Sends a POST request with a valid head, apart from the additional `headers`.
    fn post(&self, path: &str, headers: &str, body: &[u8]) -> Option<Response> {
        let mut req = format!(
            "POST {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             {headers}content-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        req.extend_from_slice(body);
        self.send(&req)
    }

    /// Checks that a good request is answered.
    fn assert_alive(&self) {
        let body = json!({ "model": MODEL, "prompt": "still there?", "max_tokens": 8 });
        let res = self.post(COMPLETIONS, "", body.to_string().as_bytes()).expect("an answer");
        assert_eq!(res.status, 200, "{}", res.body);
        let value: Value = serde_json::from_str(&res.body).expect("the answer is JSON");
        assert_eq!(value["choices"][0]["text"], answer_text("still there?", 8));
    }

    /// Checks that a response is a refusal with this status and code, and that it says `not_run`.
    fn assert_refused(&self, res: Option<Response>, status: u16, code: &str) {
        let res = res.expect("a refusal");
        assert_eq!(res.status, status, "{}", res.body);
        let value: Value = serde_json::from_str(&res.body).expect("the refusal is JSON");
        assert_eq!(value["error"]["code"], code, "{value}");
        assert_eq!(value["error"]["outcome"], "not_run", "{value}");
        assert!(!value["error"]["message"].as_str().unwrap_or_default().is_empty());
    }
}

/// Checks that a response, if there is one, is a refusal with an error code and an outcome.
///
/// The HTTP library refuses a head that is not HTTP with a status and an empty body.
fn assert_clear_refusal(res: Option<Response>) {
    let Some(res) = res else { return };
    assert!((400..600).contains(&res.status), "{}: {}", res.status, res.body);
    if res.body.is_empty() {
        assert!(matches!(res.status, 400 | 408 | 431), "{} without a body", res.status);
        return;
    }
    let value: Value = serde_json::from_str(&res.body).expect("the refusal is JSON");
    assert!(value["error"]["code"].is_string(), "{value}");
    assert!(value["error"]["outcome"].is_string(), "{value}");
}

fn parse_response(bytes: &[u8]) -> Option<Response> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, body: body.into() })
}

fn good_request() -> Vec<u8> {
    let body = json!({ "model": "none", "prompt": "x" }).to_string();
    format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Generates JSON of any shape with the field names of a completion request.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
        Just(Value::from(MODEL)),
    ];
    let names = prop_oneof![
        Just("model"),
        Just("prompt"),
        Just("messages"),
        Just("max_tokens"),
        Just("stream"),
        Just("n"),
        Just("role"),
        Just("content"),
    ];
    leaf.prop_recursive(3, 24, 6, move |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::btree_map(names.clone(), inner, 0..6).prop_map(|fields| {
                let mut object = serde_json::Map::new();
                for (name, value) in fields {
                    object.insert(name.into(), value);
                }
                Value::Object(object)
            }),
        ]
    })
}

#[test]
fn bytes_that_are_not_http_are_refused() {
    let target = Target::start();
    proptest!(config(1), |(bytes in proptest::collection::vec(any::<u8>(), 1..400))| {
        assert_clear_refusal(target.send(&bytes));
    });
    target.assert_alive();
}

#[test]
fn damaged_requests_are_refused() {
    let target = Target::start();
    let good = good_request();
    let length = good.len();
    proptest!(config(2), |(at in 0..length, byte in any::<u8>(), kept in 0..=length)| {
        let mut bytes = good.clone();
        bytes[at] = byte;
        bytes.truncate(kept.max(1));
        assert_clear_refusal(target.send(&bytes));
    });
    target.assert_alive();
}

#[test]
fn bodies_of_any_shape_are_refused_or_served() {
    let target = Target::start();
    for path in [COMPLETIONS, "/v1/chat/completions"] {
        proptest!(config(3), |(body in any_json())| {
            let res = target.post(path, "", body.to_string().as_bytes());
            let res = res.expect("a refusal");
            if res.status != 200 {
                assert_clear_refusal(Some(res));
            }
        });
        proptest!(config(4), |(body in proptest::collection::vec(any::<u8>(), 0..300))| {
            let res = target.post(path, "", &body);
            target.assert_refused(res, 400, "bad_request");
        });
    }
    target.assert_alive();
}

#[test]
fn headers_of_any_text_are_refused_or_served() {
    let target = Target::start();
    let body = json!({ "model": MODEL, "prompt": "x", "max_tokens": 1 }).to_string();
    let names = prop_oneof![
        Just("x-request-id"),
        Just("x-deadline-ms"),
        Just("last-event-id"),
        Just("idempotency-key"),
        Just("authorization"),
        Just("expect"),
        Just("content-type"),
    ];
    proptest!(config(5), |(name in names, value in "[ -~]{0,200}")| {
        let headers = format!("{name}: {value}\r\n");
        let Some(res) = target.post(COMPLETIONS, &headers, body.as_bytes()) else { return Ok(()) };
        if res.status != 200 {
            assert_clear_refusal(Some(res));
        }
    });
    target.assert_alive();
}

#[test]
fn each_kind_of_bad_request_has_its_own_code() {
    let target = Target::start();
    let body = |value: Value| value.to_string().into_bytes();
    let unknown = body(json!({ "model": "no-such-model", "prompt": "x" }));
    target.assert_refused(target.post(COMPLETIONS, "", &unknown), 404, "unknown_model");
    let many = body(json!({ "model": MODEL, "prompt": "x", "max_tokens": 1_000_000_000u64 }));
    target.assert_refused(target.post(COMPLETIONS, "", &many), 400, "bad_request");
    let long = body(json!({ "model": MODEL, "prompt": "x".repeat((2 << 20) + 1) }));
    target.assert_refused(target.post(COMPLETIONS, "", &long), 413, "too_large");
    let no_path = target.post("/no/such/path", "", b"{}");
    target.assert_refused(no_path, 404, "not_found");
    let payout = "/grants/payouts/1";
    target.assert_refused(target.post(payout, "", b"{}"), 400, "missing_idempotency_key");
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(4_000));
    target.assert_refused(target.post(payout, &long_key, b"{}"), 400, "bad_request");
    let get = format!("GET {COMPLETIONS} HTTP/1.1\r\nhost: t\r\n\r\n");
    target.assert_refused(target.send(get.as_bytes()), 405, "method_not_allowed");
    for authorization in ["", "authorization: Bearer wrong\r\n", "authorization: Basic eA==\r\n"] {
        let head = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: t\r\n{authorization}content-length: 0\r\n\r\n"
        );
        target.assert_refused(target.send(head.as_bytes()), 401, "unauthenticated");
    }
    target.assert_alive();
}

#[test]
fn oversized_requests_are_refused() {
    let target = Target::start();
    let body = json!({ "model": MODEL, "prompt": "x", "max_tokens": 1 }).to_string();
    let long_header = format!("x-wide: {}\r\n", "w".repeat(64 << 10));
    let res = target.post(COMPLETIONS, &long_header, body.as_bytes()).expect("a refusal");
    assert!((400..500).contains(&res.status), "{}: {}", res.status, res.body);
    assert_clear_refusal(Some(res));
    assert_clear_refusal(target.post(COMPLETIONS, "", &vec![b' '; 5 << 20]));
    assert_clear_refusal(target.send(&vec![b'a'; 1 << 20]));
    target.assert_alive();
}

#[test]
fn a_truncated_body_is_refused() {
    let target = Target::start();
    for path in [COMPLETIONS, "/grants/payouts/1", "/grants/notes/1"] {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             idempotency-key: broken\r\ncontent-length: 500\r\n\r\n{{\"model\": "
        );
        let res = target.send(head.as_bytes());
        if let Some(res) = &res {
            assert_eq!(res.status, 400, "{path}: {}", res.body);
        }
        assert_clear_refusal(res);
    }
    target.assert_alive();
}
