//! Tests that errors of the HTTP engine tell correctly whether a call may have taken effect.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use magnoliaspar_core::{AttemptId, RequestId};
use magnoliaspar_engine::{Engine, EngineError, HttpEngine, StreamId};

const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that reads one request and closes the connection without an answer.
fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).unwrap() > 0);
    });
    address
}

fn stream() -> StreamId {
    StreamId { request: RequestId::random(), attempt: AttemptId(1) }
}

#[actix_rt::test]
async fn a_call_whose_connection_closes_without_an_answer_may_have_run() {
    let engine = HttpEngine::new(start_closing_server(), PROGRESS_TIMEOUT);
    let error = engine.cancel(&stream()).await.unwrap_err();
    assert!(matches!(error, EngineError::Lost(_)), "{error}");
    assert!(!error.is_not_run());
}

#[actix_rt::test]
async fn a_call_whose_connection_is_refused_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = HttpEngine::new(address, PROGRESS_TIMEOUT).cancel(&stream()).await.unwrap_err();
    assert!(matches!(error, EngineError::Unreachable(_)), "{error}");
    assert!(error.is_not_run());
}
