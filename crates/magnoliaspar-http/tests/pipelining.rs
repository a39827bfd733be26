//! Tests of bytes that follow a request on its connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use futures_util::StreamExt;
use magnoliaspar_http::{Handler, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that the handler takes for a request.
const DURATION: Duration = Duration::from_millis(200);

/// Length of a request head beyond the server's limit.
const TOO_LARGE_HEAD: usize = 200_000;

async fn start() -> SocketAddr {
    let handler: Handler = Rc::new(|_: Request| {
        Box::pin(async {
            actix_rt::time::sleep(DURATION).await;
            Response::<BoxBody>::new(StatusCode::OK).set_body("done".boxed())
        })
    });
    let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    let address = server.address();
    actix_rt::spawn(server.run());
    address
}

/// Sends a request and then `bytes`, and checks that the request is answered before the bytes are refused.
async fn check(bytes: &[u8], refusal: &str) {
    let mut connection = TcpStream::connect(start().await).await.unwrap();
    connection.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    actix_rt::time::sleep(DURATION / 4).await;
    connection.write_all(bytes).await.unwrap();
    let mut text = String::new();
    let read = connection.read_to_string(&mut text).await;
    assert!(read.is_ok(), "{read:?} after {text:?}");
    let Some((answer, rest)) = text.split_once("done") else { panic!("no answer in {text:?}") };
    assert!(answer.starts_with("HTTP/1.1 200") && rest.starts_with(refusal), "{text:?}");
}

#[actix_rt::test]
async fn a_request_is_answered_although_bytes_that_are_no_request_follow_it() {
    check(b"\0\0 no request\r\n\r\n", "HTTP/1.1 400").await;
    check(b"GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "HTTP/1.1 400").await;
}

#[actix_rt::test]
async fn a_request_is_answered_although_too_large_a_head_follows_it() {
    let head = format!("GET / HTTP/1.1\r\nFiller: {}", "x".repeat(TOO_LARGE_HEAD));
    check(head.as_bytes(), "HTTP/1.1 431").await;
}

/// Number of requests that are sent ahead.
const AHEAD: usize = 20_000;

/// Bytes that the buffers of both systems may take beside those that the server reads.
const SYSTEM_BUFFERS: usize = 64 << 10;

#[actix_rt::test]
async fn requests_are_not_read_while_an_earlier_one_is_in_hand() {
    let handler: Handler = Rc::new(|_: Request| Box::pin(std::future::pending()));
    let listener = tokio::net::TcpSocket::new_v4().unwrap();
    listener.set_recv_buffer_size(4 << 10).unwrap();
    listener.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let server = Server::from_listener(listener.listen(1).unwrap(), handler);
    let client = tokio::net::TcpSocket::new_v4().unwrap();
    client.set_send_buffer_size(4 << 10).unwrap();
    let address = server.address();
    actix_rt::spawn(server.run());
    let mut connection = client.connect(address).await.unwrap();
    let requests = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(AHEAD);
    let mut sent = 0;
    while let Ok(count) = tokio::time::timeout(DURATION, connection.write(&requests[sent..])).await
    {
        sent += count.unwrap();
        assert!(sent < SYSTEM_BUFFERS, "{sent} bytes were read ahead");
    }
}

/// Length of a body beyond what is read ahead of a request in hand.
const LONG_BODY: usize = 1 << 20;

/// Guards against handlers that read a body themselves and wait for a rest that is never read from the connection.
#[actix_rt::test]
async fn a_handler_gets_a_whole_body_that_is_longer_than_what_is_read_ahead() {
    let handler: Handler = Rc::new(|mut req: Request| {
        Box::pin(async move {
            let mut payload = req.take_payload();
            let mut length = 0;
            while let Some(chunk) = payload.next().await {
                length += chunk.unwrap().len();
            }
            Response::<BoxBody>::new(StatusCode::OK).set_body(length.to_string().boxed())
        })
    });
    let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    let mut connection = TcpStream::connect(server.address()).await.unwrap();
    actix_rt::spawn(server.run());
    let head = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {LONG_BODY}\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    connection.write_all(&vec![0; LONG_BODY]).await.unwrap();
    let mut text = String::new();
    connection.read_to_string(&mut text).await.unwrap();
    assert!(text.ends_with(&LONG_BODY.to_string()), "{text:?}");
}
