//! Tests of a server that stops.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_http::{Handler, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of connections that wait to be accepted when the server stops.
const WAITING: usize = 20;

#[actix_rt::test]
async fn connections_that_were_made_before_a_stop_are_served() {
    let handler: Handler = Rc::new(|_: Request| {
        Box::pin(async { Response::<BoxBody>::new(StatusCode::OK).set_body("done".boxed()) })
    });
    let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    let mut connections = Vec::new();
    for _ in 0..WAITING {
        let mut connection = TcpStream::connect(server.address()).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        connection.write_all(request).await.unwrap();
        connections.push(connection);
    }
    server.stop_handle().stop();
    server.run().await;
    for mut connection in connections {
        let mut text = String::new();
        connection.read_to_string(&mut text).await.expect("the connection is served");
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("done"), "{text:?}");
    }
}
