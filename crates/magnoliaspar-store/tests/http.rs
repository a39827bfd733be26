//! Tests that the HTTP adapters distinguish calls without effect from calls that may have taken
//! effect.

use std::cell::Cell;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use futures_util::StreamExt;
use magnoliaspar_core::{Incarnation, ManualClock, ZoneName};
use magnoliaspar_fake::MemoryTable;
use magnoliaspar_http::{Handler, Server};
use magnoliaspar_store::protocol::{AcquireRequest, RETRY_AFTER_HEADER, ReadRequest, ScanRequest};
use magnoliaspar_store::{
    Condition, HttpInstanceList, HttpObjectStore, HttpTableService, HttpTimeouts, HttpWeightStore,
    InstanceList, ListEntry, ListState, ListedKind, ObjectStore, PlatformError, RowKey, ServerRole,
    TableService, Transaction, WeightStore, Write, WriteOutcome,
};
use serde::Serialize;
use serde_json::json;

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(200),
    request: Duration::from_millis(200),
    connection_age: Duration::from_secs(60),
};

/// The behavior of the server; in all cases it first executes the call.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Answer,
    Silent,
    Status(u16),
}

async fn start(table: MemoryTable, behavior: Rc<Cell<Behavior>>) -> SocketAddr {
    let handler: Handler = Rc::new(move |req| {
        let table = table.clone();
        let behavior = behavior.clone();
        Box::pin(async move { answer(req, table, behavior.get()).await })
    });
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), handler).await.unwrap();
    let address = server.address();
    actix_rt::spawn(server.run());
    address
}

async fn answer(mut req: Request, table: MemoryTable, behavior: Behavior) -> Response<BoxBody> {
    let mut body = Vec::new();
    let mut payload = req.take_payload();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.unwrap());
    }
    let response = match req.path() {
        "/table/read" => {
            let req: ReadRequest = serde_json::from_slice(&body).unwrap();
            json_response(&table.read(&req.key).await.unwrap())
        }
        "/table/scan" => {
            let req: ScanRequest = serde_json::from_slice(&body).unwrap();
            json_response(&table.scan(&req.prefix, req.after.as_ref(), req.limit).await.unwrap())
        }
        "/table/commit" => {
            let transaction: Transaction = serde_json::from_slice(&body).unwrap();
            json_response(&table.commit(&transaction).await.unwrap())
        }
        "/weights/acquire" => {
            let req: AcquireRequest = serde_json::from_slice(&body).unwrap();
            assert_eq!(req, AcquireRequest { model: "assessor".into(), bytes: 7 });
            Response::ok().map_into_boxed_body()
        }
        "/instances" => {
            assert_eq!(req.uri().query(), Some("zone=mid-a"));
            json_response(&[entry()])
        }
        "/objects/config/12.json" if req.method() == Method::PUT => {
            assert_eq!(body, b"content");
            Response::ok().map_into_boxed_body()
        }
        "/objects/config/12.json" => Response::ok().set_body(BoxBody::new("content")),
        _ => Response::build(StatusCode::NOT_FOUND).finish().map_into_boxed_body(),
    };
    match behavior {
        Behavior::Answer => response,
        Behavior::Silent => std::future::pending().await,
        Behavior::Status(status) => Response::build(StatusCode::from_u16(status).unwrap())
            .insert_header((RETRY_AFTER_HEADER, "70"))
            .finish()
            .map_into_boxed_body(),
    }
}

fn json_response<T: Serialize>(value: &T) -> Response<BoxBody> {
    Response::ok().set_body(BoxBody::new(serde_json::to_vec(value).unwrap()))
}

fn entry() -> ListEntry {
    ListEntry {
        name: "decode-1".into(),
        kind: ListedKind::Server {
            pool: "decode".try_into().unwrap(),
            role: ServerRole::Decode,
            model: Some("assessor".try_into().unwrap()),
            is_fencing: true,
        },
        zone: "mid-a".try_into().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(3),
        state: ListState::Leaving,
    }
}

fn create(key: &str) -> Transaction {
    let key = RowKey(key.into());
    let value = Some(json!({ "n": 1 }));
    Transaction { writes: vec![Write { key, condition: Condition::Absent, value }] }
}

#[actix_rt::test]
async fn rows_are_written_and_read() {
    let memory = MemoryTable::new(Rc::new(ManualClock::new()));
    let address = start(memory.clone(), Rc::new(Cell::new(Behavior::Answer))).await;
    let table = HttpTableService::new(address, TIMEOUTS);
    let Ok(WriteOutcome::Applied(versions)) = table.commit(&create("a/1")).await else {
        panic!("a write to an unused key must succeed");
    };
    let row = table.read(&RowKey("a/1".into())).await.unwrap().unwrap();
    assert_eq!(row.version, versions[0]);
    assert_eq!(table.scan("a/", None, 10).await.unwrap(), std::slice::from_ref(&row));
    let current = Some(row);
    let conflict = WriteOutcome::Conflict { key: RowKey("a/1".into()), current };
    assert_eq!(table.commit(&create("a/1")).await, Ok(conflict));
    let objects = HttpObjectStore::new(address, TIMEOUTS);
    assert_eq!(objects.get("missing").await, Ok(None));
    assert!(matches!(objects.get("a b").await, Err(PlatformError::Rejected(_))));
}

#[actix_rt::test]
async fn objects_weights_and_instances_are_written_and_read() {
    let memory = MemoryTable::new(Rc::new(ManualClock::new()));
    let behavior = Rc::new(Cell::new(Behavior::Answer));
    let address = start(memory, behavior.clone()).await;
    let objects = HttpObjectStore::new(address, TIMEOUTS);
    assert_eq!(objects.put("config/12.json", "content".into()).await, Ok(()));
    assert_eq!(objects.get("config/12.json").await, Ok(Some("content".into())));
    let weights = HttpWeightStore::new(address, TIMEOUTS);
    assert_eq!(weights.acquire("assessor", 7).await, Ok(()));
    let zone = ZoneName::try_from("mid-a").unwrap();
    let list = HttpInstanceList::new(address, TIMEOUTS);
    assert_eq!(list.list(Some(&zone)).await, Ok(vec![entry()]));
    behavior.set(Behavior::Status(429));
    let retry_after = Duration::from_millis(70);
    let limited = weights.acquire("assessor", 7).await;
    assert_eq!(limited, Err(PlatformError::RateLimited { retry_after }));
}

#[actix_rt::test]
async fn http_statuses_are_mapped_to_platform_errors() {
    let behavior = Rc::new(Cell::new(Behavior::Status(429)));
    let memory = MemoryTable::new(Rc::new(ManualClock::new()));
    let table = HttpTableService::new(start(memory, behavior.clone()).await, TIMEOUTS);
    let retry_after = Duration::from_millis(70);
    assert_eq!(table.commit(&create("a")).await, Err(PlatformError::RateLimited { retry_after }));
    behavior.set(Behavior::Status(503));
    assert!(matches!(table.commit(&create("a")).await, Err(PlatformError::Unavailable(_))));
    behavior.set(Behavior::Status(400));
    assert!(matches!(table.commit(&create("a")).await, Err(PlatformError::Rejected(_))));
    behavior.set(Behavior::Status(500));
    assert!(matches!(table.commit(&create("a")).await, Err(PlatformError::Ambiguous(_))));
    let read = table.read(&RowKey("a".into())).await;
    assert!(matches!(read, Err(PlatformError::Unavailable(_))));
}

#[actix_rt::test]
async fn a_stalled_connection_makes_a_write_ambiguous_and_is_not_reused() {
    let behavior = Rc::new(Cell::new(Behavior::Silent));
    let memory = MemoryTable::new(Rc::new(ManualClock::new()));
    let table = HttpTableService::new(start(memory.clone(), behavior.clone()).await, TIMEOUTS);
    let read = table.read(&RowKey("a".into())).await;
    assert!(matches!(read, Err(PlatformError::Unavailable(_))));
    assert!(matches!(table.commit(&create("a")).await, Err(PlatformError::Ambiguous(_))));
    assert_eq!(memory.rows("a").len(), 1);
    behavior.set(Behavior::Answer);
    assert!(matches!(table.commit(&create("a")).await, Ok(WriteOutcome::Conflict { .. })));
}

/// Accepts three connections and answers only the first request on each.
fn answer_once_per_connection(listener: TcpListener) {
    for _ in 0..3 {
        let (mut stream, _) = listener.accept().unwrap();
        std::thread::spawn(move || {
            let mut buf = [0; 4096];
            assert!(stream.read(&mut buf).unwrap() > 0);
            // Both of the first two calls must be in flight before one is answered, so that they
            // use two connections.
            std::thread::sleep(Duration::from_millis(50));
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull").unwrap();
            while stream.read(&mut buf).unwrap_or(0) > 0 {}
        });
    }
}

#[actix_rt::test]
async fn after_one_stalled_connection_all_pooled_ones_are_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || answer_once_per_connection(listener));
    let table = HttpTableService::new(address, TIMEOUTS);
    let key = RowKey("a".into());
    let both = futures_util::future::join(table.read(&key), table.read(&key)).await;
    assert_eq!(both, (Ok(None), Ok(None)));
    assert!(matches!(table.read(&key).await, Err(PlatformError::Unavailable(_))));
    assert_eq!(table.read(&key).await, Ok(None));
    server.join().unwrap();
}

#[actix_rt::test]
async fn a_refused_connection_has_no_effect_and_a_closed_one_may_have() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let table = HttpTableService::new(address, TIMEOUTS);
    let closer = actix_rt::task::spawn_blocking(move || drop(listener.accept().unwrap()));
    assert!(matches!(table.commit(&create("a")).await, Err(PlatformError::Ambiguous(_))));
    closer.await.unwrap();
    assert!(matches!(table.commit(&create("a")).await, Err(PlatformError::Unavailable(_))));
}
