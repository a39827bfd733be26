//! Tests of the maximum of connections: silent ones give way, and those with a request in hand don't.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_http::{
    ConnectionLimits, Connections, Handler, Limits, MIN_SILENCE, Memory, Server,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Descriptors for two connections with a request in hand each.
const DESCRIPTORS: usize = 4;

/// Memory that none of the tests uses up, in bytes.
const MEMORY: usize = 10 << 20;

/// Time within which a connection is accepted, or closed.
const ACCEPT_TIME: Duration = Duration::from_millis(100);

async fn start() -> (SocketAddr, Rc<Connections>) {
    let handler: Handler = Rc::new(|req: Request| {
        Box::pin(async move {
            if req.path() == "/slow" {
                std::future::pending::<()>().await;
            }
            Response::<BoxBody>::new(StatusCode::OK).set_body("done".boxed())
        })
    });
    let connections = Connections::new(Memory::new(MEMORY), DESCRIPTORS);
    let limits = Limits::new(ConnectionLimits::default()).with_connections(connections.clone());
    let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    let address = server.address();
    actix_rt::spawn(server.with_limits(Rc::new(limits)).run());
    (address, connections)
}

/// Sends a request, and returns its connection and the length of what was read of a response.
async fn send(address: SocketAddr, path: &str) -> (TcpStream, usize) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    // Fails if the connection was closed already.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut buf = [0; 1_024];
    let read = tokio::time::timeout(ACCEPT_TIME, stream.read(&mut buf)).await;
    let count = read.map_or(0, |read| read.unwrap_or(0));
    (stream, count)
}

#[actix_rt::test]
async fn silent_connections_give_way_at_the_maximum() {
    let (address, connections) = start().await;
    let silent = [TcpStream::connect(address).await, TcpStream::connect(address).await];
    tokio::time::sleep(ACCEPT_TIME).await;
    assert_eq!(connections.count(), 2);
    assert_eq!(send(address, "/").await.1, 0, "a connection beyond the maximum is served");
    tokio::time::sleep(MIN_SILENCE).await;
    assert!(send(address, "/").await.1 > 0, "no silent connection gives way");
    drop(silent);
}

#[actix_rt::test]
async fn requests_in_hand_do_not_give_way_and_free_what_they_held_when_callers_leave() {
    let (address, connections) = start().await;
    let (first, _) = send(address, "/slow").await;
    let (second, _) = send(address, "/slow").await;
    tokio::time::sleep(MIN_SILENCE + ACCEPT_TIME).await;
    assert_eq!(send(address, "/").await.1, 0, "a request in hand gave way");
    assert_eq!(connections.count(), 2);
    for stream in [first, second] {
        // A reset, as from a caller that has crashed.
        stream.set_zero_linger().unwrap();
    }
    tokio::time::sleep(ACCEPT_TIME).await;
    assert_eq!(connections.count(), 0);
    assert!(send(address, "/").await.1 > 0);
}
